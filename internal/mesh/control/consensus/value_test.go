package consensus

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/transport/codec"
)

// nthChange returns the change from version n-1 to version n.
func nthChange(n int) *Change {
	return NewChange(configuration.Version(n-1), configuration.Version(n), fmt.Appendf(nil, "body %d", n))
}

// valueAfter returns the value after the given number of changes, the first ones of nthChange.
func valueAfter(c *qt.C, orders int) *Value {
	value := &Value{VoterSet: firstVoterSet(3)}
	for n := 1; n <= orders; n++ {
		verdict, next := nthChange(n).evaluate(value)
		c.Assert(verdict, qt.Equals, Committed)
		value = next
	}
	return value
}

// The verdict on a repeated change is Committed or Unknown, however old the change is. The verdict on a change that certainly
// was never applied is Conflict.
func TestBoundedHistory(t *testing.T) {
	c := qt.New(t)
	const orders = 1000
	value := valueAfter(c, orders)
	c.Assert(len(value.History), qt.Equals, maxHistory)
	c.Assert(value.TruncatedVersion, qt.Equals, uint64(orders-maxHistory))
	for n := 1; n <= orders; n++ {
		verdict, next := nthChange(n).evaluate(value)
		want := Committed
		if n <= orders-maxHistory {
			want = Unknown
		}
		c.Assert(verdict, qt.Equals, want, qt.Commentf("order %d", n))
		c.Assert(next, qt.Equals, value)
	}
	body := []byte("another body")
	for name, test := range map[string]struct {
		base, version configuration.Version
		verdict       Verdict
	}{
		"base is the newest version":                                      {orders, orders + 1, Committed},
		"base is the newest version, version skips some":                  {orders, orders + 50, Committed},
		"base is the newest version, which is also its version":           {orders, orders, Conflict},
		"base is an older version":                                        {orders - 1, orders + 1, Conflict},
		"base was dropped from the history, version is above all":         {3, orders + 1, Conflict},
		"version is in the history with another body":                     {orders - 2, orders - 1, Conflict},
		"version is the oldest in the history":                            {3, orders - maxHistory + 1, Conflict},
		"version was dropped from the history":                            {3, orders - maxHistory, Unknown},
		"version was dropped from the history, and is not above its base": {4, 3, Conflict},
	} {
		t.Run(name, func(t *testing.T) {
			verdict, _ := NewChange(test.base, test.version, body).evaluate(value)
			qt.Assert(t, verdict, qt.Equals, test.verdict)
		})
	}
}

// A reported refusal stays valid under all later versions. When there is no room to store a refusal, none is reported.
func TestRefusalsAreRemembered(t *testing.T) {
	c := qt.New(t)
	value := valueAfter(c, 1)
	ahead := func(i int) *Change { return NewChange(50, configuration.Version(100+i), []byte("ahead")) }
	for i := range maxRefused {
		verdict, next := ahead(i).evaluate(value)
		c.Assert(verdict, qt.Equals, Conflict)
		value = next
	}
	verdict, same := ahead(maxRefused).evaluate(value)
	c.Assert(verdict, qt.Equals, Unknown)
	c.Assert(same, qt.Equals, value)
	for n := 2; n <= 50; n++ {
		verdict, value = nthChange(n).evaluate(value)
		c.Assert(verdict, qt.Equals, Committed)
	}
	for i := range maxRefused { // the base of these changes is the newest version now
		verdict, same = ahead(i).evaluate(value)
		c.Assert(verdict, qt.Equals, Conflict, qt.Commentf("verdict on refused change %d", i))
		c.Assert(same, qt.Equals, value)
	}
	verdict, value = ahead(maxRefused).evaluate(value)
	c.Assert(verdict, qt.Equals, Committed) // the change was never refused
	c.Assert(value.Refused, qt.HasLen, 0)   // version 164 rules out all of them
	for i := range maxRefused {
		verdict, _ = ahead(i).evaluate(value)
		c.Assert(verdict, qt.Equals, Conflict)
	}
}

// The encoded size of a value without its body is bounded, however many changes were made.
func TestHistoryStaysSmall(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ orders, most int }{
		{10, 150},
		{100, 1000},
		{1000, 2400},
		{3000, 2400},
	} {
		value := valueAfter(c, test.orders)
		value.Body = nil
		size := len(codec.MarshalAppend(nil, value))
		t.Logf("%d changes: %d bytes", test.orders, size)
		c.Assert(size <= test.most, qt.IsTrue, qt.Commentf("encoded size after %d changes is %d bytes", test.orders, size))
	}
}

// legacyValue is a Value in the format of older releases, whose history had at most 64 versions, each with the complete
// SHA-256 of its body.
type legacyValue struct {
	version uint64
	body    []byte
	history []legacyDigest
	refused []legacyDigest
}

func (l *legacyValue) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, &l.version)
	visitor.Bytes(2, &l.body)
	codec.Messages(visitor, 3, &l.history)
	codec.Messages(visitor, 4, &l.refused)
}

type legacyDigest struct {
	version uint64
	sum     [sha256.Size]byte
}

func (l *legacyDigest) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, &l.version)
	sum := l.sum[:]
	visitor.Bytes(2, &sum)
}

// After a record of an older release is decoded, its history and refusals still determine verdicts. The verdict on a version
// before the history is Unknown, as the old record may have dropped it.
func TestOldHistoryIsRead(t *testing.T) {
	c := qt.New(t)
	old := legacyValue{version: 9, body: []byte("body 9")}
	for n := 5; n <= 9; n++ {
		old.history = append(old.history, legacyDigest{uint64(n), sha256.Sum256(nthChange(n).Body)})
	}
	ahead := NewChange(20, 21, []byte("ahead"))
	old.refused = []legacyDigest{{21, sha256.Sum256(ahead.Body)}}
	var value Value
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &old), &value), qt.IsNil)
	for n, want := range map[int]Verdict{3: Unknown, 4: Unknown, 5: Committed, 9: Committed, 10: Committed} {
		verdict, next := nthChange(n).evaluate(&value)
		c.Assert(verdict, qt.Equals, want, qt.Commentf("order %d", n))
		var decoded Value
		c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, next), &decoded), qt.IsNil)
		c.Assert(decoded, qt.DeepEquals, *next)
	}
	verdict, _ := ahead.evaluate(&value)
	c.Assert(verdict, qt.Equals, Conflict)
	verdict, _ = NewChange(4, 5, []byte("other")).evaluate(&value)
	c.Assert(verdict, qt.Equals, Conflict)
}

// A history that ends within an entry, or whose versions do not increase, results in an error that names the field.
func TestCorruptHistory(t *testing.T) {
	c := qt.New(t)
	value := Value{Version: 300, History: []VersionDigest{{1, Digest{1}}, {300, Digest{2}}}}
	data := codec.MarshalAppend(nil, &value)
	index := slices.Index(data, 6<<3|2) + 1 // the index of the length of the history, which is the last field
	length := int(data[index])
	for n := 1; n < length; n++ {
		truncated := slices.Clone(data[:index+1+n])
		truncated[index] = byte(n)
		err := codec.Unmarshal(truncated, &Value{})
		if n == 1+len(Digest{}) {
			c.Assert(err, qt.IsNil) // the history ends after the first of the two entries
			continue
		}
		c.Assert(err, qt.ErrorMatches, "field 6 ends within.*", qt.Commentf("history truncated to %d bytes", n))
	}
	for _, second := range []uint64{1, 0} {
		value.History[1].Version = second
		c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &value), &Value{}), qt.ErrorMatches,
			"field 6 has history versions that do not increase")
	}
}
