// Package hashring assigns items to owners by consistent hashing. Whether an owner has an item depends on the item's ID and on the
// owners, not on the other items: adding or removing an item reassigns no other one. It holds no items itself.
package hashring

import (
	"math"

	"quincegap/internal/structures/rendezvous"
)

// Share is one owner's share of the items. Each item has as many owners as Replicas says.
//
// With numbered owners (Group is nil) there are as many rounds as Replicas. A round is a ring on which the items lie by a hash of
// their ID and the round, and which is divided into arcs of equal length, one for each owner of the round. An owner may have the
// end of one round and the start of the next. As the rounds are independent, two owners of one item have few others in common.
// If Owners is no multiple of Replicas, an owner with arcs in two rounds may get an item by both, and the item then has one owner
// fewer. With many owners this concerns few items.
//
// The number of items of an owner is random: with a mean of m, its standard deviation is about the square root of m.
//
// Shares can be compared with ==: equal shares own the same items.
type Share struct {
	// Owner is the number of this owner, from 0, and Owners how many there are. Group replaces both.
	Owner, Owners int
	// Replicas is the number of owners of an item, at most Owners. It need not be a whole number.
	Replicas float64
	// Widening is the factor by which the share exceeds what Replicas requires. Values below 1, such as 0, count as 1.
	Widening float64
	// Group is set if owners are known by hashes instead of consecutive numbers.
	Group *Group
}

// Group assigns items to owners that have arbitrary numbers, such as hashes of their names, by rendezvous hashing: an item goes to
// the owners that rank first for it. When an owner leaves, only its items move, each to one other owner. When one joins, only the
// items that it receives move. With arcs in the order of the owners, half of all items would move.
type Group struct{ ranking rendezvous.Ranking }

// NewGroup returns the group as the owner self sees it. all are the numbers of all owners in any order, with or without self.
func NewGroup(self uint64, all []uint64) *Group { return &Group{rendezvous.New(self, all)} }

// owns reports whether this owner is one of an item's owners. With 2.3 replicas each item has two owners, and 30% of the items
// have a third one.
func (g *Group) owns(id uint32, replicas float64) bool {
	item := rendezvous.Mix(uint64(id))
	owners := int(replicas)
	if unit(item) < replicas-float64(owners) {
		owners++
	}
	return g.ranking.InFirst(item, owners)
}

// tolerance bounds the rounding error of the end of an arc. Arcs overlap by it, as a gap would leave items without an owner.
const tolerance = 1e-9

// Owns reports whether this owner is one of an item's owners.
func (s Share) Owns(id uint32) bool {
	if s.Group != nil {
		return s.Group.owns(id, s.Replicas*max(s.Widening, 1))
	}
	length := s.Replicas / float64(s.Owners)
	from := float64(s.Owner) * length
	if s.Widening > 1 {
		length *= s.Widening
	}
	if length >= 1 {
		return true
	}
	round := math.Floor(from)
	from += tolerance
	if onArc(id, round, from-round, length) {
		return true
	}
	// The part of the arc beyond the end of the round lies at the start of the next one. The first round follows the last.
	beyond := from - round + length - 1
	if beyond <= 0 {
		return false
	}
	next := round + 1
	if next >= math.Ceil(s.Replicas) {
		next = 0
	}
	return onArc(id, next, 0, beyond)
}

// onArc reports whether an item lies on an arc of the ring of a round. The ring is the interval from 0 to 1; the arc ends at 1 at
// the latest.
func onArc(id uint32, round, from, length float64) bool {
	position := unit(rendezvous.Mix(uint64(id) | uint64(round+1)<<32))
	return position >= from-tolerance && position < min(from+length-tolerance, 1)
}

// unit maps a hash to a number in [0, 1).
func unit(hash uint64) float64 {
	const mantissaBits = 53
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}
