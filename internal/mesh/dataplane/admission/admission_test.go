package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Beat, drain, end, a new life at the same address, arrivals for either life, their ends, withdrawals and time, in all orders:
// nobody goes on beyond the slots, to another life than the chosen one, after the drain mark has come of age or after being
// withdrawn; and whoever came is let on or turned away once.
func TestAllOrders(t *testing.T) {
	one, two := Endpoint{ID: "one", Service: "s", Slots: 1}, Endpoint{ID: "two", Service: "s", Slots: 1}
	const depth = 6
	type end struct{ on, off bool }
	var play func(path []int)
	run := func(path []int) {
		g, now, next := New(), time.Duration(0), uint64(0)
		ends := map[uint64]*end{}
		lives := map[uint64]string{}
		running := map[uint64]bool{}
		var drained time.Duration
		take := func(steps []Decision) {
			for _, s := range steps {
				e := ends[s.Token]
				if s.Kind != 0 {
					if e.on || e.off {
						t.Fatalf("%v: request %d ends twice", path, s.Token)
					}
					if !s.Kind.NotExecuted() {
						t.Fatalf("%v: %s is no promise", path, s.Kind)
					}
					e.off = true
					continue
				}
				if e.on || e.off || lives[s.Token] != g.Endpoint().ID {
					t.Fatalf("%v: request %d for %q goes on to %q after %+v", path, s.Token, lives[s.Token], g.Endpoint().ID, *e)
				}
				if g.State() == Terminated || g.State() == Unknown || drained != 0 && now-drained > drainGrace {
					t.Fatalf("%v: goes on in state %d, %v after the mark", path, g.State(), now-drained)
				}
				e.on, running[s.Token] = true, true
				if len(running) > 1 {
					t.Fatalf("%v: %d go on to one slot", path, len(running))
				}
			}
		}
		tell := func(l Endpoint, s State) {
			if l.ID != g.Endpoint().ID {
				running, drained = map[uint64]bool{}, 0
			}
			if s == Draining && g.State() < Draining {
				drained = now
			}
			take(g.UpdateEndpoint(now, l, s))
		}
		for _, step := range path {
			switch step {
			case 0:
				tell(one, Serving)
			case 1:
				tell(one, Draining)
			case 2:
				tell(one, Terminated)
			case 3:
				tell(two, Serving)
			case 4, 5:
				next++
				ends[next], lives[next] = &end{}, []string{"one", "two"}[step-4]
				take(g.Submit(now, Request{Token: next, EndpointID: lives[next], TargetDeadline: now + time.Second, Deadline: now + 3*time.Second}))
			case 6:
				for token := range running {
					delete(running, token)
					take(g.Done(now, token))
					break
				}
			case 7:
				if next > 0 && g.Cancel(now, next) {
					ends[next].off = true
				}
			case 8:
				now += drainGrace + time.Millisecond
				take(g.Expire(now))
			}
		}
		now += time.Minute
		for token := range running {
			take(g.Done(now, token))
		}
		take(g.Expire(now))
		for token, e := range ends {
			if !e.on && !e.off {
				t.Fatalf("%v: request %d has no end", path, token)
			}
		}
	}
	play = func(path []int) {
		if len(path) == depth {
			run(path)
			return
		}
		for s := range 9 {
			play(append(path, s))
		}
	}
	play(nil)
}

func TestNestedCallsGoFirstThenPriority(t *testing.T) {
	c := qt.New(t)
	g := New()
	g.UpdateEndpoint(0, Endpoint{ID: "e", Slots: 1}, Serving)
	at := func(token uint64, priority int, inner bool) []Decision {
		return g.Submit(0, Request{Token: token, Priority: priority, Nested: inner, TargetDeadline: 5 * time.Second, Deadline: 5 * time.Second})
	}
	c.Assert(at(1, 2, false), qt.DeepEquals, []Decision{{1, 0}})
	for _, x := range []Request{{Token: 2, Priority: 2}, {Token: 3, Priority: 1}, {Token: 4, Priority: 9, Nested: true}, {Token: 5, Priority: 1}} {
		c.Assert(at(x.Token, x.Priority, x.Nested), qt.HasLen, 0)
	}
	var order []uint64
	for last := uint64(1); ; {
		steps := g.Done(time.Millisecond, last)
		if len(steps) == 0 {
			break
		}
		last = steps[0].Token
		order = append(order, last)
	}
	c.Assert(order, qt.DeepEquals, []uint64{4, 3, 5, 2})
}

func TestRequestsThatCannotBeServedInTimeAreRejectedAtOnce(t *testing.T) {
	c := qt.New(t)
	g := New()
	g.UpdateEndpoint(0, Endpoint{ID: "e", Slots: 2}, Serving)
	full := 0
	for i := range uint64(100) {
		for _, s := range g.Submit(0, Request{Token: i, TargetDeadline: 300 * time.Millisecond, Deadline: 2 * time.Second}) {
			if s.Kind == outcome.AtCapacity {
				full++
			}
		}
	}
	_, waiting := g.Load()
	c.Assert(full, qt.Equals, 98-waiting)
	c.Assert(time.Duration(waiting)*g.ServiceTime()/2 < 200*time.Millisecond, qt.IsTrue)
}

// An endpoint that a sidecar first hears of as draining told an earlier process so, nobody knows when: nobody is let on.
func TestEndpointFirstSeenAsDraining(t *testing.T) {
	c := qt.New(t)
	g := New()
	g.UpdateEndpoint(time.Hour, Endpoint{ID: "one", Service: "s", Slots: 4}, Draining)
	steps := g.Submit(time.Hour, Request{Token: 1, EndpointID: "one", Service: "s", TargetDeadline: 2 * time.Hour, Deadline: 2 * time.Hour})
	c.Assert(steps, qt.DeepEquals, []Decision{{Token: 1, Kind: outcome.Draining}})
}

// The slots are taken by long runs. A request with a short aim is turned away, as it would be late; a call that a running request waits
// for is let wait as long as its answer is of use.
func TestNestedRequestsWaitUntilTheirDeadline(t *testing.T) {
	c := qt.New(t)
	g := New()
	g.UpdateEndpoint(0, Endpoint{ID: "one", Service: "s", Slots: 1}, Serving)
	for i := range uint64(200) {
		g.Submit(0, Request{Token: i, TargetDeadline: time.Hour, Deadline: time.Hour})
		g.Done(210*time.Millisecond, i)
	}
	g.Submit(0, Request{Token: 1000, TargetDeadline: time.Hour, Deadline: time.Hour})
	short := Request{Token: 1001, Priority: 1, TargetDeadline: 150 * time.Millisecond, Deadline: time.Second}
	c.Assert(g.Submit(0, short), qt.DeepEquals, []Decision{{Token: 1001, Kind: outcome.AtCapacity}})
	short.Token, short.Nested = 1002, true
	c.Assert(g.Submit(0, short), qt.HasLen, 0)
	c.Assert(g.Done(100*time.Millisecond, 1000), qt.DeepEquals, []Decision{{Token: 1002}})
}
