package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// How long after its start a process expects more voters.
const (
	discoveryTime = time.Second     // until then there may be processes that it does not know of yet
	maxGrowthWait = 5 * time.Second // a process that has not become a voter by then is not waited for
)

// growth delays the acknowledgement of changes while the voter set is smaller than it is to be. At the system's first start it
// has to be: all know of the same three processes, whose majority is two, and a change that these two alone hold must not be
// acknowledged where two disks may be lost. It does not wait for processes that are not there, nor long after this process's
// start.
type growth struct {
	startedAt    time.Time
	initialStart bool // of the whole system
	tolerated    int  // losses of machines
	backoff      *backoff
	learner      *learner
	directory    *coreDirectory
	proposer     *proposer
}

// await waits until the voter set tolerates as many losses as it is to. Once it returns without an error, a majority of the
// set has the newest value and the set itself on disk.
func (g *growth) await(ctx context.Context) error {
	first := g.initialStart && time.Since(g.startedAt) < maxGrowthWait
	if g.directory.running == nil || !first && !g.expected() {
		return nil
	}
	for g.expected() {
		delay := minBackoff
		if err := g.backoff.wait(ctx, &delay); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := g.proposer.read(ctx) // a round under the voter set that there is now
	return trace.Wrap(err)
}

// expected reports whether there are fewer voters than wanted, and there may soon be more.
func (g *growth) expected() bool {
	voters := g.learner.voterSet()
	age := time.Since(g.startedAt)
	if len(voters.Voters) >= consensus.TargetVoters(g.tolerated) || age >= maxGrowthWait {
		return false
	}
	joining := slices.ContainsFunc(g.directory.runningCores(), func(node string) bool { return mayJoin(voters, node) })
	return joining || age < discoveryTime
}
