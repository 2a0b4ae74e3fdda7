// Package codec is how messages between processes of the system are written: the protocol buffers wire format, field by
// field. A message names its fields once, in Fields, for writing and for reading alike. Fields that a reader does not know
// are passed over, and those that are missing keep their zero value, so that two versions can talk.
package codec

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Message is what can be written and read. Fields calls the visitor once for each field, with numbers that never change.
type Message interface{ Fields(v *Visitor) }

// Visitor writes fields, or reads them.
type Visitor struct {
	out     []byte
	reading bool
	fields  []rawField
	err     error
}

type rawField struct {
	num   protowire.Number
	typ   protowire.Type
	value uint64
	bytes []byte
}

// Reading tells whether fields are being read.
func (v *Visitor) Reading() bool { return v.reading }

// MarshalAppend appends a message to buf.
func MarshalAppend(buf []byte, m Message) []byte {
	v := Visitor{out: buf}
	m.Fields(&v)
	return v.out
}

// Unmarshal takes a message from data, which must not change afterwards: byte fields point into it. The error says where data is
// not what it should be.
func Unmarshal(data []byte, m Message) error {
	var room [24]rawField
	v := Visitor{reading: true, fields: room[:0]}
	for at := 0; at < len(data); {
		num, typ, n := protowire.ConsumeTag(data[at:])
		if n < 0 {
			return fmt.Errorf("byte %d: %w", at, protowire.ParseError(n))
		}
		at += n
		f := rawField{num: num, typ: typ}
		switch typ {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(data[at:])
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(data[at:])
		case protowire.Fixed64Type:
			f.value, n = protowire.ConsumeFixed64(data[at:])
		default:
			n = protowire.ConsumeFieldValue(num, typ, data[at:])
		}
		if n < 0 {
			return fmt.Errorf("field %d at byte %d: %w", num, at, protowire.ParseError(n))
		}
		at += n
		v.fields = append(v.fields, f)
	}
	m.Fields(&v)
	return v.err
}

func (v *Visitor) lastField(num protowire.Number, typ protowire.Type) *rawField {
	for i := len(v.fields) - 1; i >= 0; i-- { // of a field that is there twice the last one counts
		if f := &v.fields[i]; f.num == num {
			if f.typ != typ {
				v.fail(num, "has another type")
				return nil
			}
			return f
		}
	}
	return nil
}

// Fail tells that what was read for a field is not what it should be; the first such error is the one that Read returns.
func (v *Visitor) Fail(num protowire.Number, why string) { v.fail(num, why) }

func (v *Visitor) fail(num protowire.Number, why string) {
	if v.err == nil {
		v.err = fmt.Errorf("field %d %s", num, why)
	}
}

// Uint64 is a number that is not negative.
func (v *Visitor) Uint64(num protowire.Number, x *uint64) {
	if v.reading {
		if f := v.lastField(num, protowire.VarintType); f != nil {
			*x = f.value
		}
	} else if *x != 0 {
		v.out = protowire.AppendVarint(protowire.AppendTag(v.out, num, protowire.VarintType), *x)
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

// Int is an int that may be negative.
func (v *Visitor) Int(num protowire.Number, x *int) {
	i := int64(*x)
	v.Int64(num, &i)
	*x = int(i)
}

// Duration is a duration, in nanoseconds.
func (v *Visitor) Duration(num protowire.Number, x *time.Duration) { v.Int64(num, (*int64)(x)) }

// Bool is true or false.
func (v *Visitor) Bool(num protowire.Number, x *bool) {
	var u uint64
	if *x {
		u = 1
	}
	v.Uint64(num, &u)
	*x = u != 0
}

// Fixed64 is a 64-bit number that is seldom small, such as a random one.
func (v *Visitor) Fixed64(num protowire.Number, x *uint64) {
	if v.reading {
		if f := v.lastField(num, protowire.Fixed64Type); f != nil {
			*x = f.value
		}
	} else if *x != 0 {
		v.out = protowire.AppendFixed64(protowire.AppendTag(v.out, num, protowire.Fixed64Type), *x)
	}
}

// Float64 is a double.
func (v *Visitor) Float64(num protowire.Number, x *float64) {
	u := math.Float64bits(*x)
	v.Fixed64(num, &u)
	*x = math.Float64frombits(u)
}

// Bytes are bytes; what is read points into the data.
func (v *Visitor) Bytes(num protowire.Number, x *[]byte) {
	if v.reading {
		if f := v.lastField(num, protowire.BytesType); f != nil {
			*x = f.bytes
		}
	} else if len(*x) > 0 {
		v.out = protowire.AppendBytes(protowire.AppendTag(v.out, num, protowire.BytesType), *x)
	}
}

// String is a string.
func (v *Visitor) String(num protowire.Number, x *string) {
	if v.reading {
		if f := v.lastField(num, protowire.BytesType); f != nil {
			*x = string(f.bytes)
		}
	} else if *x != "" {
		v.out = protowire.AppendString(protowire.AppendTag(v.out, num, protowire.BytesType), *x)
	}
}

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

func (v *Visitor) elementBytes() []byte { return v.fields[0].bytes }

// Message is one message within another.
func (v *Visitor) Message(num protowire.Number, m Message) {
	if v.reading {
		if f := v.lastField(num, protowire.BytesType); f != nil {
			if err := Unmarshal(f.bytes, m); err != nil && v.err == nil {
				v.err = fmt.Errorf("field %d: %w", num, err)
			}
		}
		return
	}
	v.appendNested(num, func(w *Visitor) { m.Fields(w) })
}

// Messages are messages within another, in their order: a list of T, whose pointer is a Message.
func Messages[T any, P interface {
	*T
	Message
}](v *Visitor, num protowire.Number, x *[]T) {
	List(v, num, x, func(v *Visitor, t *T) {
		if !v.reading {
			P(t).Fields(v)
		} else if err := Unmarshal(v.elementBytes(), P(t)); err != nil && v.err == nil {
			v.err = err
		}
	})
}

// List writes or reads a list, each of its elements as bytes of their own.
func List[T any](v *Visitor, num protowire.Number, x *[]T, one func(v *Visitor, t *T)) {
	if !v.reading {
		for i := range *x {
			v.appendNested(num, func(w *Visitor) { one(w, &(*x)[i]) })
		}
		return
	}
	for i := range v.fields {
		if v.fields[i].num != num {
			continue
		}
		if v.fields[i].typ != protowire.BytesType {
			v.fail(num, "has another type")
			return
		}
		var t T
		w := Visitor{reading: true, fields: v.fields[i : i+1]}
		one(&w, &t)
		if w.err != nil && v.err == nil {
			v.err = fmt.Errorf("field %d: %w", num, w.err)
		}
		*x = append(*x, t)
	}
}

func (v *Visitor) appendNested(num protowire.Number, write func(w *Visitor)) {
	var w Visitor
	write(&w)
	v.out = protowire.AppendBytes(protowire.AppendTag(v.out, num, protowire.BytesType), w.out)
}
