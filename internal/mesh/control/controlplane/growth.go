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
	discoveryTime = time.Second     // within which it may not know all processes yet
	maxGrowthWait = 5 * time.Second // after which it does not wait any more for processes to become voters
)

// growth delays the acknowledgement of changes while there are fewer voters than wanted. That is so at the system's first start: all
// processes know the same three voters, of which two are a majority. Where two disks may be lost at once, a change that only two
// voters hold must not be acknowledged. growth does not wait for processes that do not run, and not beyond maxGrowthWait after this
// process's start.
type growth struct {
	startedAt    time.Time
	initialStart bool // of the whole system
	tolerated    int  // losses of machines
	backoff      *backoff
	learner      *learner
	directory    *coreDirectory
	proposer     *proposer
}

// await waits until there are as many voters as wanted, or no more are expected. If it had to wait and returns no error, a majority of
// the voters has the newest value and the voter set on disk.
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
	// The voters may have grown since the change was committed: a round under the current set makes a majority of that set hold it.
	_, err := g.proposer.read(ctx)
	return trace.Wrap(err)
}

// expected reports whether there are fewer voters than wanted and more may join soon.
func (g *growth) expected() bool {
	voters := g.learner.voterSet()
	age := time.Since(g.startedAt)
	if len(voters.Voters) >= consensus.TargetVoters(g.tolerated) || age >= maxGrowthWait {
		return false
	}
	joining := slices.ContainsFunc(g.directory.runningCores(), func(node string) bool { return mayJoin(voters, node) })
	return joining || age < discoveryTime
}
