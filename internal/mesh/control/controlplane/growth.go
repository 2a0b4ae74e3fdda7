package controlplane

import (
	"context"
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"

	"github.com/gravitational/trace"
)

// How long after its start a process expects the list of voters to grow.
const (
	growthLeast = time.Second     // until then processes that it does not know of yet may be there
	growthMost  = 5 * time.Second // who has not become a voter by then is not waited for
)

// awaitGrowth waits until the list of voters bears as many lost disks as it is to bear. At the system's first start it can't: all are
// told of the same three processes, whose majority is two, and a change that these two alone hold must not be acknowledged where two
// disks may be lost. Once it returns without an error, a majority of the whole list has the newest value and the list itself on disk.
// It does not wait for processes that are not there, nor long after this process's start.
func (d *Server) awaitGrowth(ctx context.Context) error {
	first := d.o.InitialStart && time.Since(d.began) < growthMost
	if d.o.Cores == nil || !first && !d.growing() {
		return nil
	}
	for d.growing() {
		pause := pauseMin
		if err := d.pause(ctx, &pause); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := d.Newest(ctx) // a round under the list that there is now
	return trace.Wrap(err)
}

// growing tells whether there are fewer voters than wanted, and there may soon be more.
func (d *Server) growing() bool {
	e, age := d.Membership(), time.Since(d.began)
	if len(e.Voters) >= consensus.TargetVoters(d.o.Tolerated) || age >= growthMost {
		return false
	}
	joining := slices.ContainsFunc(d.peersThere(), func(node string) bool {
		return !e.Contains(node) && !slices.Contains(e.Retired, node)
	})
	return joining || age < growthLeast
}
