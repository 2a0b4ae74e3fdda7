// Package hashring assigns items to owners by consistent hashing. Whether an owner has an item depends only on the item's ID and on
// the owners, so that adding or removing an item reassigns no other item. The package stores no items.
package hashring

import (
	"math"

	"quincegap/internal/structures/rendezvous"
)

// Share is one owner's share of the items. The number of owners of each item is Replicas.
//
// If Group is nil, the owners have consecutive numbers and the items are assigned in as many rounds as there are replicas, rounded
// up. Each round is a ring on which the position of an item is a hash of its ID and the round. The ring is divided into arcs of
// equal length, one for each owner of the round. An arc may begin near the end of one round and continue at the start of the
// next. The rounds are independent, so that two owners of one item have few other items in common. If Owners is not a multiple of
// Replicas, an owner with arcs in two rounds may be assigned the same item by both, and the item then has one owner fewer. With
// many owners this affects few items.
//
// The number of items of an owner is random: if its mean is m, its standard deviation is about the square root of m.
//
// Shares can be compared with ==: equal shares own the same items. A Group is compared by its address.
type Share struct {
	// Owner is the number of this owner, from 0, and Owners is the number of owners. Both are ignored if Group is set.
	Owner, Owners int
	// Replicas is the number of owners of an item, at most Owners. If it is fractional, it is the mean number.
	Replicas float64
	// Widening is a factor by which the share is larger than Replicas requires. Values below 1, such as 0, count as 1.
	Widening float64
	// Group is set if owners are identified by arbitrary numbers, such as hashes, instead of consecutive ones.
	Group *Group
}

// Group assigns items to owners that have arbitrary numbers, such as hashes of their names, by rendezvous hashing: an item goes to
// the owners that rank first for it. When an owner leaves, only its items move, each to one other owner. When an owner joins, only
// the items that it receives move. If owners had consecutive arcs of a ring instead, half of all items would move.
type Group struct{ ranking rendezvous.Ranking }

// NewGroup returns the group from the perspective of the owner self. all has the numbers of all owners in any order, with or without
// self.
func NewGroup(self uint64, all []uint64) *Group { return &Group{rendezvous.New(self, all)} }

// owns reports whether this owner is one of an item's owners. With 2.3 replicas each item has two owners, and 30% of the items
// have a third owner.
func (g *Group) owns(id uint32, replicas float64) bool {
	item := rendezvous.Mix(uint64(id))
	owners := int(replicas)
	if unitFraction(item) < replicas-float64(owners) {
		owners++
	}
	return g.ranking.InFirst(item, owners)
}

// tolerance is an upper bound of the rounding error of the end of an arc. Arcs overlap by it, because an item in a gap between two
// arcs would have no owner.
const tolerance = 1e-9

// Owns reports whether this owner is one of an item's owners.
func (s Share) Owns(id uint32) bool {
	if s.Group != nil {
		return s.Group.owns(id, s.Replicas*max(s.Widening, 1))
	}
	length := s.Replicas / float64(s.Owners)
	start := float64(s.Owner) * length
	if s.Widening > 1 {
		length *= s.Widening
	}
	if length >= 1 {
		return true
	}
	round := math.Floor(start)
	start += tolerance
	if onArc(id, round, start-round, length) {
		return true
	}
	// The part of the arc that exceeds the end of its round is at the start of the next round. The first round follows the last.
	excess := start - round + length - 1
	if excess <= 0 {
		return false
	}
	next := round + 1
	if next >= math.Ceil(s.Replicas) {
		next = 0
	}
	return onArc(id, next, 0, excess)
}

// onArc reports whether an item is on the arc of the given start and length in the ring of a round. The ring is the interval from
// 0 to 1, and a longer arc is cut off at 1.
func onArc(id uint32, round, start, length float64) bool {
	position := unitFraction(rendezvous.Mix(uint64(id) | uint64(round+1)<<32))
	return position >= start-tolerance && position < min(start+length-tolerance, 1)
}

// unitFraction maps a hash to a number in [0, 1).
func unitFraction(hash uint64) float64 {
	const mantissaBits = 53
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}
