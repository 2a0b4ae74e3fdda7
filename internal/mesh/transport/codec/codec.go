package codec

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Message can be marshalled and unmarshalled. Its method Fields calls one method of the visitor for each field of the message.
type Message interface{ Fields(v *Visitor) }

// expectedFields is the number of fields up to which Unmarshal needs no heap allocation for a message's list of fields.
const expectedFields = 24

// MarshalAppend appends the encoding of a message to buf, and returns the extended buffer.
func MarshalAppend(buf []byte, message Message) []byte {
	visitor := Visitor{encoded: buf}
	message.Fields(&visitor)
	return visitor.joined()
}

// Unmarshal decodes a message from data, which must not be modified afterwards, because byte slices of the message point into it. The error
// names the field, or the offset of the byte, at which data is invalid. After an error the message may be partly decoded.
func Unmarshal(data []byte, message Message) error {
	var initialFields [expectedFields]rawField
	visitor := Visitor{reading: true, fields: initialFields[:0]}
	for offset := 0; offset < len(data); {
		num, typ, n := protowire.ConsumeTag(data[offset:])
		if n < 0 {
			return fieldError(0, offset, protowire.ParseError(n))
		}
		offset += n
		f := rawField{num: num, typ: typ}
		if n = f.parseValue(data[offset:]); n < 0 {
			return fieldError(num, offset, protowire.ParseError(n))
		}
		offset += n
		visitor.fields = append(visitor.fields, f)
	}
	message.Fields(&visitor)
	return visitor.err
}

// fieldError returns the error for a field at a byte offset that can't be parsed. num is 0 if the field's number could not be parsed either.
func fieldError(num protowire.Number, offset int, err error) error {
	if num == 0 {
		return fmt.Errorf("byte %d: %w", offset, err)
	}
	return fmt.Errorf("field %d at byte %d: %w", num, offset, err)
}

// rawField is a field of a message that is read, with its value as encoded on the wire.
type rawField struct {
	num   protowire.Number
	typ   protowire.Type
	value uint64 // value of a varint or a fixed64 field; of a length-delimited field in several parts its position in Visitor.split, from 1
	bytes []byte // content of a length-delimited field in one part; a part of the data that is read
}

// parseValue parses the field's value at the start of data. It returns the value's length in bytes, or a negative error code of protowire.
func (r *rawField) parseValue(data []byte) (n int) {
	switch r.typ {
	case protowire.VarintType:
		r.value, n = protowire.ConsumeVarint(data)
	case protowire.BytesType:
		r.bytes, n = protowire.ConsumeBytes(data)
	case protowire.Fixed64Type:
		r.value, n = protowire.ConsumeFixed64(data)
	default: // no message of the mesh uses this wire type: the value is skipped
		n = protowire.ConsumeFieldValue(r.num, r.typ, data)
	}
	return n
}
