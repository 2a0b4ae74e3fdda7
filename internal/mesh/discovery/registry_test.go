package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

const lease = 9 * time.Second

func testEndpoint(id string, s State, sequence, edition uint64) Endpoint {
	return Endpoint{
		ID: id, Service: "s", SidecarAddress: "h:1", SidecarIncarnation: 7, AppAddress: "a:1", Zone: "z", Slots: 4, State: s,
		Sequence: sequence, Revision: edition, LeaseRemaining: lease,
	}
}

// orders calls f with each order of the numbers below n.
func orders(n int, f func([]int)) {
	var place func(done []int)
	place = func(done []int) {
		if len(done) == n {
			f(done)
			return
		}
		for i := range n {
			if !slices.Contains(done, i) {
				place(append(slices.Clone(done), i))
			}
		}
	}
	place(nil)
}

// essence is what boards must agree on.
func essence(b *Registry) (out []string) {
	for _, e := range b.All(0) {
		out = append(out, fmt.Sprintf("%s %d %d.%d %d", e.ID, e.State, e.Sequence, e.Revision, e.Slots))
	}
	return out
}

// All orders of a life's messages, each of them twice at any place, on one board; and the same once on another: they agree in
// the end, and neither shows an endpoint as serving after its draining mark, or anything after its end.
func TestBoardsAgreeInAllOrders(t *testing.T) {
	beat, slots := testEndpoint("x", Serving, 1, 1), testEndpoint("x", Serving, 1, 2)
	slots.Slots = 9
	for name, told := range map[string][]Endpoint{
		"drain, end, new life": {beat, testEndpoint("x", Draining, 2, 3), testEndpoint("x", Serving, 3, 3), testEndpoint("x", Deregistered, 3, 4), testEndpoint("y", Serving, 1, 5)},
		"crash, late beat":     {beat, slots, testEndpoint("x", Draining, 2, 3), testEndpoint("x", Crashed, 2, 4), testEndpoint("x", Serving, 3, 4)},
		"crash, new life":      {beat, slots, testEndpoint("x", Crashed, 1, 3), testEndpoint("y", Serving, 1, 4), testEndpoint("y", Draining, 2, 5)},
		"three lives":          {beat, testEndpoint("x", Serving, 9, 1), testEndpoint("y", Serving, 1, 2), testEndpoint("y", Crashed, 1, 3), testEndpoint("z", Serving, 1, 4)},
	} {
		c := qt.New(t)
		var want []string
		cases := 0
		play := func(order []int) {
			b, worst := NewRegistry(Config{}), map[string]State{}
			for _, i := range order {
				b.Apply(0, told[i])
				for _, e := range b.All(0) {
					w := worst[e.ID]
					if w == Draining && e.State == Serving || w == Deregistered && e.State != Deregistered {
						c.Fatalf("%s, order %v: %s went from %d to %d", name, order, e.ID, w, e.State)
					}
					if e.State != Crashed {
						worst[e.ID] = max(w, e.State)
					}
				}
			}
			if want == nil {
				want = essence(b)
			}
			c.Assert(essence(b), qt.DeepEquals, want, qt.Commentf("%s, order %v", name, order))
			cases++
		}
		orders(len(told), func(order []int) {
			play(order)
			for twice := range told {
				for at := range len(order) + 1 {
					play(slices.Insert(slices.Clone(order), at, twice))
				}
			}
		})
		t.Logf("%s: %d orders, in the end %q", name, cases, want)
	}
}

// expire plays time up to now, second by second, and returns what changed in it.
func expire(b *Registry, from, now time.Duration) (changed []Endpoint) {
	for at := from; at <= now; at += time.Second {
		changed = append(changed, b.Expire(at)...)
	}
	return changed
}

