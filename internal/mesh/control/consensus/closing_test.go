package consensus

import (
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	closingWarmUp = 1500 // steps, at most, before the change that the loss follows
	closingWait   = 4000 // steps until a change is acknowledged
)

// closing is a loss at the moment at which a change was acknowledged: some disks are lost, and all other processes lose power, voters
// or not. What is on its way is lost with them.
type closing struct {
	tolerated int // disks that may be lost at once
	aimed     bool
}

// victims are the replicas whose disks are lost. Aimed, they are those that hold the newest votes; else they are drawn by lot. Disks
// that are lost already count.
func (c closing) victims(m *model) []*modelReplica {
	left := c.tolerated
	var candidates []*modelReplica
	for _, p := range m.replicas {
		if p.wiped {
			left--
		} else {
			candidates = append(candidates, p)
		}
	}
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if c.aimed {
		slices.SortStableFunc(candidates, func(a, b *modelReplica) int { return b.disk.Vote.Ballot.Compare(a.disk.Vote.Ballot) })
	}
	return candidates[:max(min(left, len(candidates)), 0)]
}

// strike has the loss happen.
func (c closing) strike(m *model) (wiped int) {
	victims := c.victims(m)
	for _, p := range m.replicas {
		m.stop(p)
	}
	for _, p := range victims {
		p.disk, p.wiped = Record{}, true
	}
	m.wire = nil
	return len(victims)
}

// tolerance is how many disks the voters that were decided last may lose at once.
func (m *model) tolerance() int {
	var newest VoterSet
	for _, p := range m.replicas {
		if len(p.membership.Voters) > 0 && (len(newest.Voters) == 0 || p.membership.Epoch > newest.Epoch) {
			newest = p.membership
		}
	}
	return (len(newest.Voters) - 1) / 2
}

// Right after a change was acknowledged, as many disks are lost as may be, those with the newest votes among them, and all other
// processes lose power at the same moment. Once they are back, every process reads what was acknowledged, and the next change
// is taken; then the same happens once more.
func TestDisksLostWhileAllOthersLosePower(t *testing.T) {
	seeds := uint64(300)
	if os.Getenv("SOAK") != "" {
		seeds = 4000
	}
	strikes, wiped, both := 0, 0, 0
	for seed := range seeds {
		m := newModel(seed, []int{3, 5, 3, 4, 5}[seed%5], 1+int(seed/5%2), seed%4 == 3)
		m.losses = 0 // before it; one disk more would be one too many
		for range 2 {
			for n := m.rng.IntN(closingWarmUp); n > 0 && m.spec.fault == ""; n-- {
				m.step()
			}
			acknowledged := m.counts[Applied.String()]
			for n := 0; n < closingWait && m.counts[Applied.String()] == acknowledged && m.spec.fault == ""; n++ {
				m.step()
			}
			if m.counts[Applied.String()] == acknowledged {
				break
			}
			lost := closing{tolerated: m.tolerance(), aimed: m.chance(70)}.strike(m)
			strikes, wiped = strikes+1, wiped+lost
			if lost > 1 {
				both++
			}
			if m.settle(); m.spec.fault != "" {
				t.Fatalf("seed %d, %d disks lost: %s", seed, lost, m.spec.fault)
			}
			m.healed = false
		}
		if m.spec.fault != "" {
			t.Fatalf("seed %d: %s", seed, m.spec.fault)
		}
	}
	t.Logf("%d seeds: %d times, %d disks, two at once %d times", seeds, strikes, wiped, both)
	qt.Assert(t, strikes > int(seeds) && both > int(seeds)/5, qt.IsTrue)
}
