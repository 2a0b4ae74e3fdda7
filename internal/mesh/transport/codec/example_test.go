package codec_test

import (
	"fmt"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// Lease is a message with two fields.
type Lease struct {
	Holder string
	Length time.Duration
}

// Fields implements codec.Message.
func (l *Lease) Fields(v *codec.Visitor) {
	v.String(1, &l.Holder)
	v.Duration(2, &l.Length)
}

// LaterLease is Lease in a later version of the program, which has added a field.
type LaterLease struct {
	Lease
	Epoch uint64
}

// Fields implements codec.Message.
func (l *LaterLease) Fields(v *codec.Visitor) {
	l.Lease.Fields(v)
	v.Uint64(3, &l.Epoch)
}

// Two versions of a program exchange a message. The earlier version ignores the new field.
func Example() {
	data := codec.MarshalAppend(nil, &LaterLease{Lease: Lease{Holder: "10.0.0.4:7640", Length: time.Second}, Epoch: 7})
	var earlier Lease
	if err := codec.Unmarshal(data, &earlier); err != nil {
		fmt.Println(err)
	}
	fmt.Println(earlier.Holder, earlier.Length)

	var later LaterLease
	if err := codec.Unmarshal(codec.MarshalAppend(nil, &earlier), &later); err != nil {
		fmt.Println(err)
	}
	fmt.Println(later.Holder, later.Epoch)
	// Output:
	// 10.0.0.4:7640 1s
	// 10.0.0.4:7640 0
}
