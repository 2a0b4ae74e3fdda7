package discovery

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The subscriptions to a service without changes were never removed.
func TestSubscriptionsOfAQuietServiceExpire(t *testing.T) {
	s := NewSubscribers(Config{})
	for i := range 100 {
		s.Renew(time.Duration(i)*time.Second, fmt.Sprint("service ", i), "x")
		s.Renew(time.Duration(i)*time.Second, "quiet", fmt.Sprint("subscriber ", i))
		s.Expire(time.Duration(i) * time.Second)
	}
	qt.Assert(t, s.leaseEnds["quiet"], qt.HasLen, 6)
	qt.Assert(t, s.leaseEnds, qt.HasLen, 7)
	s.Expire(time.Hour)
	qt.Assert(t, s.leaseEnds, qt.HasLen, 0)
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
