package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// VoterSet is the list of voters. It is a part of the register's value and changes as the value does, by compare-and-set on
// its Epoch. A change adds a voter, removes one, or exchanges one for another; it is accepted by majorities of the old and of the
// new list (a joint step). An epoch is decided once a value that has it was chosen. A value whose epoch is 0 does not hold the
// list: it is that of the system's first start and stands in each replica's record.
//
// docs/consensus-proof.md shows why two decided lists can't both choose a value, and why a replica may join.
type VoterSet struct {
	Epoch    uint64
	Voters   []string
	Previous []string // the voters of the epoch before
	Retired  []string // processes that the planner must not add again
}

// Fields implements codec.Message.
func (v *VoterSet) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, &v.Epoch)
	visitor.Strings(2, &v.Voters)
	visitor.Strings(3, &v.Previous)
	visitor.Strings(4, &v.Retired)
}

// Contains tells whether a node votes.
func (v *VoterSet) Contains(node string) bool { return slices.Contains(v.Voters, node) }

// conflictsWith tells whether two lists of one epoch name different voters; a list without voters says nothing.
func (v *VoterSet) conflictsWith(other *VoterSet) bool {
	return v.Epoch == other.Epoch && len(v.Voters) > 0 && len(other.Voters) > 0 && !slices.Equal(v.Voters, other.Voters)
}

// previousSet is the list of the epoch before, which is decided.
func (v *VoterSet) previousSet() VoterSet {
	return VoterSet{Epoch: v.Epoch - 1, Voters: v.Previous, Retired: v.Retired}
}

// VoterChange is one change of the voters. With both Add and Remove one voter is exchanged for another in one step.
type VoterChange struct {
	Add, Remove string
	Retire      bool // the removed one is not to be added again by the planner
}

// maxRetired is how many names are remembered.
const maxRetired = 64

// NewVoterChange makes a change of a list; nil if there is nothing to change, or if nobody would be left.
func NewVoterChange(base VoterSet, m VoterChange) *Change {
	add := m.Add != "" && !base.Contains(m.Add)
	remove := m.Remove != "" && base.Contains(m.Remove)
	next := VoterSet{Epoch: base.Epoch + 1, Previous: base.Voters, Retired: base.Retired}
	for _, v := range base.Voters {
		if !remove || v != m.Remove {
			next.Voters = append(next.Voters, v)
		}
	}
	if add {
		next.Voters = append(next.Voters, m.Add)
		next.Retired = slices.DeleteFunc(slices.Clone(base.Retired), func(s string) bool { return s == m.Add })
	}
	if remove && m.Retire {
		next.Retired = append(lastEntries(next.Retired, maxRetired-1), m.Remove)
	}
	if !add && !remove || len(next.Voters) == 0 {
		return nil
	}
	slices.Sort(next.Voters)
	return &Change{nextVoters: &next}
}

// evaluateVoterChange decides on a change of the list when w is the newest value; its epoch is that of the round.
func (c *Change) evaluateVoterChange(w *Value) (Verdict, *Value) {
	e := &w.VoterSet
	if c.nextVoters.Epoch != e.Epoch+1 || e.Epoch > 0 && !slices.Equal(e.Voters, c.nextVoters.Previous) {
		if w.VoterSet.Epoch == c.nextVoters.Epoch && slices.Equal(w.VoterSet.Voters, c.nextVoters.Voters) {
			return Applied, w
		}
		return Conflict, w
	}
	next := *w
	next.VoterSet = *c.nextVoters
	return Applied, &next
}
