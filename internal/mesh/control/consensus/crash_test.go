package consensus

import (
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	crashWarmUpSteps = 1500 // steps, at most, before the change that the loss follows
	crashWaitSteps   = 4000 // steps until a change is acknowledged
)

// crashAfterCommit is a loss at the moment at which a change was acknowledged: some disks are lost, and all other processes
// lose power, voters or not. Messages in flight are lost with them.
type crashAfterCommit struct {
	tolerated int  // disks that may be lost at once
	aimed     bool // at the disks with the newest votes
}

// victims are the replicas whose disks are lost: those that hold the newest votes, or any by chance. Disks that are lost already
// count.
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

// crash has the loss happen, and returns how many disks were lost.
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

// tolerance is how many disks the voters that were decided last may lose at once.
func (m *model) tolerance() int {
	var newest VoterSet
	for _, process := range m.replicas {
		if len(process.voterSet.Voters) > 0 && (len(newest.Voters) == 0 || process.voterSet.Epoch > newest.Epoch) {
			newest = process.voterSet
		}
	}
	return (len(newest.Voters) - 1) / 2
}

// crashes counts what happened in the runs of a test.
type crashes struct{ crashes, disks, severalDisks int }

// playCrash plays a model until a change was acknowledged, and crashes it then. Once the processes are back, all of them have to
// read what was acknowledged, and the next change has to be applied. It reports whether a change was acknowledged in time.
func (c *crashes) playCrash(m *model) bool {
	for step := m.rng.IntN(crashWarmUpSteps); step > 0 && m.spec.fault == ""; step-- {
		m.step()
	}
	acknowledged := m.counts[Applied.String()]
	for step := 0; step < crashWaitSteps && m.counts[Applied.String()] == acknowledged && m.spec.fault == ""; step++ {
		m.step()
	}
	if m.counts[Applied.String()] == acknowledged {
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

// Right after a change was acknowledged, as many disks are lost as may be, those with the newest votes among them, and all other
// processes lose power at the same moment. Once they are back, every process reads what was acknowledged, and the next change
// is applied; then the same happens once more.
func TestDisksLostWhileAllOthersLosePower(t *testing.T) {
	seeds := uint64(300)
	if os.Getenv("SOAK") != "" {
		seeds = 4000
	}
	var total crashes
	for seed := range seeds {
		m := newModel(seed, []int{3, 5, 3, 4, 5}[seed%5], 1+int(seed/5%2), seed%4 == 3)
		m.diskLosses = 0 // before it; one disk more would be one too many
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
