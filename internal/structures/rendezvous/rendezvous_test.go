package rendezvous

import (
	"testing"

	"pgregory.net/rapid"
)

// For any item each rank is taken by exactly one member, and the first n members are those with the lowest ranks.
func TestRanksAreAPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 40, rapid.ID[uint64]).Draw(t, "members")
		item, first := rapid.Uint64().Draw(t, "item"), rapid.IntRange(0, 41).Draw(t, "first")
		taken := map[int]bool{}
		for _, member := range members {
			r := New(member, members)
			rank := r.Rank(item)
			if rank < 0 || rank >= len(members) || taken[rank] {
				t.Fatalf("member %d has rank %d of %d, taken %v", member, rank, len(members), taken)
			}
			taken[rank] = true
			if r.InFirst(item, first) != (rank < first) {
				t.Fatalf("rank %d, in the first %d: %v", rank, first, r.InFirst(item, first))
			}
		}
	})
}

// A member that leaves does not change the order of the others.
func TestLeavingMovesNoOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.Uint64(), 3, 40, rapid.ID[uint64]).Draw(t, "members")
		item := rapid.Uint64().Draw(t, "item")
		leaving := New(members[0], members)
		for _, member := range members[1:] {
			before, after := New(member, members), New(member, members[1:])
			want := before.Rank(item)
			if want > leaving.Rank(item) {
				want--
			}
			if got := after.Rank(item); got != want {
				t.Fatalf("member %d has rank %d, should have %d", member, got, want)
			}
		}
	})
}
