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
	c.Assert(due[0].Endpoint, qt.DeepEquals,
		Endpoint{ID: "x", Sequence: 1, Revision: 1, WarmupRemaining: time.Second, LeaseRemaining: lease})
	c.Assert(p.Tick(1200*time.Millisecond), qt.HasLen, 0)
	p.Acknowledged(1200*time.Millisecond, "a", "x", 1)
	c.Assert(p.Tick(1300*time.Millisecond), qt.HasLen, 1, qt.Commentf("not acknowledged"))
	p.Acknowledged(1300*time.Millisecond, "b", "x", 1)
	p.Set(2*time.Second, Endpoint{ID: "x", Sequence: 2})
	c.Assert(p.Tick(2*time.Second), qt.HasLen, 0, qt.Commentf("a keepalive alone waits for the renewal"))
	p.SetOwners(2*time.Second, []string{"a", "b", "c"})
	c.Assert(p.Tick(2*time.Second), qt.HasLen, 1, qt.Commentf("a new owner at once"))
	c.Assert(p.Tick(4*time.Second), qt.HasLen, 2, qt.Commentf("renewal at a, retry at c"))
	p.ForgetOwner("b")
	c.Assert(p.Tick(4*time.Second), qt.HasLen, 1)

	p.Set(5*time.Second, Endpoint{ID: "x", Sequence: 3, State: Draining})
	p.Set(5*time.Second, Endpoint{ID: "x", Sequence: 4, State: Serving})
	p.Acknowledged(5*time.Second, "a", "x", 1) // late, of the revision before
	due = p.Tick(5 * time.Second)
	c.Assert(due, qt.HasLen, 3)
	c.Assert(due[0].Endpoint.State, qt.Equals, Draining)
	p.Set(6*time.Second, Endpoint{ID: "y", Sequence: 1})
	c.Assert(p.Tick(6*time.Second), qt.HasLen, 6, qt.Commentf("the end of x, and y"))
	for _, owner := range []string{"a", "b", "c"} {
		p.Acknowledged(6*time.Second, owner, "x", 3)
	}
	c.Assert(p.Tick(6300*time.Millisecond), qt.HasLen, 3, qt.Commentf("x is done with"))
	p.End(7*time.Second, "y", Crashed)
	due = p.Tick(7 * time.Second)
	c.Assert(due[2].Endpoint.State, qt.Equals, Crashed)
	p.Set(8*time.Second, Endpoint{ID: "y", Sequence: 1})
	c.Assert(p.Tick(8 * time.Second)[0].Endpoint.State, qt.Equals, Serving, qt.Commentf("a keepalive came after all"))
}
