package codec

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type act struct {
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
	Next []act
}

func (a *act) Fields(v *Visitor) {
	v.Uint(1, &a.N)
	v.Int(2, &a.I)
	v.Small(3, &a.S)
	v.Time(4, &a.D)
	v.Bool(5, &a.B)
	v.Fixed(6, &a.F)
	v.Float(7, &a.X)
	v.Bytes(8, &a.Raw)
	v.Text(9, &a.T)
	v.Texts(10, &a.Ts)
	Messages(v, 11, &a.Next)
}

func TestWrittenIsRead(t *testing.T) {
	c := qt.New(t)
	for _, a := range []act{{}, {N: math.MaxUint64, I: math.MinInt64, S: -1, D: -time.Second, B: true, F: 9, X: -0.5,
		Raw: []byte{0}, T: "é", Ts: []string{"", "a", ""}, Next: []act{{}, {T: "x", Next: []act{{N: 1}}}}}} {
		var b act
		c.Assert(Read(Write(nil, &a), &b), qt.IsNil)
		c.Assert(b, qt.DeepEquals, a)
	}
}

// Every shorter message and every one with a changed byte is read or refused, and never more than that.
func TestSpoiltIsRefused(t *testing.T) {
	whole := Write(nil, &act{N: 300, D: time.Second, T: "text", Ts: []string{"a"}, Next: []act{{F: 1}}})
	for i := range whole {
		var a act
		_ = Read(whole[:i], &a)
		for _, x := range []byte{0, 1, 0x7f, 0xff} {
			spoilt := append([]byte{}, whole...)
			spoilt[i] ^= x
			_ = Read(spoilt, &a)
		}
	}
	qt.Assert(t, Read([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f}, &act{}), qt.ErrorMatches, ".*unexpected EOF.*")
}
