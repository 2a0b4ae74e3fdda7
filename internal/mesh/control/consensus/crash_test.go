package consensus

import (
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	crashWarmUpSteps = 1500 // limit of the random number of steps before the wait for a change
	crashWaitSteps   = 4000 // maximum number of steps to wait until a change is acknowledged
)

// crashAfterCommit is a crash immediately after a change is acknowledged: some disks are lost, and all other processes, also
// those that are not voters, lose power. Messages in flight are lost as well.
type crashAfterCommit struct {
	tolerated          int  // the number of disks that may be lost at once
	targetsNewestVotes bool // whether the disks with the newest votes are lost, and not random ones
}

// victims returns the replicas whose disks are lost in the crash: those that hold the newest votes, or random ones. Disks that
// are already lost count towards the tolerated number.
func (c crashAfterCommit) victims(m *model) []*modelReplica {
	remaining := c.tolerated
	var candidates []*modelReplica
	for _, process := range m.replicas {
		if process.diskLost {
			remaining--
		} else {
			candidates = append(candidates, process)
		}
	}
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if c.targetsNewestVotes {
		slices.SortStableFunc(candidates, func(a, b *modelReplica) int { return b.disk.Vote.Ballot.Compare(a.disk.Vote.Ballot) })
	}
	return candidates[:max(min(remaining, len(candidates)), 0)]
}

// crash stops all processes and returns how many disks were lost.
func (c crashAfterCommit) crash(m *model) (disks int) {
	victims := c.victims(m)
	for _, process := range m.replicas {
		m.stop(process)
	}
	for _, process := range victims {
		process.disk = Record{}
		process.diskLost = true
	}
	m.inFlight = nil
	return len(victims)
}

// tolerance returns the number of disks that the newest decided voter set may lose at once.
func (m *model) tolerance() int {
	var newest VoterSet
	for _, process := range m.replicas {
		if len(process.voterSet.Voters) > 0 && (len(newest.Voters) == 0 || process.voterSet.Epoch > newest.Epoch) {
			newest = process.voterSet
		}
	}
	return (len(newest.Voters) - 1) / 2
}

// crashCounts counts the crashes in the runs of a test.
type crashCounts struct {
	crashes          int
	lostDisks        int // the number of disks that were lost
	multiDiskCrashes int // the number of crashes in which more than one disk was lost
}

// runWithCrash runs a model until a change is acknowledged, and then crashes it. After the restart each process must read the
// acknowledged value, and the next change must be applied. It reports whether a change was acknowledged in time.
func (c *crashCounts) runWithCrash(m *model) bool {
	for step := m.rng.IntN(crashWarmUpSteps); step > 0 && m.spec.violation == ""; step-- {
		m.step()
	}
	acknowledged := m.counts[Committed.String()]
	for step := 0; step < crashWaitSteps && m.counts[Committed.String()] == acknowledged && m.spec.violation == ""; step++ {
		m.step()
	}
	if m.counts[Committed.String()] == acknowledged {
		return false
	}
	lost := crashAfterCommit{tolerated: m.tolerance(), targetsNewestVotes: m.chance(70)}.crash(m)
	c.crashes++
	c.lostDisks += lost
	if lost > 1 {
		c.multiDiskCrashes++
	}
	m.endFaults()
	m.faultsEnded = false
	return true
}

// Immediately after a change is acknowledged, as many disks are lost as the voters tolerate, often those with the newest
// votes, and all other processes lose power. After the restart every process must read the acknowledged value, and the next
// change must be applied. Each run repeats this once.
func TestDisksLostWhileAllOthersLosePower(t *testing.T) {
	seeds := uint64(300)
	if os.Getenv("SOAK") != "" {
		seeds = 4000
	}
	var total crashCounts
	for seed := range seeds {
		m := newModel(seed, []int{3, 5, 3, 4, 5}[seed%5], 1+int(seed/5%2), seed%4 == 3)
		m.diskLosses = 0 // disks are lost in the crash only: further losses could exceed what the voters tolerate
		for range 2 {
			if crashed := total.runWithCrash(m); !crashed || m.spec.violation != "" {
				break
			}
		}
		if m.spec.violation != "" {
			t.Fatalf("seed %d, after %d crashes in all runs: guarantee violated: %s", seed, total.crashes, m.spec.violation)
		}
	}
	t.Logf("%d seeds: %d crashes, %d disks lost, %d crashes that lost several disks",
		seeds, total.crashes, total.lostDisks, total.multiDiskCrashes)
	qt.Assert(t, total.crashes > int(seeds) && total.multiDiskCrashes > int(seeds)/5, qt.IsTrue)
}
