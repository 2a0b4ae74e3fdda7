package codec

import (
	"io"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// nestedMessage has fields of most types, and a list of nested messages of the same type.
type nestedMessage struct {
	N    uint64
	I    int64
	S    int
	D    time.Duration
	B    bool
	F    uint64
	X    float64
	Raw  []byte
	T    string
	Ts   []string
	Next []nestedMessage
}

func (n *nestedMessage) Fields(v *Visitor) {
	v.Uint64(1, &n.N)
	v.Int64(2, &n.I)
	v.Int(3, &n.S)
	v.Duration(4, &n.D)
	v.Bool(5, &n.B)
	v.Fixed64(6, &n.F)
	v.Float64(7, &n.X)
	v.Bytes(8, &n.Raw)
	v.String(9, &n.T)
	v.Strings(10, &n.Ts)
	Messages(v, 11, &n.Next)
}

func TestRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name  string
		value nestedMessage
	}{
		{"zero", nestedMessage{}},
		{"every field", nestedMessage{
			N: math.MaxUint64, I: math.MinInt64, S: -1, D: -time.Second, B: true, F: 9, X: -0.5,
			Raw: []byte{0}, T: "é", Ts: []string{"", "a", ""},
			Next: []nestedMessage{{}, {T: "x", Next: []nestedMessage{{N: 1}}}},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got nestedMessage
			qt.Assert(t, Unmarshal(MarshalAppend(nil, &test.value), &got), qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, test.value)
		})
	}
}

// MarshalAppend does not change the bytes that the buffer already has.
func TestMarshalAppends(t *testing.T) {
	got := MarshalAppend([]byte("before"), &nestedMessage{N: 1})
	qt.Assert(t, got, qt.DeepEquals, append([]byte("before"), 0x08, 0x01))
}

// Every truncated message, and every message with a changed byte, is either decoded or rejected, without a panic.
func TestCorruptMessagesAreRejected(t *testing.T) {
	complete := MarshalAppend(nil, &nestedMessage{N: 300, D: time.Second, T: "text", Ts: []string{"a"}, Next: []nestedMessage{{F: 1}}})
	for i := range complete {
		var got nestedMessage
		_ = Unmarshal(complete[:i], &got) // some truncated messages are valid
		for _, mask := range []byte{0, 1, 0x7f, 0xff} {
			corrupt := append([]byte{}, complete...)
			corrupt[i] ^= mask
			_ = Unmarshal(corrupt, &got)
		}
	}
	err := Unmarshal([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f}, &nestedMessage{})
	qt.Assert(t, err, qt.ErrorMatches, ".*unexpected EOF.*")
	qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}
