package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// VoterSet contains the voters of one epoch. It is part of the register's value, and is changed by proposals like the rest of
// the value, by compare-and-set on its Epoch. A change adds a voter, removes one, or exchanges one for another; it must be
// accepted by majorities of both the old and the new voters (a joint step). An epoch is decided once a value with that epoch
// is committed. A value of epoch 0 does not contain its voters, which are those of the system's first start; they are in
// each replica's record. A VoterSet without Voters is unknown.
//
// docs/design/consensus-proof.md shows why two decided sets can't both choose a value, and why it is safe to add a replica.
type VoterSet struct {
	Epoch    uint64
	Voters   []string // the voters' names, which are sorted except in epoch 0
	Previous []string // the voters of the previous epoch
	Retired  []string // processes that the planner must not add again, oldest first; at most maxRetired
}

// maxRetired is the maximum number of processes in VoterSet.Retired.
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

// conflictsWith reports whether two sets have the same epoch but different voters. An unknown set conflicts with none.
func (v *VoterSet) conflictsWith(other *VoterSet) bool {
	return v.Epoch == other.Epoch && len(v.Voters) > 0 && len(other.Voters) > 0 && !slices.Equal(v.Voters, other.Voters)
}

// previousSet returns the voter set of the previous epoch. That set is decided, as an epoch is only proposed once the
// previous one is decided.
func (v *VoterSet) previousSet() VoterSet {
	return VoterSet{Epoch: v.Epoch - 1, Voters: v.Previous, Retired: v.Retired}
}

// VoterChange is a change of the voters by one step. Add and Remove name processes; with both, one voter is exchanged for
// another. The zero VoterChange changes nothing.
type VoterChange struct {
	Add, Remove string
	Retire      bool // the planner must not add the removed voter again
}

// NewVoterChange returns the Change that applies a voter change to the voter set base. It returns nil if that would change
// nothing or leave no voter.
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

// evaluateVoterChange implements evaluate for a change of the voters. newest must have the epoch of the round's voter set.
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
