package discovery

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPublisher(t *testing.T) {
	c := qt.New(t)
	p := NewPublisher(Config{})
	c.Assert(p.Tick(0), qt.HasLen, 0)
	p.SetOwners(0, []string{"b", "a", "b"})
	p.Set(0, Endpoint{ID: "x", Sequence: 1, WarmupRemaining: 2 * time.Second})
	due := p.Tick(time.Second)
	c.Assert(due, qt.HasLen, 2)
	c.Assert(due[0].Endpoint, qt.DeepEquals, Endpoint{ID: "x", Sequence: 1, Revision: 1, WarmupRemaining: time.Second, LeaseRemaining: lease})
	c.Assert(p.Tick(1200*time.Millisecond), qt.HasLen, 0)
	p.Acknowledged(1200*time.Millisecond, "a", "x", 1)
	c.Assert(p.Tick(1300*time.Millisecond), qt.HasLen, 1, qt.Commentf("not acknowledged"))
	p.Acknowledged(1300*time.Millisecond, "b", "x", 1)
	p.Set(2*time.Second, Endpoint{ID: "x", Sequence: 2})
	c.Assert(p.Tick(2*time.Second), qt.HasLen, 0, qt.Commentf("a beat alone waits for the renewal"))
	p.SetOwners(2*time.Second, []string{"a", "b", "c"})
	c.Assert(p.Tick(2*time.Second), qt.HasLen, 1, qt.Commentf("a new home at once"))
	c.Assert(p.Tick(4*time.Second), qt.HasLen, 2, qt.Commentf("renewal at a, retry at c"))
	p.ForgetOwner("b")
	c.Assert(p.Tick(4*time.Second), qt.HasLen, 1)

	p.Set(5*time.Second, Endpoint{ID: "x", Sequence: 3, State: Draining})
	p.Set(5*time.Second, Endpoint{ID: "x", Sequence: 4, State: Serving})
	p.Acknowledged(5*time.Second, "a", "x", 1) // late, of the edition before
	due = p.Tick(5 * time.Second)
	c.Assert(due, qt.HasLen, 3)
	c.Assert(due[0].Endpoint.State, qt.Equals, Draining)
	p.Set(6*time.Second, Endpoint{ID: "y", Sequence: 1})
	c.Assert(p.Tick(6*time.Second), qt.HasLen, 6, qt.Commentf("the end of x, and y"))
	for _, home := range []string{"a", "b", "c"} {
		p.Acknowledged(6*time.Second, home, "x", 3)
	}
	c.Assert(p.Tick(6300*time.Millisecond), qt.HasLen, 3, qt.Commentf("x is done with"))
	p.End(7*time.Second, "y", Crashed)
	due = p.Tick(7 * time.Second)
	c.Assert(due[2].Endpoint.State, qt.Equals, Crashed)
	p.Set(8*time.Second, Endpoint{ID: "y", Sequence: 1})
	c.Assert(p.Tick(8 * time.Second)[0].Endpoint.State, qt.Equals, Serving, qt.Commentf("a beat came after all"))
}

func TestSubscription(t *testing.T) {
	c := qt.New(t)
	s := NewSubscription(Config{})
	a, b, d := RegistryOwner{"a", 1}, RegistryOwner{"b", 1}, RegistryOwner{"d", 1}
	s.SetOwners(0, "s", []RegistryOwner{a, b, d})
	c.Assert(s.Tick(0), qt.DeepEquals, []SubscribeRequest{{"a", 1, "s", 0}, {"b", 1, "s", 0}})
	s.Received(0, a, "s", 5)
	c.Assert(s.Tick(300*time.Millisecond), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 0}}, qt.Commentf("no answer yet"))
	s.Received(time.Second, b, "s", 3)
	s.Received(time.Second, RegistryOwner{"b", 9}, "s", 8) // not the life that is asked
	s.ConnectionLost(time.Second, "a")
	c.Assert(s.Tick(time.Second), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 3}, {"d", 1, "s", 0}})
	c.Assert(s.Tick(1300*time.Millisecond), qt.DeepEquals, []SubscribeRequest{{"a", 1, "s", 5}, {"d", 1, "s", 0}})
	s.Received(1300*time.Millisecond, a, "s", 6)
	s.SetOwners(2*time.Second, "s", []RegistryOwner{{"a", 2}, b})
	c.Assert(s.Tick(2*time.Second), qt.DeepEquals, []SubscribeRequest{{"a", 2, "s", 0}}, qt.Commentf("another life: from the start"))
	s.Received(2*time.Second, RegistryOwner{"a", 2}, "s", 1)
	c.Assert(s.Tick(3*time.Second), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 3}})
	s.SetOwners(4*time.Second, "s", nil)
	c.Assert(s.Tick(9*time.Second), qt.HasLen, 0)
}

// A home that freezes without its connection breaking is passed over for the next one, and asked again when it is back.
func TestSilentHomeIsPassedOver(t *testing.T) {
	c := qt.New(t)
	s := NewSubscription(Config{OwnersQueried: 1})
	a, b := RegistryOwner{"a", 1}, RegistryOwner{"b", 1}
	s.SetOwners(0, "s", []RegistryOwner{a, b})
	first := time.Duration(-1)
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for _, ask := range s.Tick(now) {
			if ask.To == "b" {
				s.Received(now, b, "s", 1)
				if first < 0 {
					first = now
				}
			} else if now < time.Second || now > 7*time.Second {
				s.Received(now, a, "s", 1)
			}
		}
	}
	c.Assert(first <= 5*time.Second && first > 0, qt.IsTrue, qt.Commentf("after %v", first))
	c.Assert(s.services["s"][0].state, qt.Equals, answered)
}

func TestSubscribers(t *testing.T) {
	c := qt.New(t)
	s := NewSubscribers(Config{})
	s.Renew(0, "s", "x")
	s.Renew(time.Second, "s", "w")
	c.Assert(s.Active(5*time.Second, "s"), qt.DeepEquals, []string{"w", "x"})
	c.Assert(s.Active(6*time.Second, "s"), qt.DeepEquals, []string{"w"})
	s.ConnectionLost("w")
	c.Assert(s.Active(6*time.Second, "s"), qt.HasLen, 0)
	c.Assert(s.leaseEnds, qt.HasLen, 0)
}
