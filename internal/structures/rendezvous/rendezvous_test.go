package rendezvous

import (
	"testing"

	"pgregory.net/rapid"
)

// For any item, exactly one member has each rank, and the first n members are those with the lowest ranks.
func TestRanksAreAPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 40, rapid.ID[uint64]).Draw(t, "members")
		item, first := rapid.Uint64().Draw(t, "item"), rapid.IntRange(0, 41).Draw(t, "first")
		taken := map[int]bool{}
		for _, member := range members {
			ranking := New(member, members)
			rank := ranking.Rank(item)
			if rank < 0 || rank >= len(members) || taken[rank] {
				t.Fatalf("member %d has rank %d of %d, want a rank in range that no other member has (their ranks: %v)",
					member, rank, len(members), taken)
			}
			taken[rank] = true
			if ranking.InFirst(item, first) != (rank < first) {
				t.Fatalf("member of rank %d: InFirst with n = %d is %v, want %v", rank, first, ranking.InFirst(item, first), rank < first)
			}
		}
	})
}

// When a member leaves, the order of the other members stays the same.
func TestLeavingKeepsTheOrderOfOthers(t *testing.T) {
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
				t.Fatalf("member %d has rank %d after another member left, want %d", member, got, want)
			}
		}
	})
}
