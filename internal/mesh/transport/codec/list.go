package codec

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Strings visits a list of strings.
func (v *Visitor) Strings(num protowire.Number, x *[]string) {
	List(v, num, x, func(v *Visitor, s *string) {
		if v.reading {
			*s = string(v.elementBytes())
		} else {
			v.out = append(v.out, *s...)
		}
	})
}

// Messages visits a list of nested messages of type T; *T implements Message.
func Messages[T any, P interface {
	*T
	Message
}](v *Visitor, num protowire.Number, x *[]T) {
	List(v, num, x, func(v *Visitor, t *T) {
		if !v.reading {
			P(t).Fields(v)
			return
		}
		if err := Unmarshal(v.elementBytes(), P(t)); err != nil {
			v.setError(err)
		}
	})
}

// List visits a list, each element of which is a field of its own with bytes, in the order of the list. It calls element for each, with a
// visitor for the element's bytes. Elements that are read are appended to the list. An element that can't be read is an error, and is
// appended all the same, decoded in part.
func List[T any](visitor *Visitor, num protowire.Number, list *[]T, element func(visitor *Visitor, t *T)) {
	if !visitor.reading {
		for i := range *list {
			visitor.appendNested(num, func(nested *Visitor) { element(nested, &(*list)[i]) })
		}
		return
	}
	for i := range visitor.fields {
		if visitor.fields[i].num != num {
			continue
		}
		if visitor.fields[i].typ != protowire.BytesType {
			visitor.failType(num)
			return
		}
		var t T
		nested := Visitor{reading: true, fields: visitor.fields[i : i+1]}
		element(&nested, &t)
		if nested.err != nil {
			visitor.setError(fmt.Errorf("field %d: %w", num, nested.err))
		}
		*list = append(*list, t)
	}
}

// elementBytes returns the bytes of the element that is read.
func (v *Visitor) elementBytes() []byte { return v.fields[0].bytes }
