// Package hashring shares items out among numbered owners by the items' ids alone (consistent hashing): whether an owner has an
// item depends on nothing else, so that an item that comes or goes moves no other.
package hashring

import (
	"math"

	"quincegap/internal/structures/rendezvous"
)

// Share is an owner's share of the items: of each item as many owners as Replicas have it, whatever the ids. The items are shared
// out in as many rounds. In each they stand on a circle, by a hash of the id and the round, and the owners of the round have an
// arc each, all equally long; an owner may have the end of one round and the beginning of the next. Because the rounds are
// independent, owners that share one item share few others. Where Owners is no multiple of Replicas, an owner that has parts of
// two rounds may have an item by both, which then has an owner fewer: with many owners these are few items.
//
// An owner's number of items is by chance: with m on average it is off by the square root of m, as a rule.
//
// Shares are comparable: equal ones have the same items.
type Share struct {
	Owner, Owners int     // this one's number, from 0, and how many there are
	Replicas      float64 // owners of an item; at most Owners
	Widening      float64 // times as long an arc as that takes; 0 counts as 1
	Group         *Group  // in place of Owner and Owners; nil for none
}

// Group is owners that are known by numbers of their own, such as hashes of their names. An item goes to the owners whose numbers
// score highest with it (rendezvous hashing: Thaler, Ravishankar 1998), so that of all items only those that one had move when it
// goes, each to one other owner, and only those that one gets move when it comes. With arcs by their place in a row half of all
// would. An owner's number of items is by chance, as with arcs.
type Group struct{ ranking rendezvous.Ranking }

// NewGroup is the group of an owner: its own number, and all, itself among them or not, in any order.
func NewGroup(self uint64, all []uint64) *Group { return &Group{rendezvous.New(self, all)} }

// owns reports whether this owner is one of an item's. Replicas that are no whole number leave each item with the whole ones, and
// a part of the items with one more.
func (g *Group) owns(id uint32, replicas float64) bool {
	item := rendezvous.Mix(uint64(id))
	owners := int(replicas)
	if unit(item) < replicas-float64(owners) {
		owners++
	}
	return g.ranking.InFirst(item, owners)
}

// tolerance is what rounding may move the end of an arc by: it must not open a gap between two.
const tolerance = 1e-9

// Owns reports whether the owner has an item.
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
	// What goes beyond the round's end is the next one's beginning; the last one's next is the first.
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

// onArc reports whether an item lies on an arc of a round's circle, up to the circle's end at 1.
func onArc(id uint32, round, from, length float64) bool {
	at := unit(rendezvous.Mix(uint64(id) | uint64(round+1)<<32))
	return at >= from-tolerance && at < min(from+length-tolerance, 1)
}

// unit spreads hashes over the numbers from 0 to below 1.
func unit(hash uint64) float64 {
	const mantissaBits = 53
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}
