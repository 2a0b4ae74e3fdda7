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

// testEndpoint returns a record of an endpoint of service s at address a:1, beside a sidecar with incarnation 7.
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

// agreedFields formats the fields of a registry's records that must be equal in all registries with the same records.
func agreedFields(r *Registry) (out []string) {
	for _, e := range r.All(0) {
		out = append(out, fmt.Sprintf("%s %d %d.%d %d", e.ID, e.State, e.Sequence, e.Revision, e.Slots))
	}
	return out
}

// Records are applied to a registry in all orders, and in all orders with one of them duplicated. In the end the registry must always
// hold the same endpoints. No endpoint may return to Serving after Draining, or leave Deregistered.
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
			t.Logf("%d orders checked; records after each: %q", checker.checkedOrders, checker.want)
		})
	}
}

// orderCheck checks that the endpoints that a registry holds don't depend on the order in which records are applied.
type orderCheck struct {
	messages      []Endpoint
	want          []string // agreedFields of the registry after the first checked order
	checkedOrders int      // number of orders checked so far
}

// check applies the messages in one order, and checks the states on the way and the records in the end.
func (o *orderCheck) check(t *testing.T, order []int) {
	t.Helper()
	registry := NewRegistry(Config{})
	worst := map[string]State{} // worst state seen so far by endpoint ID, apart from Crashed
	for _, i := range order {
		registry.Apply(0, o.messages[i])
		for _, e := range registry.All(0) {
			before := worst[e.ID]
			if before == Draining && e.State == Serving || before == Deregistered && e.State != Deregistered {
				t.Fatalf("order %v: endpoint %s changed from state %d to %d, which is not allowed", order, e.ID, before, e.State)
			}
			if e.State != Crashed {
				worst[e.ID] = max(before, e.State)
			}
		}
	}
	if o.want == nil {
		o.want = agreedFields(registry)
	}
	qt.Assert(t, agreedFields(registry), qt.DeepEquals, o.want, qt.Commentf("order %v", order))
	o.checkedOrders++
}

// expire calls Expire every second from one time up to another, and returns all endpoints that were marked as crashed.
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
	newer.SidecarIncarnation = 8 // another incarnation of the sidecar, which has never known x, announces y
	c.Assert(registry.Apply(0, older), qt.IsTrue)
	c.Assert(registry.Apply(0, older), qt.IsFalse)
	c.Assert(expire(registry, 0, 4*time.Second), qt.HasLen, 0)
	registry.Apply(4*time.Second, newer)
	c.Assert(registry.Expire(4*time.Second), qt.HasLen, 0)
	c.Assert(registry.Expire(5*time.Second), qt.HasLen, 1,
		qt.Commentf("x, which is no longer renewed, is presumed crashed because y has its address"))
	at, _ := registry.EndpointAt(5*time.Second, "a:1")
	c.Assert(at.ID, qt.Equals, "y")
	older.Sequence++
	c.Assert(registry.Apply(6*time.Second, older), qt.IsTrue, qt.Commentf("a renewal restores x"))
	c.Assert(expire(registry, 6*time.Second, 9*time.Second), qt.HasLen, 1,
		qt.Commentf("y, which is no longer renewed, is presumed crashed because x has its address"))
	c.Assert(expire(registry, 10*time.Second, 14*time.Second), qt.HasLen, 0)
	c.Assert(registry.Expire(15*time.Second), qt.HasLen, 1)
	c.Assert(registry.List(15*time.Second, "s")[0].State, qt.Equals, Crashed)

	_, version, ok := registry.ChangedSince(15*time.Second, "s", 0)
	c.Assert(ok, qt.IsTrue)
	expire(registry, 16*time.Second, 80*time.Second)
	c.Assert(registry.All(80*time.Second), qt.HasLen, 0)
	_, _, ok = registry.ChangedSince(80*time.Second, "s", version)
	c.Assert(ok, qt.IsTrue,
		qt.Commentf("the version includes the ends of the discarded endpoints, so the changes since then are complete"))
	_, _, ok = registry.ChangedSince(80*time.Second, "s", 1)
	c.Assert(ok, qt.IsFalse)
}

// After a freeze of its process, a registry must extend leases so that renewals that arrived in the meantime can be processed. It marks
// only endpoints as crashed that aren't renewed by then.
func TestFreezeExtendsLeases(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(Config{})
	r.Apply(0, testEndpoint("x", Serving, 1, 1))
	c.Assert(expire(r, 0, time.Second), qt.HasLen, 0)
	c.Assert(expire(r, 20*time.Second, 24*time.Second), qt.HasLen, 0)
	c.Assert(r.Expire(25*time.Second), qt.HasLen, 1)
}

// The number of retained endpoints that ended is bounded, and so are the sizes of the indexes.
func TestTombstonesAreBounded(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry(Config{MaxTombstones: 10})
	for i := range 100 {
		endpoint := testEndpoint(strconv.Itoa(i), Serving, 1, 1)
		endpoint.AppAddress = strconv.Itoa(i)
		endpoint.SidecarIncarnation = uint64(i)
		registry.Apply(0, endpoint)
		for range 3 { // the endpoint crashes and is restored
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
		qt.Commentf("got %d records and %d tombstones, want at most 10 of each", len(registry.entries), len(registry.tombstones)))
	registry.Expire(time.Hour)
	c.Assert(len(registry.entries)+len(registry.byAppAddress)+len(registry.byService)+len(registry.tombstones), qt.Equals, 0)
}

// A subscriber that applies the changes since its version must hold the same endpoints as the owner, whenever it polls.
func TestChangedSinceKeepsSubscriberInSync(t *testing.T) {
	messages := []Endpoint{
		testEndpoint("x", Serving, 1, 1), testEndpoint("x", Draining, 2, 2), testEndpoint("x", Deregistered, 2, 3),
		testEndpoint("y", Serving, 1, 4),
	}
	forEachOrder(len(messages), func(order []int) {
		for polls := range 1 << len(order) { // bit i is set if the subscriber polls after message i
			checkChangedSince(t, messages, order, polls)
		}
	})
}

// checkChangedSince applies messages to an owner in one order. A subscriber polls after the messages whose bits are set, and at the end.
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
	qt.Assert(t, agreedFields(subscriber), qt.DeepEquals, agreedFields(owner), qt.Commentf("order %v, polls %b", order, polls))
}
