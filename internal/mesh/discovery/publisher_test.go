package discovery

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPublisher(t *testing.T) {
	c := qt.New(t)
	publisher := NewPublisher(Config{})
	c.Assert(publisher.Tick(0), qt.HasLen, 0)
	publisher.SetOwners([]string{"b", "a", "b"})
	publisher.Set(0, Endpoint{ID: "x", Sequence: 1, WarmupRemaining: 2 * time.Second})
	due := publisher.Tick(time.Second)
	c.Assert(due, qt.HasLen, 2)
	c.Assert(due[0].Endpoint, qt.DeepEquals,
		Endpoint{ID: "x", Sequence: 1, Revision: 1, WarmupRemaining: time.Second, LeaseRemaining: lease})
	c.Assert(publisher.Tick(1200*time.Millisecond), qt.HasLen, 0)
	publisher.Acknowledged("a", "x", 1)
	c.Assert(publisher.Tick(1300*time.Millisecond), qt.HasLen, 1, qt.Commentf("the announcement that b has not acknowledged is retried"))
	publisher.Acknowledged("b", "x", 1)
	publisher.Set(2*time.Second, Endpoint{ID: "x", Sequence: 2})
	c.Assert(publisher.Tick(2*time.Second), qt.HasLen, 0, qt.Commentf("a keepalive without a change is sent only with the next renewal"))
	publisher.SetOwners([]string{"a", "b", "c"})
	c.Assert(publisher.Tick(2*time.Second), qt.HasLen, 1, qt.Commentf("the record is announced to the new owner c immediately"))
	c.Assert(publisher.Tick(4*time.Second), qt.HasLen, 2, qt.Commentf("the lease is renewed at a, and the announcement to c is retried"))
	publisher.ForgetOwner("b")
	c.Assert(publisher.Tick(4*time.Second), qt.HasLen, 1)

	publisher.Set(5*time.Second, Endpoint{ID: "x", Sequence: 3, State: Draining})
	publisher.Set(5*time.Second, Endpoint{ID: "x", Sequence: 4, State: Serving})
	publisher.Acknowledged("a", "x", 1) // delayed acknowledgement of the previous revision
	due = publisher.Tick(5 * time.Second)
	c.Assert(due, qt.HasLen, 3)
	c.Assert(due[0].Endpoint.State, qt.Equals, Draining)
	publisher.Set(6*time.Second, Endpoint{ID: "y", Sequence: 1})
	c.Assert(publisher.Tick(6*time.Second), qt.HasLen, 6, qt.Commentf("the end of x and the record of y are announced to three owners"))
	for _, owner := range []string{"a", "b", "c"} {
		publisher.Acknowledged(owner, "x", 3)
	}
	c.Assert(publisher.Tick(6300*time.Millisecond), qt.HasLen, 3,
		qt.Commentf("only y is announced after all owners have acknowledged the end of x"))
	publisher.End(7*time.Second, "y", Crashed)
	due = publisher.Tick(7 * time.Second)
	c.Assert(due[2].Endpoint.State, qt.Equals, Crashed)
	publisher.Set(8*time.Second, Endpoint{ID: "y", Sequence: 1})
	c.Assert(publisher.Tick(8 * time.Second)[0].Endpoint.State, qt.Equals, Serving, qt.Commentf("a keepalive restores a crashed endpoint"))
}
