// Package rendezvous ranks members for an item by hash (Thaler, Ravishankar: Using Name-Based Mappings to Increase Hit Rates,
// 1998): each item has an order of its own, and when a member comes or goes the others keep theirs.
package rendezvous

import (
	"cmp"
	"slices"
)

// Ranking is one member's knowledge of all members, by numbers that all agree on. Members that agree on these agree on the order
// for each item.
type Ranking struct {
	self        uint64
	others      []uint64
	selfHash    uint64
	otherHashes []uint64 // in the order of others
}

// New makes the Ranking of a member: its own number, and all, itself among them or not, in any order and more than once.
func New(self uint64, all []uint64) Ranking {
	others := slices.Compact(slices.Sorted(slices.Values(all)))
	if i, ok := slices.BinarySearch(others, self); ok {
		others = slices.Delete(others, i, i+1)
	}
	r := Ranking{self: self, selfHash: Mix(self), others: others, otherHashes: make([]uint64, 0, len(others))}
	for _, member := range others {
		r.otherHashes = append(r.otherHashes, Mix(member))
	}
	return r
}

// Len is how many members there are.
func (r *Ranking) Len() int { return 1 + len(r.others) }

// InFirst reports whether this member is one of the first n for an item. Items should be spread over all 64 bits, as Mix does.
func (r *Ranking) InFirst(item uint64, n int) bool { return r.countAhead(item, n) < n }

// Rank is this member's rank for an item, from 0.
func (r *Ranking) Rank(item uint64) int { return r.countAhead(item, r.Len()) }

// countAhead counts the members that come before this one, up to a number.
func (r *Ranking) countAhead(item uint64, limit int) (ahead int) {
	own := Mix(item ^ r.selfHash)
	for i, hash := range r.otherHashes {
		if ahead >= limit {
			break
		}
		// Mix is a bijection: different members never score alike, but for numbers that are alike.
		if cmp.Or(cmp.Compare(Mix(item^hash), own), cmp.Compare(r.others[i], r.self)) > 0 {
			ahead++
		}
	}
	return ahead
}

// Mix spreads a number over 64 bits, each number to another one: the finalizer of SplitMix64 (Steele, Lea, Flood: Fast
// Splittable Pseudorandom Number Generators, 2014).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
