// Package rendezvous orders members for an item by hash (Thaler, Ravishankar: Using Name-Based Mappings to Increase Hit Rates,
// 1998): each item has an order of its own, and when a member comes or goes the others keep theirs. It decides nothing.
package rendezvous

import (
	"cmp"
	"slices"
)

// Row is one member, and all others, by numbers that all agree on.
type Row struct {
	self   uint64
	others []uint64
	own    uint64   // its number, mixed,
	mixed  []uint64 // and theirs
}

// New makes the Row of a member: its own number, and all, itself among them or not, in any order and more than once.
func New(self uint64, all []uint64) Row {
	r := Row{self: self, own: Mix(self), others: slices.Compact(slices.Sorted(slices.Values(all)))}
	if i, ok := slices.BinarySearch(r.others, self); ok {
		r.others = slices.Delete(r.others, i, i+1)
	}
	for _, m := range r.others {
		r.mixed = append(r.mixed, Mix(m))
	}
	return r
}

// Len is how many members there are.
func (r *Row) Len() int { return 1 + len(r.others) }

// Among tells whether this member is one of so many first ones for an item. Items should be mixed: few that differ little.
func (r *Row) Among(item uint64, first int) bool { return r.before(item, first) < first }

// Place is this member's place for an item, from 0.
func (r *Row) Place(item uint64) int { return r.before(item, r.Len()) }

// before counts those before this member, up to a number.
func (r *Row) before(item uint64, most int) (n int) {
	own := Mix(item ^ r.own)
	for i, m := range r.mixed {
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
