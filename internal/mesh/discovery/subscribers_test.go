package discovery

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

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
