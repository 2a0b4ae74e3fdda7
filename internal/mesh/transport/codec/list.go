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
			v.encoded = append(v.encoded, *s...)
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

// List visits a list. Each element is encoded as a separate length-delimited field with the list's number, in the order of the list. List
// calls element for each of them, with a visitor for the element's bytes. Elements that are read are appended to the list. An element that
// can't be decoded is reported as an error, and is appended nevertheless, partly decoded.
func List[T any](visitor *Visitor, num protowire.Number, list *[]T, element func(visitor *Visitor, t *T)) {
	if !visitor.reading {
		for i := range *list {
			visitor.appendNested(num, func(nested *Visitor) { element(nested, &(*list)[i]) })
		}
		return
	}
	var nested Visitor
	for i := range visitor.fields {
		if visitor.fields[i].num != num {
			continue
		}
		if visitor.fields[i].typ != protowire.BytesType {
			visitor.failType(num)
			return
		}
		var t T
		nested = Visitor{reading: true, fields: visitor.fields[i : i+1], split: visitor.split}
		element(&nested, &t)
		if nested.err != nil {
			visitor.setError(fmt.Errorf("field %d: %w", num, nested.err))
		}
		*list = append(*list, t)
	}
}

// elementBytes returns the bytes of the list element that this visitor reads.
func (v *Visitor) elementBytes() []byte { return v.content(&v.fields[0]) }
