package codec

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Message is what can be marshalled and unmarshalled. Fields calls one method of the visitor for each field, with numbers that never
// change.
type Message interface{ Fields(v *Visitor) }

// expectedFields is how many fields of a message are unmarshalled without a further allocation.
const expectedFields = 24

// MarshalAppend appends a message to buf.
func MarshalAppend(buf []byte, message Message) []byte {
	visitor := Visitor{out: buf}
	message.Fields(&visitor)
	return visitor.out
}

// Unmarshal reads a message from data, which must not change afterwards: fields of bytes point into it. The error names the field, and
// the byte at which data ends too early. What was read before an error is in m.
func Unmarshal(data []byte, message Message) error {
	var room [expectedFields]rawField
	visitor := Visitor{reading: true, fields: room[:0]}
	for at := 0; at < len(data); {
		num, typ, n := protowire.ConsumeTag(data[at:])
		if n < 0 {
			return fmt.Errorf("byte %d: %w", at, protowire.ParseError(n))
		}
		at += n
		f := rawField{num: num, typ: typ}
		if n = f.parseValue(data[at:]); n < 0 {
			return fmt.Errorf("field %d at byte %d: %w", num, at, protowire.ParseError(n))
		}
		at += n
		visitor.fields = append(visitor.fields, f)
	}
	message.Fields(&visitor)
	return visitor.err
}

// rawField is a field as it is on the wire.
type rawField struct {
	num   protowire.Number
	typ   protowire.Type
	value uint64 // of a varint or a fixed64
	bytes []byte // of a field with a length; they point into the message
}

// parseValue reads the field's value from the front of data. It gives the number of its bytes, or an error code of protowire below 0.
func (r *rawField) parseValue(data []byte) (n int) {
	switch r.typ {
	case protowire.VarintType:
		r.value, n = protowire.ConsumeVarint(data)
	case protowire.BytesType:
		r.bytes, n = protowire.ConsumeBytes(data)
	case protowire.Fixed64Type:
		r.value, n = protowire.ConsumeFixed64(data)
	default: // no field of ours: it is ignored
		n = protowire.ConsumeFieldValue(r.num, r.typ, data)
	}
	return n
}
