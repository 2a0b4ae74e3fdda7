package codec

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Visitor writes the fields of a message, or reads them. Each of its methods takes the number of a field and a pointer to its value. If a
// field occurs more than once in the data, its last occurrence is read; a list is read from all occurrences. It is an error if the wire
// type of a field is not the one that the method expects.
type Visitor struct {
	shared  Buffers // fields written so far up to and including the last content that was not copied; nil if all was copied
	encoded []byte  // fields written after those in shared
	reading bool
	fields  []rawField // all fields of the message that is read
	split   []Buffers  // contents of the length-delimited fields in several parts
	err     error      // first error that was reported
}

// joined returns the fields that were written, in one part.
func (v *Visitor) joined() []byte {
	if v.shared == nil {
		return v.encoded
	}
	return append(v.shared, v.encoded).Join()
}

// Reading reports whether the visitor reads fields, as opposed to writing them.
func (v *Visitor) Reading() bool { return v.reading }

// Fail reports that the value that was read for a field is invalid. Unmarshal returns the first error that was reported. reason follows the
// field's number in the text of the error, as in "field 3 has another type".
func (v *Visitor) Fail(num protowire.Number, reason string) {
	v.setError(fmt.Errorf("field %d %s", num, reason))
}

// setError records an error, unless one was recorded before.
func (v *Visitor) setError(err error) {
	if v.err == nil {
		v.err = err
	}
}

// lastField returns the last field with a number. It returns nil if there is none, or if the field's wire type is not typ, which is also
// reported as an error.
func (v *Visitor) lastField(num protowire.Number, typ protowire.Type) *rawField {
	for i := len(v.fields) - 1; i >= 0; i-- {
		f := &v.fields[i]
		if f.num != num {
			continue
		}
		if f.typ != typ {
			v.failType(num)
			return nil
		}
		return f
	}
	return nil
}

// content returns the content of a length-delimited field in one part.
func (v *Visitor) content(f *rawField) []byte {
	if f.value > 0 {
		return v.split[f.value-1].Join()
	}
	return f.bytes
}

// buffers returns the content of a length-delimited field in its parts; nil if it is empty.
func (v *Visitor) buffers(f *rawField) Buffers {
	if f.value > 0 {
		return v.split[f.value-1]
	}
	return BuffersOf(f.bytes)
}

// addField adds a field of the message that is read. content is that of a length-delimited field; nil for other fields.
func (v *Visitor) addField(f rawField, content Buffers) {
	if len(content) > 1 {
		v.split = append(v.split, content)
		f.value = uint64(len(v.split))
	} else {
		f.bytes = content.Join()
	}
	v.fields = append(v.fields, f)
}

func (v *Visitor) failType(num protowire.Number) { v.Fail(num, "has another type") }

// Uint64 visits an unsigned integer (uint64).
func (v *Visitor) Uint64(num protowire.Number, x *uint64) {
	if v.reading {
		if f := v.lastField(num, protowire.VarintType); f != nil {
			*x = f.value
		}
		return
	}
	if *x != 0 {
		tagged := protowire.AppendTag(v.encoded, num, protowire.VarintType)
		v.encoded = protowire.AppendVarint(tagged, *x)
	}
}

// Int64 visits a signed integer (sint64).
func (v *Visitor) Int64(num protowire.Number, x *int64) {
	u := protowire.EncodeZigZag(*x)
	v.Uint64(num, &u)
	if v.reading {
		*x = protowire.DecodeZigZag(u)
	}
}

// Int visits an int (sint64).
func (v *Visitor) Int(num protowire.Number, x *int) {
	i := int64(*x)
	v.Int64(num, &i)
	*x = int(i)
}

// Duration visits a duration (sint64), which is encoded in nanoseconds.
func (v *Visitor) Duration(num protowire.Number, x *time.Duration) { v.Int64(num, (*int64)(x)) }

// Bool visits a boolean (bool). Any number but 0 is read as true.
func (v *Visitor) Bool(num protowire.Number, x *bool) {
	var u uint64
	if *x {
		u = 1
	}
	v.Uint64(num, &u)
	*x = u != 0
}

// Fixed64 visits an unsigned integer that is rarely small, such as a random number (fixed64).
func (v *Visitor) Fixed64(num protowire.Number, x *uint64) {
	if v.reading {
		if f := v.lastField(num, protowire.Fixed64Type); f != nil {
			*x = f.value
		}
		return
	}
	if *x != 0 {
		tagged := protowire.AppendTag(v.encoded, num, protowire.Fixed64Type)
		v.encoded = protowire.AppendFixed64(tagged, *x)
	}
}

// Float64 visits a floating-point number (double). Negative zero is written.
func (v *Visitor) Float64(num protowire.Number, x *float64) {
	u := math.Float64bits(*x)
	v.Fixed64(num, &u)
	*x = math.Float64frombits(u)
}

// Bytes visits a byte slice. When read, the slice is a part of the data that is unmarshalled, and not a copy.
func (v *Visitor) Bytes(num protowire.Number, x *[]byte) {
	if v.reading {
		if f := v.lastField(num, protowire.BytesType); f != nil {
			*x = v.content(f)
		}
		return
	}
	if len(*x) > 0 {
		tagged := protowire.AppendTag(v.encoded, num, protowire.BytesType)
		v.encoded = protowire.AppendBytes(tagged, *x)
	}
}

// String visits a string. It does not check that the string is valid UTF-8.
func (v *Visitor) String(num protowire.Number, x *string) {
	if v.reading {
		if f := v.lastField(num, protowire.BytesType); f != nil {
			*x = string(v.content(f))
		}
		return
	}
	if *x != "" {
		tagged := protowire.AppendTag(v.encoded, num, protowire.BytesType)
		v.encoded = protowire.AppendString(tagged, *x)
	}
}

// Message visits a nested message. Unlike other fields, it is written even if all fields of the nested message are zero.
func (v *Visitor) Message(num protowire.Number, m Message) {
	if !v.reading {
		v.appendNested(num, m.Fields)
		return
	}
	f := v.lastField(num, protowire.BytesType)
	if f == nil {
		return
	}
	if err := UnmarshalBuffers(v.buffers(f), m); err != nil {
		v.setError(fmt.Errorf("field %d: %w", num, err))
	}
}

// appendNested writes a length-delimited field. write writes the content of the field to nested, a separate visitor.
func (v *Visitor) appendNested(num protowire.Number, write func(nested *Visitor)) {
	var nested Visitor
	write(&nested)
	tagged := protowire.AppendTag(v.encoded, num, protowire.BytesType)
	v.encoded = protowire.AppendBytes(tagged, nested.joined())
}
