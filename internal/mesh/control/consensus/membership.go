package consensus

import (
	"slices"

	"gingerlead/internal/mesh/transport/codec"
)

// Membership is the list of voters. It is a part of the register's word, and changes as the word does, by compare-and-set on
// its Epoch; one voter is added or removed at a time. An epoch is decided once a word that has it was chosen; its list is L(k).
// A word whose epoch is 0 doesn't hold the list, which is that of the system's first start and stands in each voter's record.
//
// # What a majority is
//
// A round under epoch k is one whose proposer knows that k is decided, and knows L(k). It needs promises of a majority of
// L(k). Let w be the newest vote among them, of epoch t.
//
//   - t = k: it may propose a word of epoch k, chosen once a majority of L(k) accepted it, or one of epoch k+1, chosen once
//     majorities of L(k) and of the new list did.
//   - t = k+1: the change may have been chosen or not. It asks for the promises of a majority of w's list too, and if w is
//     still the newest vote of all, proposes w as it is; it is chosen by majorities of both lists. Then it starts again
//     under k+1.
//   - t > k+1: somebody knew t-1 as decided. It starts again under t-1, whose list w holds as Former.
//
// # Why one word is made from the other
//
// Claim: if v, of epoch t, was chosen by round (b, j), then what any round (b', j') with b' > b proposes is made from v. By
// induction over b', then b. D(k) is the first choice of epoch k, by ballot d(k) and under k-1.
//
// A: a round (b, j) that has its promises has b > d(j): it began when D(j) was chosen, a majority of L(j) accepted that, and
// one of them promised b later.
//
//   - j' > t: d(j') < b would have v made from D(j'), whose epoch is above t. So d(j') > b, and D(j') is made from v, and is met
//     by the promises for b' in L(j'): what they tell as the newest has a ballot from d(j') up to b' and is made from D(j').
//   - j' = t: the promises for b' and those who accepted v are majorities of L(t); the newest vote told is from b up.
//   - j' = t-1: if v was chosen under t-1, a majority of L(t-1) accepted it, as before. If under t, then d(t) < b by A, the
//     promises meet D(t) in L(t-1), so the newest vote is made from D(t) and its epoch is t or above. Above, nothing is
//     proposed; at t, its list is L(t), a majority of which promised b' too, and meets those who accepted v.
//   - j' < t-1: d(t-1) < b by A, and by the claim what is proposed is made from D(t-1). So it is of epoch t-1 = j'+1, and a
//     majority of L(t-1) promised b'. That meets the majority of L(t-1) that accepted D(t), or v: the newest vote is of
//     epoch t at least, and nothing is proposed.
//
// So there is one list for each epoch, and a proposer with a list of any age can do no harm: the old members that accepted a
// change tell it of the newer list, or it has no majority. A voter that was removed, too: its own list's majority has members
// that know of the change. A voter also refuses rounds under an epoch below one that it knows as decided, and tells that.
//
// # Single steps or joint lists
//
// Majorities of lists that differ by one voter meet anyway, so a majority of the old list alone could choose a change. It
// isn't done: a round under k that is late could then bring forth a word with promises of L(k) only, while L(k+1) has gone
// on, and a voter that lost its disk would have to read from majorities of lists that are gone, which a second lost disk
// makes impossible (four voters while growing to five, two lost: three of the remaining two). With both majorities, who
// recovers need only ask L(k). The proof above holds for lists of any kind; single steps are kept as they cost no more, and
// leases that voters grant rest on them (package lease).
//
// # Who joins
//
// A voter must remember what it promised. A process that is no voter becomes fit for it by a round with a ballot of its own,
// begun after its start and ended under an epoch k whose list it's not in: it writes the word as learned, with k as decided,
// and only then may be added. If it was a voter before and lost its disk, what it forgot are rounds below k, which it refuses
// from then on, and that for the change to k+1 itself, of which a majority of L(k), without it, knows as well; the lists
// differing by this one voter, it is met by every majority of L(k+1) without it.
type Membership struct {
	Epoch    uint64
	Voters   []string
	Previous []string // of the epoch before
	Retired  []string // who isn't to be added again
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

// before is the list of the epoch before, which is decided.
func (e *Membership) previous() Membership {
	return Membership{Epoch: e.Epoch - 1, Voters: e.Previous, Retired: e.Retired}
}

// Move is one change of the list.
type MembershipChange struct {
	Add, Remove string // one of them
	Retire      bool   // who is removed isn't to be added again
}

// retiredMax is how many names are remembered.
const retiredMax = 64

// NewMove makes a change of an membership; nil if there is nothing to change.
func NewMembershipChange(base Membership, m MembershipChange) *Change {
	next := Membership{Epoch: base.Epoch + 1, Previous: base.Voters, Voters: slices.Clone(base.Voters), Retired: base.Retired}
	switch {
	case m.Add != "" && !base.Has(m.Add):
		next.Voters = append(next.Voters, m.Add)
		next.Retired = slices.DeleteFunc(slices.Clone(base.Retired), func(s string) bool { return s == m.Add })
	case m.Remove != "" && base.Has(m.Remove) && len(base.Voters) > 1:
		next.Voters = slices.DeleteFunc(next.Voters, func(s string) bool { return s == m.Remove })
		if m.Retire {
			next.Retired = append(lastN(base.Retired, retiredMax-1), m.Remove)
		}
	default:
		return nil
	}
	slices.Sort(next.Voters)
	return &Change{next: &next}
}

// move decides on a change of the list when w is the newest word; its epoch is that of the round.
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
