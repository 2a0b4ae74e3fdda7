package agent

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// A home tells its subscribers what has changed, not all that it holds: when many endpoints of a large service change at once, whole
// lists to all subscribers would fill its link for seconds.
func TestSubscribersAreNotifiedOfChanges(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	hub := transport.NewHub(transport.Hello{Incarnation: 1, Address: "127.9.1.2:7401"}, time.Now(), 1<<20, log)
	defer hub.Close()
	a := New(Config{Settings: &settings.Settings{Service: "s"}, Hub: hub, Role: membership.RoleAccess, Log: log, Seed: 1})
	endpoint := func(i int, sequence uint64, state discovery.State) discovery.Endpoint {
		return discovery.Endpoint{
			ID: fmt.Sprintf("i-%d", i), Service: "s", AppAddress: fmt.Sprintf("10.0.0.%d:1", i), State: state,
			Sequence: sequence, Revision: sequence, LeaseRemaining: time.Minute,
		}
	}
	for i := range 48 {
		a.apply(endpoint(i, 1, discovery.Serving))
	}
	first := a.drainChanges()
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0].update, qt.HasLen, 48)
	a.apply(endpoint(7, 2, discovery.Draining))
	a.apply(endpoint(9, 2, discovery.Crashed))
	then := a.drainChanges()
	c.Assert(then, qt.HasLen, 1)
	c.Assert(then[0].update, qt.HasLen, 2)
	c.Assert(then[0].endpoints, qt.HasLen, 48)
	c.Assert(a.drainChanges(), qt.HasLen, 0)
}
