package consensus

import (
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	crashWarmUpSteps = 1500 // steps before the change that the crash follows, at most
	crashWaitSteps   = 4000 // steps until a change is acknowledged, at most
)

// crashAfterCommit is a crash at the moment at which a change is acknowledged: some disks are lost, and all other processes
// lose power, voters or not. Messages in flight are lost as well.
type crashAfterCommit struct {
	tolerated int  // disks that may be lost at once
	aimed     bool // at the disks with the newest votes
}

// victims returns the replicas whose disks are lost: those that hold the newest votes, or random ones. Disks that are already
// lost count as well.
func (c crashAfterCommit) victims(m *model) []*modelReplica {
	left := c.tolerated
	var candidates []*modelReplica
	for _, process := range m.replicas {
		if process.diskLost {
			left--
		} else {
			candidates = append(candidates, process)
		}
	}
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if c.aimed {
		slices.SortStableFunc(candidates, func(a, b *modelReplica) int { return b.disk.Vote.Ballot.Compare(a.disk.Vote.Ballot) })
	}
	return candidates[:max(min(left, len(candidates)), 0)]
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

// tolerance returns how many disks the newest decided voters may lose at once.
func (m *model) tolerance() int {
	var newest VoterSet
	for _, process := range m.replicas {
		if len(process.voterSet.Voters) > 0 && (len(newest.Voters) == 0 || process.voterSet.Epoch > newest.Epoch) {
			newest = process.voterSet
		}
	}
	return (len(newest.Voters) - 1) / 2
}

// crashes counts the crashes in the runs of a test.
type crashes struct {
	crashes      int
	disks        int // that were lost
	severalDisks int // crashes in which more than one disk was lost
}

// playCrash runs a model until a change is acknowledged, and then crashes it. Once the processes are back, all of them have to
// read what was acknowledged, and the next change has to be applied. It reports whether a change was acknowledged in time.
func (c *crashes) playCrash(m *model) bool {
	for step := m.rng.IntN(crashWarmUpSteps); step > 0 && m.spec.fault == ""; step-- {
		m.step()
	}
	acknowledged := m.counts[Committed.String()]
	for step := 0; step < crashWaitSteps && m.counts[Committed.String()] == acknowledged && m.spec.fault == ""; step++ {
		m.step()
	}
	if m.counts[Committed.String()] == acknowledged {
		return false
	}
	lost := crashAfterCommit{tolerated: m.tolerance(), aimed: m.chance(70)}.crash(m)
	c.crashes++
	c.disks += lost
	if lost > 1 {
		c.severalDisks++
	}
	m.endFaults()
	m.faultless = false
	return true
}

// At the moment at which a change is acknowledged, as many disks are lost as the voters tolerate, often those with the newest
// votes, and all other processes lose power. Once they are back, every process reads what was acknowledged, and the next
// change is applied. Then the same happens once more.
func TestDisksLostWhileAllOthersLosePower(t *testing.T) {
	seeds := uint64(300)
	if os.Getenv("SOAK") != "" {
		seeds = 4000
	}
	var total crashes
	for seed := range seeds {
		m := newModel(seed, []int{3, 5, 3, 4, 5}[seed%5], 1+int(seed/5%2), seed%4 == 3)
		m.diskLosses = 0 // apart from the crash: another one could exceed what the voters tolerate
		for range 2 {
			if crashed := total.playCrash(m); !crashed || m.spec.fault != "" {
				break
			}
		}
		if m.spec.fault != "" {
			t.Fatalf("seed %d, %d crashes so far: %s", seed, total.crashes, m.spec.fault)
		}
	}
	t.Logf("%d seeds: %d times, %d disks, two at once %d times", seeds, total.crashes, total.disks, total.severalDisks)
	qt.Assert(t, total.crashes > int(seeds) && total.severalDisks > int(seeds)/5, qt.IsTrue)
}
