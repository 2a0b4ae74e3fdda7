package codec

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Message is a message that can be marshalled and unmarshalled. Its method Fields calls one method of the visitor for each field.
type Message interface{ Fields(v *Visitor) }

// expectedFields is the number of fields up to which a message is unmarshalled without an allocation for them.
const expectedFields = 24

// MarshalAppend appends the encoding of a message to buf.
func MarshalAppend(buf []byte, message Message) []byte {
	visitor := Visitor{out: buf}
	message.Fields(&visitor)
	return visitor.out
}

// Unmarshal decodes a message from data, which must not change afterwards: fields of bytes point into it. The error names the field, or the
// byte at which data is invalid. After an error the message may have been decoded in part.
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

// rawField is a field as encoded on the wire.
type rawField struct {
	num   protowire.Number
	typ   protowire.Type
	value uint64 // of a varint or a fixed64
	bytes []byte // of a field with a length; they point into the data
}

// parseValue parses the field's value at the start of data. It returns the number of bytes, or a negative error code of protowire.
func (r *rawField) parseValue(data []byte) (n int) {
	switch r.typ {
	case protowire.VarintType:
		r.value, n = protowire.ConsumeVarint(data)
	case protowire.BytesType:
		r.bytes, n = protowire.ConsumeBytes(data)
	case protowire.Fixed64Type:
		r.value, n = protowire.ConsumeFixed64(data)
	default: // of a type that no message of the mesh has: it is skipped
		n = protowire.ConsumeFieldValue(r.num, r.typ, data)
	}
	return n
}