func TestLeases(t *testing.T) {
	c := qt.New(t)
	b := NewRegistry(Config{})
	old, young := testEndpoint("x", Serving, 1, 1), testEndpoint("y", Serving, 1, 1)
	young.SidecarIncarnation = 8 // told by another life of the sidecar, which never knew of x
	c.Assert(b.Apply(0, old), qt.IsTrue)
	c.Assert(b.Apply(0, old), qt.IsFalse)
	c.Assert(expire(b, 0, 4*time.Second), qt.HasLen, 0)
	b.Apply(4*time.Second, young)
	c.Assert(b.Expire(4*time.Second), qt.HasLen, 0)
	c.Assert(b.Expire(5*time.Second), qt.HasLen, 1, qt.Commentf("the one that is not renewed yields"))
	at, _ := b.EndpointAt(5*time.Second, "a:1")
	c.Assert(at.ID, qt.Equals, "y")
	old.Sequence++
	c.Assert(b.Apply(6*time.Second, old), qt.IsTrue, qt.Commentf("it was alive after all"))
	c.Assert(expire(b, 6*time.Second, 9*time.Second), qt.HasLen, 1, qt.Commentf("now the other one yields"))
	c.Assert(expire(b, 10*time.Second, 14*time.Second), qt.HasLen, 0)
	c.Assert(b.Expire(15*time.Second), qt.HasLen, 1)
	c.Assert(b.List(15*time.Second, "s")[0].State, qt.Equals, Crashed)

	_, v, ok := b.ChangedSince(15*time.Second, "s", 0)
	c.Assert(ok, qt.IsTrue)
	expire(b, 16*time.Second, 80*time.Second)
	c.Assert(b.All(80*time.Second), qt.HasLen, 0)
	_, _, ok = b.ChangedSince(80*time.Second, "s", v)
	c.Assert(ok, qt.IsTrue, qt.Commentf("this one had been told of the ends"))
	_, _, ok = b.ChangedSince(80*time.Second, "s", 1)
	c.Assert(ok, qt.IsFalse)
}

// A process that was frozen gives renewals that lie unread the time to be read, and ends what is not renewed after that.
func TestFrozenBoardEndsNobody(t *testing.T) {
	c := qt.New(t)
	b := NewRegistry(Config{})
	b.Apply(0, testEndpoint("x", Serving, 1, 1))
	c.Assert(expire(b, 0, time.Second), qt.HasLen, 0)
	c.Assert(expire(b, 20*time.Second, 24*time.Second), qt.HasLen, 0)
	c.Assert(b.Expire(25*time.Second), qt.HasLen, 1)
}

// What is forgotten is bounded, and the indexes with it.
func TestTombsAreBounded(t *testing.T) {
	c := qt.New(t)
	b := NewRegistry(Config{MaxTombstones: 10})
	for i := range 100 {
		e := testEndpoint(fmt.Sprint(i), Serving, 1, 1)
		e.AppAddress, e.SidecarIncarnation = fmt.Sprint(i), uint64(i)
		b.Apply(0, e)
		for range 3 { // crash and come back
			e.Sequence, e.State = e.Sequence+1, Crashed
			b.Apply(0, e)
			e.Sequence, e.State = e.Sequence+1, Serving
			b.Apply(0, e)
		}
		e.State = Deregistered
		b.Apply(0, e)
	}
	c.Assert(len(b.records) <= 10 && len(b.tombstones) <= 10, qt.IsTrue, qt.Commentf("%d posts, %d tombs", len(b.records), len(b.tombstones)))
	b.Expire(time.Hour)
	c.Assert(len(b.records)+len(b.byAppAddress)+len(b.byService)+len(b.tombstones), qt.Equals, 0)
}

// A subscriber that takes what changed since its version has what the home has, whatever happens in between.
func TestSinceIsEnough(t *testing.T) {
	c := qt.New(t)
	told := []Endpoint{testEndpoint("x", Serving, 1, 1), testEndpoint("x", Draining, 2, 2), testEndpoint("x", Deregistered, 2, 3), testEndpoint("y", Serving, 1, 4)}
	orders(len(told), func(order []int) {
		for asks := range 1 << len(order) {
			home, here, version := NewRegistry(Config{}), NewRegistry(Config{}), uint64(0)
			ask := func() {
				var news []Endpoint
				news, version, _ = home.ChangedSince(0, "s", version)
				for _, e := range news {
					var read Endpoint
					c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &e), &read), qt.IsNil)
					c.Assert(read, qt.DeepEquals, e)
					here.Apply(0, read)
				}
			}
			for i, m := range order {
				home.Apply(0, told[m])
				if asks>>i&1 == 1 {
					ask()
				}
			}
			ask()
			c.Assert(essence(here), qt.DeepEquals, essence(home), qt.Commentf("order %v, asks %b", order, asks))
		}
	})
}
