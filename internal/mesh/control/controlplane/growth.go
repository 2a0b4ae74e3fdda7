package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// The times after its start for which a process waits for more voters.
const (
	discoveryTime = time.Second     // time within which the process may not know all other processes yet
	maxGrowthWait = 5 * time.Second // time after which the process no longer waits for others to become voters
)

// growthWaiter delays the acknowledgement of changes while there are fewer voters than consensus.TargetVoters. At the system's first start
// all processes know the same three voters, of which two are a majority. If two disks may be lost at once, a change that only two voters
// have stored must not be acknowledged. growthWaiter does not wait for processes that do not run, and stops waiting at maxGrowthWait after
// this process's start.
type growthWaiter struct {
	startedAt    time.Time
	initialStart bool // whether the whole system starts for the first time
	tolerated    int  // number of machines that may be lost at once
	backoff      *backoff
	learner      *learner
	directory    *coreDirectory
	proposer     *proposer
}

// wait returns once there are enough voters or no more are expected. If it had to wait and returns no error, a majority of the voters has
// the newest value and the voter set on disk. It fails only if ctx or the Server ends.
func (g *growthWaiter) wait(ctx context.Context) error {
	growing := g.initialStart && time.Since(g.startedAt) < maxGrowthWait
	if g.directory.running == nil || !growing && !g.growthExpected() {
		return nil
	}
	for g.growthExpected() {
		delay := minBackoff
		if err := g.backoff.wait(ctx, &delay); err != nil {
			return trace.Wrap(err)
		}
	}
	// The voter set may have grown since the change was committed. After a read under the current set, a majority of that set has stored
	// the change.
	_, err := g.proposer.read(ctx)
	return trace.Wrap(err)
}

// growthExpected reports whether there are fewer voters than consensus.TargetVoters and more may join soon.
func (g *growthWaiter) growthExpected() bool {
	voters := g.learner.voterSet()
	age := time.Since(g.startedAt)
	if len(voters.Voters) >= consensus.TargetVoters(g.tolerated) || age >= maxGrowthWait {
		return false
	}
	joining := slices.ContainsFunc(g.directory.runningCores(), func(node string) bool { return mayJoin(voters, node) })
	return joining || age < discoveryTime
}
