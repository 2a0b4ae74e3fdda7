// Package rendezvous ranks the members of a group for an item by rendezvous hashing (Thaler, Ravishankar: Using Name-Based Mappings
// to Increase Hit Rates, 1998). The order of the members depends on the item. When a member joins or leaves, the order of the other
// members stays the same.
package rendezvous

import (
	"cmp"
	"slices"
)

// Ranking computes the rank of one member, self, among all members of a group. Members are identified by numbers. Members that use
// the same numbers compute the same order for each item without communication.
type Ranking struct {
	self        uint64
	others      []uint64 // the numbers of the other members, sorted and without duplicates
	selfHash    uint64
	otherHashes []uint64 // the hashes of others, by the same index
}

// New returns the Ranking of the member self. all has the numbers of all members in any order, with or without self. Duplicates
// count once.
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

// Len returns the number of members, including self.
func (r *Ranking) Len() int { return 1 + len(r.others) }

// InFirst reports whether this member is one of the first n members for an item. The item is a hash that should use all 64 bits,
// such as a result of Mix.
func (r *Ranking) InFirst(item uint64, n int) bool { return r.countAhead(item, n) < n }

// Rank returns the rank of this member for an item, from 0 to Len()-1. The item is a hash as in InFirst.
func (r *Ranking) Rank(item uint64) int { return r.countAhead(item, r.Len()) }

// countAhead returns the number of members that are ranked before this one for an item, or limit if there are more.
func (r *Ranking) countAhead(item uint64, limit int) (ahead int) {
	own := Mix(item ^ r.selfHash)
	for i, hash := range r.otherHashes {
		if ahead >= limit {
			break
		}
		// Mix is a bijection, so that scores are equal only if the hashes are. The numbers of the members are then compared.
		if cmp.Or(cmp.Compare(Mix(item^hash), own), cmp.Compare(r.others[i], r.self)) > 0 {
			ahead++
		}
	}
	return ahead
}

// Mix hashes a number to 64 bits, without collisions. It is the finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable
// Pseudorandom Number Generators, 2014).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
