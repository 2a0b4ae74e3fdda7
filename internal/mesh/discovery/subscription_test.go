package discovery

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSubscription(t *testing.T) {
	c := qt.New(t)
	subscription := NewSubscription(Config{})
	ownerA := RegistryOwner{"a", 1}
	ownerB := RegistryOwner{"b", 1}
	ownerD := RegistryOwner{"d", 1}
	subscription.SetOwners("s", []RegistryOwner{ownerA, ownerB, ownerD})
	c.Assert(subscription.Tick(0), qt.DeepEquals, []SubscribeRequest{{"a", 1, "s", 0}, {"b", 1, "s", 0}})
	subscription.Received(0, ownerA, "s", 5)
	c.Assert(subscription.Tick(300*time.Millisecond), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 0}},
		qt.Commentf("the request to b is retried without an answer"))
	subscription.Received(time.Second, ownerB, "s", 3)
	subscription.Received(time.Second, RegistryOwner{"b", 9}, "s", 8) // incarnation 9 isn't polled, so its answer is ignored
	subscription.ConnectionLost(time.Second, "a")
	c.Assert(subscription.Tick(time.Second), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 3}, {"d", 1, "s", 0}})
	c.Assert(subscription.Tick(1300*time.Millisecond), qt.DeepEquals, []SubscribeRequest{{"a", 1, "s", 5}, {"d", 1, "s", 0}})
	subscription.Received(1300*time.Millisecond, ownerA, "s", 6)
	subscription.SetOwners("s", []RegistryOwner{{"a", 2}, ownerB})
	c.Assert(subscription.Tick(2*time.Second), qt.DeepEquals, []SubscribeRequest{{"a", 2, "s", 0}},
		qt.Commentf("another incarnation of a is polled from version 0"))
	subscription.Received(2*time.Second, RegistryOwner{"a", 2}, "s", 1)
	c.Assert(subscription.Tick(3*time.Second), qt.DeepEquals, []SubscribeRequest{{"b", 1, "s", 3}})
	subscription.SetOwners("s", nil)
	c.Assert(subscription.Tick(9*time.Second), qt.HasLen, 0)
}

// If an owner freezes while its connection stays open, the next owner must be polled instead. Once the frozen owner responds, it must be
// polled again.
func TestUnresponsiveOwnerIsSkipped(t *testing.T) {
	c := qt.New(t)
	subscription := NewSubscription(Config{OwnersQueried: 1})
	ownerA := RegistryOwner{"a", 1}
	ownerB := RegistryOwner{"b", 1}
	subscription.SetOwners("s", []RegistryOwner{ownerA, ownerB})
	first := time.Duration(-1) // time at which the first request to b was due
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for _, request := range subscription.Tick(now) {
			if request.To == "b" {
				subscription.Received(now, ownerB, "s", 1)
				if first < 0 {
					first = now
				}
			} else if now < time.Second || now > 7*time.Second {
				subscription.Received(now, ownerA, "s", 1)
			}
		}
	}
	c.Assert(first <= 5*time.Second && first > 0, qt.IsTrue, qt.Commentf("the first request to b was due at %v, want at most 5s", first))
	c.Assert(subscription.sourcesByService["s"][0].state, qt.Equals, answered)
}
