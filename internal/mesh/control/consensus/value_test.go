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

// valueAfter returns the value after the first changes of nthChange.
func valueAfter(c *qt.C, orders int) *Value {
	value := &Value{VoterSet: firstVoterSet(3)}
	for n := 1; n <= orders; n++ {
		verdict, next := nthChange(n).evaluate(value)
		c.Assert(verdict, qt.Equals, Committed)
		value = next
	}
	return value
}

// A repeat of a change, however old, is Committed or Unknown. A change that certainly was never in force stays a Conflict.
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
		"on the newest":                          {orders, orders + 1, Committed},
		"on the newest, with a higher number":    {orders, orders + 50, Committed},
		"on the newest, with its number":         {orders, orders, Conflict},
		"on an older version":                    {orders - 1, orders + 1, Conflict},
		"on a forgotten version, above the rest": {3, orders + 1, Conflict},
		"a remembered number with another body":  {orders - 2, orders - 1, Conflict},
		"the oldest remembered number":           {3, orders - maxHistory + 1, Conflict},
		"a forgotten number":                     {3, orders - maxHistory, Unknown},
		"a forgotten number, not above its base": {4, 3, Conflict},
	} {
		t.Run(name, func(t *testing.T) {
			verdict, _ := NewChange(test.base, test.version, body).evaluate(value)
			qt.Assert(t, verdict, qt.Equals, test.verdict)
		})
	}
}

// A refusal that was reported outlasts all that follows; with no room left to remember one, none is reported.
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
	for i := range maxRefused { // their base is here now
		verdict, same = ahead(i).evaluate(value)
		c.Assert(verdict, qt.Equals, Conflict, qt.Commentf("%d", i))
		c.Assert(same, qt.Equals, value)
	}
	verdict, value = ahead(maxRefused).evaluate(value)
	c.Assert(verdict, qt.Equals, Committed) // it was never refused
	c.Assert(value.Refused, qt.HasLen, 0)   // version 164 rules out all of them
	for i := range maxRefused {
		verdict, _ = ahead(i).evaluate(value)
		c.Assert(verdict, qt.Equals, Conflict)
	}
}

// The bytes that a value needs beside its body stop growing with the number of changes.
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
		c.Assert(size <= test.most, qt.IsTrue, qt.Commentf("%d changes: %d bytes", test.orders, size))
	}
}

// legacyValue is a Value in the format of versions that remembered 64 versions, each by the complete SHA-256 of its body.
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

// What an old record remembers is still known, and what it doesn't is unknown, as it may have dropped it.
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
		var again Value
		c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, next), &again), qt.IsNil)
		c.Assert(again, qt.DeepEquals, *next)
	}
	verdict, _ := ahead.evaluate(&value)
	c.Assert(verdict, qt.Equals, Conflict)
	verdict, _ = NewChange(4, 5, []byte("other")).evaluate(&value)
	c.Assert(verdict, qt.Equals, Conflict)
}

// A history that ends early, or whose versions don't rise, is an error that names its field.
func TestCorruptHistory(t *testing.T) {
	c := qt.New(t)
	value := Value{Version: 300, History: []VersionDigest{{1, Digest{1}}, {300, Digest{2}}}}
	data := codec.MarshalAppend(nil, &value)
	at := slices.Index(data, 6<<3|2) + 1 // the length of the history; it is last
	length := int(data[at])
	for n := 1; n < length; n++ {
		truncated := slices.Clone(data[:at+1+n])
		truncated[at] = byte(n)
		err := codec.Unmarshal(truncated, &Value{})
		if n == 1+len(Digest{}) {
			c.Assert(err, qt.IsNil) // it ends after the first of the two entries
			continue
		}
		c.Assert(err, qt.ErrorMatches, "field 6 ends within.*", qt.Commentf("%d bytes", n))
	}
	for _, second := range []uint64{1, 0} {
		value.History[1].Version = second
		c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &value), &Value{}), qt.ErrorMatches, "field 6 has versions that do not rise")
	}
}
