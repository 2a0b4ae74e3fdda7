package agent

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/discovery"
)

// A registry owner sends its subscribers only the records that have changed. If many endpoints of a large service changed at once, complete
// lists to all subscribers would saturate its link for seconds.
func TestSubscribersAreNotifiedOfChanges(t *testing.T) {
	c := qt.New(t)
	directory := newTestSidecar(t, "127.9.1.2:7401", 1).directory
	endpoint := func(i int, sequence uint64, state discovery.State) discovery.Endpoint {
		return discovery.Endpoint{
			ID:             fmt.Sprintf("i-%d", i),
			Service:        "s",
			AppAddress:     fmt.Sprintf("10.0.0.%d:1", i),
			State:          state,
			Sequence:       sequence,
			Revision:       sequence,
			LeaseRemaining: time.Minute,
		}
	}
	for i := range 48 {
		directory.apply(endpoint(i, 1, discovery.Serving))
	}
	first := directory.drainChanges()
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0].update, qt.HasLen, 48)
	directory.apply(endpoint(7, 2, discovery.Draining))
	directory.apply(endpoint(9, 2, discovery.Crashed))
	then := directory.drainChanges()
	c.Assert(then, qt.HasLen, 1)
	c.Assert(then[0].update, qt.HasLen, 2)
	c.Assert(then[0].endpoints, qt.HasLen, 48)
	c.Assert(directory.drainChanges(), qt.HasLen, 0)
}
