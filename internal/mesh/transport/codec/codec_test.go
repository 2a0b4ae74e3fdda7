package codec

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

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
	c := qt.New(t)
	for _, a := range []nestedMessage{{}, {
		N: math.MaxUint64, I: math.MinInt64, S: -1, D: -time.Second, B: true, F: 9, X: -0.5,
		Raw: []byte{0}, T: "é", Ts: []string{"", "a", ""}, Next: []nestedMessage{{}, {T: "x", Next: []nestedMessage{{N: 1}}}},
	}} {
		var b nestedMessage
		c.Assert(Unmarshal(MarshalAppend(nil, &a), &b), qt.IsNil)
		c.Assert(b, qt.DeepEquals, a)
	}
}

// Every shorter message and every one with a changed byte is read or refused, and never more than that.
func TestCorruptMessagesAreRejected(t *testing.T) {
	whole := MarshalAppend(nil, &nestedMessage{N: 300, D: time.Second, T: "text", Ts: []string{"a"}, Next: []nestedMessage{{F: 1}}})
	for i := range whole {
		var a nestedMessage
		_ = Unmarshal(whole[:i], &a)
		for _, x := range []byte{0, 1, 0x7f, 0xff} {
			spoilt := append([]byte{}, whole...)
			spoilt[i] ^= x
			_ = Unmarshal(spoilt, &a)
		}
	}
	qt.Assert(t, Unmarshal([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f}, &nestedMessage{}), qt.ErrorMatches, ".*unexpected EOF.*")
}
