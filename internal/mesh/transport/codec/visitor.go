package codec

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Visitor writes the fields of a message, or reads them. Each of its methods takes the field's number and a pointer to its value. Where
// a field comes more than once, the last one counts; lists keep all. A field on the wire with another type than the method's is an
// error.
type Visitor struct {
	out     []byte // what is written
	reading bool
	fields  []rawField // what is read
	err     error      // the first one
}

// Reading reports whether fields are read, not written.
func (v *Visitor) Reading() bool { return v.reading }

// Fail says that what was read for a field is not what it should be. The first such error is the one that Unmarshal returns.
func (v *Visitor) Fail(num protowire.Number, reason string) {
	v.setError(fmt.Errorf("field %d %s", num, reason))
}

// setError notes an error if it is the first one.
func (v *Visitor) setError(err error) {
	if v.err == nil {
		v.err = err
	}
}

// lastField is the last field with a number; nil if there is none, or if it has another type, which is an error.
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

// Uint64 is a number that is not negative (uint64).
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

// Int64 is a number that may be negative (sint64).
func (v *Visitor) Int64(num protowire.Number, x *int64) {
	u := protowire.EncodeZigZag(*x)
	v.Uint64(num, &u)
	if v.reading {
		*x = protowire.DecodeZigZag(u)
	}
}

// Int is an int that may be negative (sint64).
func (v *Visitor) Int(num protowire.Number, x *int) {
	i := int64(*x)
	v.Int64(num, &i)
	*x = int(i)
}

// Duration is a time in nanoseconds (sint64).
func (v *Visitor) Duration(num protowire.Number, x *time.Duration) { v.Int64(num, (*int64)(x)) }

// Bool is true or false (bool); any number but 0 is read as true.
func (v *Visitor) Bool(num protowire.Number, x *bool) {
	var u uint64
	if *x {
		u = 1
	}
	v.Uint64(num, &u)
	*x = u != 0
}

// Fixed64 is a number that is seldom small, such as a random one (fixed64).
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

// Float64 is a double. Negative zero is written.
func (v *Visitor) Float64(num protowire.Number, x *float64) {
	u := math.Float64bits(*x)
	v.Fixed64(num, &u)
	*x = math.Float64frombits(u)
}

// Bytes are bytes; those that are read point into the data that is unmarshalled.
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

// String is a string. It is not checked to be UTF-8.
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

// Message is a message within another. Unlike other fields it is written if all its fields are zero, too.
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

// appendNested writes a field whose bytes are what write writes to a visitor of its own.
func (v *Visitor) appendNested(num protowire.Number, write func(nested *Visitor)) {
	var nested Visitor
	write(&nested)
	tagged := protowire.AppendTag(v.out, num, protowire.BytesType)
	v.out = protowire.AppendBytes(tagged, nested.out)
}
