package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// Membership is the list of voters. It is a part of the register's value and changes as the value does, by compare-and-set on
// its Epoch. A change adds a voter, removes one, or exchanges one for another; it is accepted by majorities of the old and of the
// new list (a joint step). An epoch is decided once a value that has it was chosen. A value whose epoch is 0 does not hold the
// list: it is that of the system's first start and stands in each replica's record.
//
// docs/consensus-proof.md shows why two decided lists can't both choose a value, and why a replica may join.
type Membership struct {
	Epoch    uint64
	Voters   []string
	Previous []string // the voters of the epoch before
	Retired  []string // processes that the planner must not add again
}

// Fields implements codec.Message.
func (e *Membership) Fields(v *codec.Visitor) {
	v.Uint(1, &e.Epoch)
	v.Texts(2, &e.Voters)
	v.Texts(3, &e.Previous)
	v.Texts(4, &e.Retired)
}

// Has tells whether a node votes.
func (e *Membership) Has(node string) bool { return slices.Contains(e.Voters, node) }

// contradicts tells whether two lists of one epoch name different voters; a list without voters says nothing.
func (e *Membership) contradicts(other *Membership) bool {
	return e.Epoch == other.Epoch && len(e.Voters) > 0 && len(other.Voters) > 0 && !slices.Equal(e.Voters, other.Voters)
}

// previous is the list of the epoch before, which is decided.
func (e *Membership) previous() Membership {
	return Membership{Epoch: e.Epoch - 1, Voters: e.Previous, Retired: e.Retired}
}

// MembershipChange is one change of the voters. With both Add and Remove one voter is exchanged for another in one step.
type MembershipChange struct {
	Add, Remove string
	Retire      bool // the removed one is not to be added again by the planner
}

// retiredMax is how many names are remembered.
const retiredMax = 64

// NewMembershipChange makes a change of a list; nil if there is nothing to change, or if nobody would be left.
func NewMembershipChange(base Membership, m MembershipChange) *Change {
	add := m.Add != "" && !base.Has(m.Add)
	remove := m.Remove != "" && base.Has(m.Remove)
	next := Membership{Epoch: base.Epoch + 1, Previous: base.Voters, Retired: base.Retired}
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
		next.Retired = append(lastN(next.Retired, retiredMax-1), m.Remove)
	}
	if !add && !remove || len(next.Voters) == 0 {
		return nil
	}
	slices.Sort(next.Voters)
	return &Change{next: &next}
}

// judgeMembership decides on a change of the list when w is the newest value; its epoch is that of the round.
func (c *Change) judgeMembership(w *Value) (Verdict, *Value) {
	e := &w.Membership
	if c.next.Epoch != e.Epoch+1 || e.Epoch > 0 && !slices.Equal(e.Voters, c.next.Previous) {
		if w.Membership.Epoch == c.next.Epoch && slices.Equal(w.Membership.Voters, c.next.Voters) {
			return Applied, w
		}
		return Conflict, w
	}
	next := *w
	next.Membership = *c.next
	return Applied, &next
}
