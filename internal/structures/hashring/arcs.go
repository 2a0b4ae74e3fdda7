// Package hashring shares items out among numbered owners by the items' ids alone:
// whether an owner has an item hangs on nothing else, so that an item that comes
// or goes moves no other. It decides nothing.
package hashring

import (
	"math"

	"quincegap/internal/structures/rendezvous"
)

// Share is an owner's: of each item as many owners as Copies have it, whatever the ids. The items are shared out in
// as many rounds. In each they stand on a circle, by a hash of the id and the round, and the owners of the round
// have an arc each, all equally long; an owner may have the end of one round and the beginning of the next.
// Because the rounds are independent, owners that share one item share few others. Where Owners is no multiple of
// Copies, an owner that has parts of two rounds may have an item by both, which then has an owner fewer: with many
// owners these are few items.
//
// An owner's number of items is by chance: with m on average it is off by the square root of m, as a rule.
type Share struct {
	Owner, Owners int     // this one's number, from 0, and how many there are
	Replicas      float64 // owners of an item; at most Owners
	Widening      float64 // times as long an arc as that takes; 0 counts as 1
	Group         *Group  // in place of Owner and Owners; nil for none
}

// Group are owners that are known by numbers of their own, such as hashes of their names. An item goes to the owners whose
// numbers score highest with it (rendezvous hashing: Thaler, Ravishankar 1998), so that of all items only those that one
// had move when it goes, each to one other owner, and only those that one gets move when it comes. With arcs by their
// place in a row half of all would. An owner's number of items is by chance, as with arcs.
type Group struct{ ranking rendezvous.Ranking }

// NewGroup is the group of an owner: its own number, and all, itself among them or not, in any order.
func NewGroup(self uint64, all []uint64) *Group { return &Group{rendezvous.New(self, all)} }

// owns tells whether this owner is one of an item's. Copies that are no whole number leave each item with the whole ones,
// and a part of the items with one more.
func (g *Group) owns(id uint32, copies float64) bool {
	item := rendezvous.Mix(uint64(id))
	whole := int(copies)
	if float64(item>>11)/(1<<53) < copies-float64(whole) {
		whole++
	}
	return g.ranking.InFirst(item, whole)
}

// Owns tells whether the owner has an item.
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
	first := math.Floor(from)
	if from += 1e-9; onArc(id, first, from-first, length) { // rounding must not open a gap
		return true
	}
	// What goes beyond the round's end is the next one's beginning; the last one's next is the first.
	beyond := from - first + length - 1
	if beyond <= 0 {
		return false
	}
	next := first + 1
	if next >= math.Ceil(s.Replicas) {
		next = 0
	}
	return onArc(id, next, 0, beyond)
}

// onArc tells whether an item lies on an arc of a round's circle, up to the circle's end.
func onArc(id uint32, round, from, length float64) bool {
	at := float64(rendezvous.Mix(uint64(id)|uint64(round+1)<<32)>>11) / (1 << 53)
	return at >= from-1e-9 && at < min(from+length-1e-9, 1)
}
