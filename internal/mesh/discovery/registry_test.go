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

// testEndpoint returns a record of an endpoint of service s at address a:1, beside incarnation 7 of a sidecar.
func testEndpoint(id string, s State, sequence, revision uint64) Endpoint {
	return Endpoint{
		ID:                 id,
		Service:            "s",
		SidecarAddress:     "h:1",
		SidecarIncarnation: 7,
		AppAddress:         "a:1",
		Zone:               "z",
		Slots:              4,
		State:              s,
		Sequence:           sequence,
		Revision:           revision,
		LeaseRemaining:     lease,
	}
}

// forEachOrder calls f with each permutation of the numbers below n.
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

// essence returns the parts of a registry's records that registries must agree on.
func essence(r *Registry) (out []string) {
	for _, e := range r.All(0) {
		out = append(out, fmt.Sprintf("%s %d %d.%d %d", e.ID, e.State, e.Sequence, e.Revision, e.Slots))
	}
	return out
}

// Records are applied to a registry in all orders, and in all orders with one of them twice. The registry has the same endpoints in the
// end each time, and never has an endpoint serving after it was draining, or in another state after it deregistered.
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
			checker := orderCheck{messages: messages}
			forEachOrder(len(messages), func(order []int) {
				checker.check(t, order)
				for twice := range messages {
					for at := range len(order) + 1 {
						checker.check(t, slices.Insert(slices.Clone(order), at, twice))
					}
				}
			})
			t.Logf("%d orders, in the end %q", checker.orders, checker.want)
		})
	}
}

// orderCheck checks that a registry has the same endpoints in the end whatever the order of the records that are applied.
type orderCheck struct {
	messages []Endpoint
	want     []string // essence of the registry after the first order
	orders   int      // that were checked
}

// check applies the messages in one order.
func (o *orderCheck) check(t *testing.T, order []int) {
	t.Helper()
	registry := NewRegistry(Config{})
	worst := map[string]State{} // by endpoint ID, without Crashed
	for _, i := range order {
		registry.Apply(0, o.messages[i])
		for _, e := range registry.All(0) {
			before := worst[e.ID]
			if before == Draining && e.State == Serving || before == Deregistered && e.State != Deregistered {
				t.Fatalf("order %v: %s went from %d to %d", order, e.ID, before, e.State)
			}
			if e.State != Crashed {
				worst[e.ID] = max(before, e.State)
			}
		}
	}
	if o.want == nil {
		o.want = essence(registry)
	}
	qt.Assert(t, essence(registry), qt.DeepEquals, o.want, qt.Commentf("order %v", order))
	o.orders++
}

// expire calls Expire every second from a time up to now, and returns all endpoints that changed.
func expire(r *Registry, from, now time.Duration) (changed []Endpoint) {
	for at := from; at <= now; at += time.Second {
		changed = append(changed, r.Expire(at)...)
	}
	return changed
}

func TestLeases(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry(Config{})
	older := testEndpoint("x", Serving, 1, 1)
	newer := testEndpoint("y", Serving, 1, 1)
	newer.SidecarIncarnation = 8 // announced by another incarnation of the sidecar, which never knew of x
	c.Assert(registry.Apply(0, older), qt.IsTrue)
	c.Assert(registry.Apply(0, older), qt.IsFalse)
	c.Assert(expire(registry, 0, 4*time.Second), qt.HasLen, 0)
	registry.Apply(4*time.Second, newer)
	c.Assert(registry.Expire(4*time.Second), qt.HasLen, 0)
	c.Assert(registry.Expire(5*time.Second), qt.HasLen, 1, qt.Commentf("the one that isn't renewed yields"))
	at, _ := registry.EndpointAt(5*time.Second, "a:1")
	c.Assert(at.ID, qt.Equals, "y")
	older.Sequence++
	c.Assert(registry.Apply(6*time.Second, older), qt.IsTrue, qt.Commentf("it was alive after all"))
	c.Assert(expire(registry, 6*time.Second, 9*time.Second), qt.HasLen, 1, qt.Commentf("now the other one yields"))
	c.Assert(expire(registry, 10*time.Second, 14*time.Second), qt.HasLen, 0)
	c.Assert(registry.Expire(15*time.Second), qt.HasLen, 1)
	c.Assert(registry.List(15*time.Second, "s")[0].State, qt.Equals, Crashed)

	_, version, ok := registry.ChangedSince(15*time.Second, "s", 0)
	c.Assert(ok, qt.IsTrue)
	expire(registry, 16*time.Second, 80*time.Second)
	c.Assert(registry.All(80*time.Second), qt.HasLen, 0)
	_, _, ok = registry.ChangedSince(80*time.Second, "s", version)
	c.Assert(ok, qt.IsTrue, qt.Commentf("this one had been notified of the ends"))
	_, _, ok = registry.ChangedSince(80*time.Second, "s", 1)
	c.Assert(ok, qt.IsFalse)
}

// After a freeze of its process a registry gives renewals that have arrived meanwhile the time to be processed, and only takes endpoints
// for crashed that aren't renewed by then.
func TestFrozenRegistryEndsNobody(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(Config{})
	r.Apply(0, testEndpoint("x", Serving, 1, 1))
	c.Assert(expire(r, 0, time.Second), qt.HasLen, 0)
	c.Assert(expire(r, 20*time.Second, 24*time.Second), qt.HasLen, 0)
	c.Assert(r.Expire(25*time.Second), qt.HasLen, 1)
}

// The number of endpoints that ended and are remembered is bounded, and so are the indexes.
func TestTombstonesAreBounded(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry(Config{MaxTombstones: 10})
	for i := range 100 {
		endpoint := testEndpoint(strconv.Itoa(i), Serving, 1, 1)
		endpoint.AppAddress = strconv.Itoa(i)
		endpoint.SidecarIncarnation = uint64(i)
		registry.Apply(0, endpoint)
		for range 3 { // it crashes and comes back
			endpoint.Sequence++
			endpoint.State = Crashed
			registry.Apply(0, endpoint)
			endpoint.Sequence++
			endpoint.State = Serving
			registry.Apply(0, endpoint)
		}
		endpoint.State = Deregistered
		registry.Apply(0, endpoint)
	}
	c.Assert(len(registry.entries) <= 10 && len(registry.tombstones) <= 10, qt.IsTrue,
		qt.Commentf("%d records, %d tombstones", len(registry.entries), len(registry.tombstones)))
	registry.Expire(time.Hour)
	c.Assert(len(registry.entries)+len(registry.byAppAddress)+len(registry.byService)+len(registry.tombstones), qt.Equals, 0)
}

// A subscriber that applies the changes since its version has the same endpoints as the owner, whenever it polls.
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

// checkChangedSince applies messages to an owner in one order, and lets a subscriber poll after those whose bit is set, and at the end.
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
