package discovery

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

const lease = 9 * time.Second

// testEndpoint is an endpoint of service s at address a:1, beside incarnation 7 of a sidecar.
func testEndpoint(id string, s State, sequence, revision uint64) Endpoint {
	return Endpoint{
		ID: id, Service: "s", SidecarAddress: "h:1", SidecarIncarnation: 7, AppAddress: "a:1", Zone: "z", Slots: 4, State: s,
		Sequence: sequence, Revision: revision, LeaseRemaining: lease,
	}
}

// forEachOrder calls f with each order of the numbers below n.
func forEachOrder(n int, f func(order []int)) {
	var extend func(order []int)
	extend = func(order []int) {
		if len(order) == n {
			f(order)
			return
		}
		for i := range n {
			if !slices.Contains(order, i) {
				extend(append(slices.Clone(order), i))
			}
		}
	}
	extend(nil)
}

// essence is what registries must agree on.
func essence(r *Registry) (out []string) {
	for _, e := range r.All(0) {
		out = append(out, fmt.Sprintf("%s %d %d.%d %d", e.ID, e.State, e.Sequence, e.Revision, e.Slots))
	}
	return out
}

// All orders of an endpoint's messages, each of them twice at any place, on one registry; and the same once on another: they agree in
// the end, and neither shows an endpoint as serving after it was draining, or anything after its end.
func TestRegistriesAgreeInAllOrders(t *testing.T) {
	first := testEndpoint("x", Serving, 1, 1)
	resized := testEndpoint("x", Serving, 1, 2)
	resized.Slots = 9
	for name, messages := range map[string][]Endpoint{
		"drain, end, new endpoint": {
			first, testEndpoint("x", Draining, 2, 3), testEndpoint("x", Serving, 3, 3), testEndpoint("x", Deregistered, 3, 4),
			testEndpoint("y", Serving, 1, 5),
		},
		"crash, late keepalive": {
			first, resized, testEndpoint("x", Draining, 2, 3), testEndpoint("x", Crashed, 2, 4), testEndpoint("x", Serving, 3, 4),
		},
		"crash, new endpoint": {
			first, resized, testEndpoint("x", Crashed, 1, 3), testEndpoint("y", Serving, 1, 4), testEndpoint("y", Draining, 2, 5),
		},
		"three endpoints": {
			first, testEndpoint("x", Serving, 9, 1), testEndpoint("y", Serving, 1, 2), testEndpoint("y", Crashed, 1, 3),
			testEndpoint("z", Serving, 1, 4),
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := orderCheck{messages: messages}
			forEachOrder(len(messages), func(order []int) {
				a.check(t, order)
				for twice := range messages {
					for at := range len(order) + 1 {
						a.check(t, slices.Insert(slices.Clone(order), at, twice))
					}
				}
			})
			t.Logf("%d orders, in the end %q", a.orders, a.want)
		})
	}
}

// orderCheck holds what a registry has in the end, which is the same in all orders of its messages.
type orderCheck struct {
	messages []Endpoint
	want     []string // of the first order
	orders   int
}

func (a *orderCheck) check(t *testing.T, order []int) {
	t.Helper()
	r := NewRegistry(Config{})
	worst := map[string]State{}
	for _, i := range order {
		r.Apply(0, a.messages[i])
		for _, e := range r.All(0) {
			before := worst[e.ID]
			if before == Draining && e.State == Serving || before == Deregistered && e.State != Deregistered {
				t.Fatalf("order %v: %s went from %d to %d", order, e.ID, before, e.State)
			}
			if e.State != Crashed {
				worst[e.ID] = max(before, e.State)
			}
		}
	}
	if a.want == nil {
		a.want = essence(r)
	}
	qt.Assert(t, essence(r), qt.DeepEquals, a.want, qt.Commentf("order %v", order))
	a.orders++
}

// expire plays time up to now, second by second, and returns what changed in it.
func expire(r *Registry, from, now time.Duration) (changed []Endpoint) {
	for at := from; at <= now; at += time.Second {
		changed = append(changed, r.Expire(at)...)
	}
	return changed
}

