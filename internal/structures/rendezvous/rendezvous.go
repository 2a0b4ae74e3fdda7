// Package rendezvous orders members for an item by hash (Thaler, Ravishankar: Using Name-Based Mappings to Increase Hit Rates,
// 1998): each item has an order of its own, and when a member comes or goes the others keep theirs. It decides nothing.
package rendezvous

import (
	"cmp"
	"slices"
)

// Ranking is one member, and all others, by numbers that all agree on.
type Ranking struct {
	self        uint64
	others      []uint64
	selfHash    uint64   // its number, mixed,
	otherHashes []uint64 // and theirs
}

// New makes the Row of a member: its own number, and all, itself among them or not, in any order and more than once.
func New(self uint64, all []uint64) Ranking {
	r := Ranking{self: self, selfHash: Mix(self), others: slices.Compact(slices.Sorted(slices.Values(all)))}
	if i, ok := slices.BinarySearch(r.others, self); ok {
		r.others = slices.Delete(r.others, i, i+1)
	}
	for _, m := range r.others {
		r.otherHashes = append(r.otherHashes, Mix(m))
	}
	return r
}

// Len is how many members there are.
func (r *Ranking) Len() int { return 1 + len(r.others) }

// InFirst tells whether this member is one of so many first ones for an item. Items should be mixed: few that differ little.
func (r *Ranking) InFirst(item uint64, first int) bool { return r.countAhead(item, first) < first }

// Rank is this member's place for an item, from 0.
func (r *Ranking) Rank(item uint64) int { return r.countAhead(item, r.Len()) }

// countAhead counts those before this member, up to a number.
func (r *Ranking) countAhead(item uint64, most int) (n int) {
	own := Mix(item ^ r.selfHash)
	for i, m := range r.otherHashes {
		if n >= most {
			break
		}
		// Mix is a bijection: different members never score alike, but for numbers that are alike.
		if cmp.Or(cmp.Compare(Mix(item^m), own), cmp.Compare(r.others[i], r.self)) > 0 {
			n++
		}
	}
	return n
}

// Mix spreads a number over 64 bits, each number to another one: the finalizer of SplitMix64 (Steele, Lea, Flood: Fast
// Splittable Pseudorandom Number Generators, 2014).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
