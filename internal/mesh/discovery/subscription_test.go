package discovery

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSubscription(t *testing.T) {
	c := qt.New(t)
	s := NewSubscription(Config{})
	a := RegistryOwner{"a", 1}
	b := RegistryOwner{"b", 1}
	d := RegistryOwner{"d", 1}
	s.SetOwners(0, "s", []RegistryOwner{a, b, d})
	c.Assert(s.Tick(0), qt.DeepEquals, []SubscribeRequest{{"a", 1, "s", 0}, {"b", 1, "s", 0}})
	s.Received(0, a, "s", 5)
	c.Assert(s.Tick(300*time.Millisecond), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 0}}, qt.Commentf("no answer yet"))
	s.Received(time.Second, b, "s", 3)
	s.Received(time.Second, RegistryOwner{"b", 9}, "s", 8) // not the incarnation that is asked
	s.ConnectionLost(time.Second, "a")
	c.Assert(s.Tick(time.Second), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 3}, {"d", 1, "s", 0}})
	c.Assert(s.Tick(1300*time.Millisecond), qt.DeepEquals, []SubscribeRequest{{"a", 1, "s", 5}, {"d", 1, "s", 0}})
	s.Received(1300*time.Millisecond, a, "s", 6)
	s.SetOwners(2*time.Second, "s", []RegistryOwner{{"a", 2}, b})
	c.Assert(s.Tick(2*time.Second), qt.DeepEquals, []SubscribeRequest{{"a", 2, "s", 0}}, qt.Commentf("another incarnation: from the start"))
	s.Received(2*time.Second, RegistryOwner{"a", 2}, "s", 1)
	c.Assert(s.Tick(3*time.Second), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 3}})
	s.SetOwners(4*time.Second, "s", nil)
	c.Assert(s.Tick(9*time.Second), qt.HasLen, 0)
}

// An owner that freezes without its connection breaking is passed over for the next one, and asked again when it is back.
func TestUnresponsiveOwnerIsPassedOver(t *testing.T) {
	c := qt.New(t)
	s := NewSubscription(Config{OwnersQueried: 1})
	a := RegistryOwner{"a", 1}
	b := RegistryOwner{"b", 1}
	s.SetOwners(0, "s", []RegistryOwner{a, b})
	first := time.Duration(-1) // request to b
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for _, request := range s.Tick(now) {
			if request.To == "b" {
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
