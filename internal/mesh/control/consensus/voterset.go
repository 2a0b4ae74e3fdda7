package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// VoterSet is the voters of one epoch. It is a part of the register's value and changes as the value does, by
// compare-and-set on its Epoch. A change adds a voter, removes one, or exchanges one for another; it is accepted by
// majorities of the old and of the new voters (a joint step). An epoch is decided once a value that has it was chosen. A
// value of epoch 0 does not hold the voters: they are those of the system's first start, which each replica's record
// holds. A VoterSet without Voters is not known.
//
// docs/design/consensus-proof.md shows why two decided sets can't both choose a value, and why a replica may join.
type VoterSet struct {
	Epoch    uint64
	Voters   []string // sorted, except those of the first start
	Previous []string // the voters of the epoch before
	Retired  []string // processes that the planner must not add again, oldest first; at most maxRetired
}

// maxRetired is how many retired processes are remembered.
const maxRetired = 64

// Fields implements codec.Message.
func (v *VoterSet) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, &v.Epoch)
	visitor.Strings(2, &v.Voters)
	visitor.Strings(3, &v.Previous)
	visitor.Strings(4, &v.Retired)
}

// Contains reports whether a node is a voter.
func (v *VoterSet) Contains(node string) bool { return slices.Contains(v.Voters, node) }

// conflictsWith reports whether two sets of one epoch name different voters. A set that is not known conflicts with none.
func (v *VoterSet) conflictsWith(other *VoterSet) bool {
	return v.Epoch == other.Epoch && len(v.Voters) > 0 && len(other.Voters) > 0 && !slices.Equal(v.Voters, other.Voters)
}

// previousSet returns the voter set of the previous epoch. It is decided: an epoch is only proposed after the one before.
func (v *VoterSet) previousSet() VoterSet {
	return VoterSet{Epoch: v.Epoch - 1, Voters: v.Previous, Retired: v.Retired}
}

// VoterChange is one change of the voters. With both Add and Remove one voter is exchanged for another in one step. The
// zero VoterChange changes nothing.
type VoterChange struct {
	Add, Remove string
	Retire      bool // the removed voter is not to be added again by the planner
}

// NewVoterChange returns the proposal that applies change to base; nil if there is nothing to change, or if no voter would be
// left.
func NewVoterChange(base VoterSet, change VoterChange) *Change {
	add := change.Add != "" && !base.Contains(change.Add)
	remove := change.Remove != "" && base.Contains(change.Remove)
	next := VoterSet{Epoch: base.Epoch + 1, Previous: base.Voters, Retired: base.Retired}
	for _, voter := range base.Voters {
		if !remove || voter != change.Remove {
			next.Voters = append(next.Voters, voter)
		}
	}
	if add {
		next.Voters = append(next.Voters, change.Add)
		next.Retired = slices.DeleteFunc(slices.Clone(base.Retired), func(node string) bool { return node == change.Add })
	}
	if remove && change.Retire {
		next.Retired = append(lastEntries(next.Retired, maxRetired-1), change.Remove)
	}
	if !add && !remove || len(next.Voters) == 0 {
		return nil
	}
	slices.Sort(next.Voters)
	return &Change{nextVoters: &next}
}

// evaluateVoterChange is the part of evaluate for changes of the voters. newest has the round's epoch.
func (c *Change) evaluateVoterChange(newest *Value) (Verdict, *Value) {
	current := &newest.VoterSet
	if current.Epoch == c.nextVoters.Epoch && slices.Equal(current.Voters, c.nextVoters.Voters) {
		return Committed, newest
	}
	isNext := c.nextVoters.Epoch == current.Epoch+1
	if !isNext || current.Epoch > 0 && !slices.Equal(current.Voters, c.nextVoters.Previous) {
		return Conflict, newest
	}
	next := *newest
	next.VoterSet = *c.nextVoters
	return Committed, &next
}