func TestLeases(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(Config{})
	older := testEndpoint("x", Serving, 1, 1)
	newer := testEndpoint("y", Serving, 1, 1)
	newer.SidecarIncarnation = 8 // announced by another incarnation of the sidecar, which never knew of x
	c.Assert(r.Apply(0, older), qt.IsTrue)
	c.Assert(r.Apply(0, older), qt.IsFalse)
	c.Assert(expire(r, 0, 4*time.Second), qt.HasLen, 0)
	r.Apply(4*time.Second, newer)
	c.Assert(r.Expire(4*time.Second), qt.HasLen, 0)
	c.Assert(r.Expire(5*time.Second), qt.HasLen, 1, qt.Commentf("the one that isn't renewed yields"))
	at, _ := r.EndpointAt(5*time.Second, "a:1")
	c.Assert(at.ID, qt.Equals, "y")
	older.Sequence++
	c.Assert(r.Apply(6*time.Second, older), qt.IsTrue, qt.Commentf("it was alive after all"))
	c.Assert(expire(r, 6*time.Second, 9*time.Second), qt.HasLen, 1, qt.Commentf("now the other one yields"))
	c.Assert(expire(r, 10*time.Second, 14*time.Second), qt.HasLen, 0)
	c.Assert(r.Expire(15*time.Second), qt.HasLen, 1)
	c.Assert(r.List(15*time.Second, "s")[0].State, qt.Equals, Crashed)

	_, version, ok := r.ChangedSince(15*time.Second, "s", 0)
	c.Assert(ok, qt.IsTrue)
	expire(r, 16*time.Second, 80*time.Second)
	c.Assert(r.All(80*time.Second), qt.HasLen, 0)
	_, _, ok = r.ChangedSince(80*time.Second, "s", version)
	c.Assert(ok, qt.IsTrue, qt.Commentf("this one had been notified of the ends"))
	_, _, ok = r.ChangedSince(80*time.Second, "s", 1)
	c.Assert(ok, qt.IsFalse)
}

// A process that was frozen gives renewals that lie unread the time to be read, and ends what isn't renewed after that.
func TestFrozenRegistryEndsNobody(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(Config{})
	r.Apply(0, testEndpoint("x", Serving, 1, 1))
	c.Assert(expire(r, 0, time.Second), qt.HasLen, 0)
	c.Assert(expire(r, 20*time.Second, 24*time.Second), qt.HasLen, 0)
	c.Assert(r.Expire(25*time.Second), qt.HasLen, 1)
}

// What is remembered of endpoints that ended is bounded, and the indexes with it.
func TestTombstonesAreBounded(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(Config{MaxTombstones: 10})
	for i := range 100 {
		e := testEndpoint(strconv.Itoa(i), Serving, 1, 1)
		e.AppAddress = strconv.Itoa(i)
		e.SidecarIncarnation = uint64(i)
		r.Apply(0, e)
		for range 3 { // it crashes and comes back
			e.Sequence++
			e.State = Crashed
			r.Apply(0, e)
			e.Sequence++
			e.State = Serving
			r.Apply(0, e)
		}
		e.State = Deregistered
		r.Apply(0, e)
	}
	c.Assert(len(r.records) <= 10 && len(r.tombstones) <= 10, qt.IsTrue,
		qt.Commentf("%d records, %d tombstones", len(r.records), len(r.tombstones)))
	r.Expire(time.Hour)
	c.Assert(len(r.records)+len(r.byAppAddress)+len(r.byService)+len(r.tombstones), qt.Equals, 0)
}

// A subscriber that takes what changed since its version has what the owner has, whatever happens in between.
func TestChangedSinceIsEnough(t *testing.T) {
	messages := []Endpoint{
		testEndpoint("x", Serving, 1, 1), testEndpoint("x", Draining, 2, 2), testEndpoint("x", Deregistered, 2, 3),
		testEndpoint("y", Serving, 1, 4),
	}
	forEachOrder(len(messages), func(order []int) {
		for polls := range 1 << len(order) { // a bit for each message: whether the subscriber polls after it
			checkChangedSince(t, messages, order, polls)
		}
	})
}

func checkChangedSince(t *testing.T, messages []Endpoint, order []int, polls int) {
	t.Helper()
	owner := NewRegistry(Config{})
	subscriber := NewRegistry(Config{})
	version := uint64(0)
	poll := func() {
		var changed []Endpoint
		changed, version, _ = owner.ChangedSince(0, "s", version)
		for _, e := range changed {
			var read Endpoint
			qt.Assert(t, codec.Unmarshal(codec.MarshalAppend(nil, &e), &read), qt.IsNil)
			qt.Assert(t, read, qt.DeepEquals, e)
			subscriber.Apply(0, read)
		}
	}
	for i, m := range order {
		owner.Apply(0, messages[m])
		if polls>>i&1 == 1 {
			poll()
		}
	}
	poll()
	qt.Assert(t, essence(subscriber), qt.DeepEquals, essence(owner), qt.Commentf("order %v, polls %b", order, polls))
}
