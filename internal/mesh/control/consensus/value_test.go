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

// order is the change that the nth operator's order of a long day makes: n on the version before.
func order(n int) *Change {
	return NewChange(configuration.Version(n-1), configuration.Version(n), fmt.Appendf(nil, "body %d", n))
}

// dayOf is the value after so many orders.
func dayOf(c *qt.C, orders int) *Value {
	w := &Value{VoterSet: list(3)}
	for n := 1; n <= orders; n++ {
		verdict, next := order(n).evaluate(w)
		c.Assert(verdict, qt.Equals, Applied)
		w = next
	}
	return w
}

// A repeat of any age is acknowledged or unknown, and what surely never was in force stays a conflict.
func TestBoundedHistory(t *testing.T) {
	c := qt.New(t)
	const orders = 1000
	w := dayOf(c, orders)
	c.Assert(len(w.History), qt.Equals, maxHistory)
	c.Assert(w.TruncatedVersion, qt.Equals, uint64(orders-maxHistory))
	for n := 1; n <= orders; n++ {
		verdict, next := order(n).evaluate(w)
		want := Applied
		if n <= orders-maxHistory {
			want = Unknown
		}
		c.Assert(verdict, qt.Equals, want, qt.Commentf("order %d", n))
		c.Assert(next, qt.Equals, w)
	}
	body := []byte("another body")
	for name, x := range map[string]struct {
		base, version configuration.Version
		verdict       Verdict
	}{
		"on the newest":                          {orders, orders + 1, Applied},
		"on the newest, with a higher number":    {orders, orders + 50, Applied},
		"on the newest, with its number":         {orders, orders, Conflict},
		"on an older version":                    {orders - 1, orders + 1, Conflict},
		"on a forgotten version, above the rest": {3, orders + 1, Conflict},
		"a remembered number with another body":  {orders - 2, orders - 1, Conflict},
		"the oldest remembered number":           {3, orders - maxHistory + 1, Conflict},
		"a forgotten number":                     {3, orders - maxHistory, Unknown},
		"a forgotten number, not above its base": {4, 3, Conflict},
	} {
		verdict, _ := NewChange(x.base, x.version, body).evaluate(w)
		c.Assert(verdict, qt.Equals, x.verdict, qt.Commentf(name))
	}
}

// A refusal that is told outlasts all that follows; with no room left to remember one, none is told.
func TestRefusalsAreRemembered(t *testing.T) {
	c := qt.New(t)
	w := dayOf(c, 1)
	ahead := func(i int) *Change { return NewChange(50, configuration.Version(100+i), []byte("ahead")) }
	for i := range maxRefused {
		verdict, next := ahead(i).evaluate(w)
		c.Assert(verdict, qt.Equals, Conflict)
		w = next
	}
	verdict, same := ahead(maxRefused).evaluate(w)
	c.Assert(verdict, qt.Equals, Unknown)
	c.Assert(same, qt.Equals, w)
	for n := 2; n <= 50; n++ {
		verdict, w = order(n).evaluate(w)
		c.Assert(verdict, qt.Equals, Applied)
	}
	for i := range maxRefused { // their base is here now
		verdict, same = ahead(i).evaluate(w)
		c.Assert(verdict, qt.Equals, Conflict, qt.Commentf("%d", i))
		c.Assert(same, qt.Equals, w)
	}
	verdict, w = ahead(maxRefused).evaluate(w)
	c.Assert(verdict, qt.Equals, Applied) // it was never refused
	c.Assert(w.Refused, qt.HasLen, 0)     // version 164 rules out all of them
	for i := range maxRefused {
		verdict, _ = ahead(i).evaluate(w)
		c.Assert(verdict, qt.Equals, Conflict)
	}
}

// The bytes that a value needs beside its body stop growing with the number of changes.
func TestHistoryStaysSmall(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct{ orders, most int }{{10, 150}, {100, 1000}, {1000, 2400}, {3000, 2400}} {
		w := dayOf(c, x.orders)
		w.Body = nil
		size := len(codec.MarshalAppend(nil, w))
		t.Logf("%d changes: %d bytes", x.orders, size)
		c.Assert(size <= x.most, qt.IsTrue, qt.Commentf("%d changes: %d bytes", x.orders, size))
	}
}

// oldValue is a value as it was written when it remembered 64 versions by their whole SHA-256.
type oldValue struct {
	version uint64
	body    []byte
	history []oldDigest
	refused []oldDigest
}

func (o *oldValue) Fields(v *codec.Visitor) {
	v.Uint64(1, &o.version)
	v.Bytes(2, &o.body)
	codec.Messages(v, 3, &o.history)
	codec.Messages(v, 4, &o.refused)
}

type oldDigest struct {
	version uint64
	sum     [sha256.Size]byte
}

func (o *oldDigest) Fields(v *codec.Visitor) {
	v.Uint64(1, &o.version)
	sum := o.sum[:]
	v.Bytes(2, &sum)
}

// What an old record remembers is still known, and what it doesn't is unknown, as it may have dropped it.
func TestOldHistoryIsRead(t *testing.T) {
	c := qt.New(t)
	old := oldValue{version: 9, body: []byte("body 9")}
	for n := 5; n <= 9; n++ {
		old.history = append(old.history, oldDigest{uint64(n), sha256.Sum256(order(n).Body)})
	}
	ahead := NewChange(20, 21, []byte("ahead"))
	old.refused = []oldDigest{{21, sha256.Sum256(ahead.Body)}}
	var w Value
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &old), &w), qt.IsNil)
	for n, want := range map[int]Verdict{3: Unknown, 4: Unknown, 5: Applied, 9: Applied, 10: Applied} {
		verdict, next := order(n).evaluate(&w)
		c.Assert(verdict, qt.Equals, want, qt.Commentf("order %d", n))
		var again Value
		c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, next), &again), qt.IsNil)
		c.Assert(again, qt.DeepEquals, *next)
	}
	verdict, _ := ahead.evaluate(&w)
	c.Assert(verdict, qt.Equals, Conflict)
	verdict, _ = NewChange(4, 5, []byte("other")).evaluate(&w)
	c.Assert(verdict, qt.Equals, Conflict)
}

// A history that ends early, or whose versions don't rise, is an error that names its field.
func TestSpoiltHistory(t *testing.T) {
	c := qt.New(t)
	w := Value{Version: 300, History: []VersionDigest{{1, Digest{1}}, {300, Digest{2}}}}
	data := codec.MarshalAppend(nil, &w)
	at := slices.Index(data, 6<<3|2) + 1 // the length of the history; it is last
	whole := int(data[at])
	for n := 1; n < whole; n++ {
		short := slices.Clone(data[:at+1+n])
		short[at] = byte(n)
		err := codec.Unmarshal(short, &Value{})
		if n == 1+len(Digest{}) {
			c.Assert(err, qt.IsNil) // an entry less
			continue
		}
		c.Assert(err, qt.ErrorMatches, "field 6 ends within.*", qt.Commentf("%d bytes", n))
	}
	for _, second := range []uint64{1, 0} {
		w.History[1].Version = second
		c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &w), &Value{}), qt.ErrorMatches, "field 6 has versions that do not rise")
	}
}
