package codec

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Strings are strings, in their order.
func (v *Visitor) Strings(num protowire.Number, x *[]string) {
	List(v, num, x, func(v *Visitor, s *string) {
		if v.reading {
			*s = string(v.elementBytes())
		} else {
			v.out = append(v.out, *s...)
		}
	})
}

// Messages are messages within another, in their order: a list of T, whose pointer is a Message.
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

// List writes or reads a list, each element as a field with bytes of its own, for which element is called with a visitor of its own.
// Elements that are read are added to the list. An element that can't be read is an error, and added as far as it was read.
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

// elementBytes are the bytes of an element that is read.
func (v *Visitor) elementBytes() []byte { return v.fields[0].bytes }
