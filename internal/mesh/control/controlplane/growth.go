package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// How long after its start a process expects the list of voters to grow.
const (
	discoveryTime = time.Second     // until then processes that it does not know of yet may be there
	maxGrowthWait = 5 * time.Second // who has not become a voter by then is not waited for
)

// awaitVoters waits until the list of voters bears as many lost disks as it is to bear. At the system's first start it can't: all are
// told of the same three processes, whose majority is two, and a change that these two alone hold must not be acknowledged where two
// disks may be lost. Once it returns without an error, a majority of the whole list has the newest value and the list itself on disk.
// It does not wait for processes that are not there, nor long after this process's start.
func (d *Server) awaitVoters(ctx context.Context) error {
	first := d.options.InitialStart && time.Since(d.startedAt) < maxGrowthWait
	if d.options.Cores == nil || !first && !d.expectsMoreVoters() {
		return nil
	}
	for d.expectsMoreVoters() {
		pause := minBackoff
		if err := d.backOff(ctx, &pause); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := d.ReadLatest(ctx) // a round under the list that there is now
	return trace.Wrap(err)
}

// expectsMoreVoters tells whether there are fewer voters than wanted, and there may soon be more.
func (d *Server) expectsMoreVoters() bool {
	e, age := d.VoterSet(), time.Since(d.startedAt)
	if len(e.Voters) >= consensus.TargetVoters(d.options.Tolerated) || age >= maxGrowthWait {
		return false
	}
	joining := slices.ContainsFunc(d.runningCores(), func(node string) bool {
		return !e.Contains(node) && !slices.Contains(e.Retired, node)
	})
	return joining || age < discoveryTime
}
