package codec

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Visitor writes the fields of a message, or reads them. Each of its methods takes the number of a field and a pointer to its value. If a
// field occurs more than once the last one counts; a list has all of them. A field whose type on the wire is not the method's is an error.
type Visitor struct {
	out     []byte // that was written
	reading bool
	fields  []rawField // of the message that is read
	err     error      // the first one
}

// Reading reports whether fields are read, as opposed to written.
func (v *Visitor) Reading() bool { return v.reading }

// Fail reports that the value that was read for a field is invalid. Unmarshal returns the first error that is reported.
func (v *Visitor) Fail(num protowire.Number, reason string) {
	v.setError(fmt.Errorf("field %d %s", num, reason))
}

// setError records an error if it is the first one.
func (v *Visitor) setError(err error) {
	if v.err == nil {
		v.err = err
	}
}

// lastField returns the last field with a number; nil if there is none, or if it has another type, which is reported as an error.
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

func (v *Visitor) failType(num protowire.Number) { v.Fail(num, "has another type") }

// Uint64 visits a number that is not negative (uint64).
func (v *Visitor) Uint64(num protowire.Number, x *uint64) {
	if v.reading {
		if f := v.lastField(num, protowire.VarintType); f != nil {
			*x = f.value
		}
		return
	}
	if *x != 0 {
		tagged := protowire.AppendTag(v.out, num, protowire.VarintType)
		v.out = protowire.AppendVarint(tagged, *x)
	}
}

// Int64 visits a number that may be negative (sint64).
func (v *Visitor) Int64(num protowire.Number, x *int64) {
	u := protowire.EncodeZigZag(*x)
	v.Uint64(num, &u)
	if v.reading {
		*x = protowire.DecodeZigZag(u)
	}
}

// Int visits an int that may be negative (sint64).
func (v *Visitor) Int(num protowire.Number, x *int) {
	i := int64(*x)
	v.Int64(num, &i)
	*x = int(i)
}

// Duration visits a duration, in nanoseconds on the wire (sint64).
func (v *Visitor) Duration(num protowire.Number, x *time.Duration) { v.Int64(num, (*int64)(x)) }

// Bool visits a truth value (bool). Any number but 0 is read as true.
func (v *Visitor) Bool(num protowire.Number, x *bool) {
	var u uint64
	if *x {
		u = 1
	}
	v.Uint64(num, &u)
	*x = u != 0
}

// Fixed64 visits a number that is rarely small, such as a random one (fixed64).
func (v *Visitor) Fixed64(num protowire.Number, x *uint64) {
	if v.reading {
		if f := v.lastField(num, protowire.Fixed64Type); f != nil {
			*x = f.value
		}
		return
	}
	if *x != 0 {
		tagged := protowire.AppendTag(v.out, num, protowire.Fixed64Type)
		v.out = protowire.AppendFixed64(tagged, *x)
	}
}

// Float64 visits a floating-point number (double). Negative zero is written.
func (v *Visitor) Float64(num protowire.Number, x *float64) {
	u := math.Float64bits(*x)
	v.Fixed64(num, &u)
	*x = math.Float64frombits(u)
}

// Bytes visits bytes. Those that are read point into the data that is unmarshalled.
func (v *Visitor) Bytes(num protowire.Number, x *[]byte) {
	if v.reading {
		if f := v.lastField(num, protowire.BytesType); f != nil {
			*x = f.bytes
		}
		return
	}
	if len(*x) > 0 {
		tagged := protowire.AppendTag(v.out, num, protowire.BytesType)
		v.out = protowire.AppendBytes(tagged, *x)
	}
}

// String visits a string, which is not checked to be UTF-8.
func (v *Visitor) String(num protowire.Number, x *string) {
	if v.reading {
		if f := v.lastField(num, protowire.BytesType); f != nil {
			*x = string(f.bytes)
		}
		return
	}
	if *x != "" {
		tagged := protowire.AppendTag(v.out, num, protowire.BytesType)
		v.out = protowire.AppendString(tagged, *x)
	}
}

// Message visits a nested message. Unlike other fields it is written even if all its fields are zero.
func (v *Visitor) Message(num protowire.Number, m Message) {
	if !v.reading {
		v.appendNested(num, m.Fields)
		return
	}
	f := v.lastField(num, protowire.BytesType)
	if f == nil {
		return
	}
	if err := Unmarshal(f.bytes, m); err != nil {
		v.setError(fmt.Errorf("field %d: %w", num, err))
	}
}

// appendNested writes a field whose bytes are those that write adds to a visitor of its own.
func (v *Visitor) appendNested(num protowire.Number, write func(nested *Visitor)) {
	var nested Visitor
	write(&nested)
	tagged := protowire.AppendTag(v.out, num, protowire.BytesType)
	v.out = protowire.AppendBytes(tagged, nested.out)
}
