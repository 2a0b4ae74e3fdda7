package hashring

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// countOwners returns the number of owners that have an item.
func countOwners(id uint32, owners int, replicas float64) (n int) {
	for i := range owners {
		if (Share{Owner: i, Owners: owners, Replicas: replicas}).Owns(id) {
			n++
		}
	}
	return n
}

// Each item has as many owners as there are replicas, for any ID and any number of owners, and one owner fewer for each owner that is
// assigned the item in two rounds.
func TestEachItemHasOneOwnerPerReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(3, 250).Draw(t, "owners")
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		id := rapid.Uint32().Draw(t, "id")
		n := countOwners(id, owners, float64(replicas))
		// An item within the rounding error of the border between two arcs may have the owners of both, which is harmless.
		minOwners := replicas
		if owners%replicas != 0 {
			minOwners = max(1, replicas-2)
		}
		if n < minOwners || n > replicas+1 {
			t.Fatalf("item %d has %d owners with %d replicas, want %d to %d", id, n, replicas, minOwners, replicas+1)
		}
	})
}

// With many owners, at most one item in 500 has fewer owners than replicas.
func TestFewItemsLackAnOwner(t *testing.T) {
	const owners, items = 200, 3000
	fewer := 0
	for id := range uint32(items) {
		if countOwners(id, owners, 3) < 3 {
			fewer++
		}
	}
	if fewer > items/500 {
		t.Errorf("%d of %d items have fewer than 3 owners, want at most %d", fewer, items, items/500)
	}
}

// A wider share has all items of a narrower one, and the number of its items is proportional to the widening.
func TestShareGrowsWithWidening(t *testing.T) {
	share := Share{Owner: 7, Owners: 100, Replicas: 3}
	items := map[float64]int{} // number of owned items by widening
	for id := range uint32(20000) {
		ownedBefore := false
		for _, widening := range []float64{0, 2, 4, 100} {
			share.Widening = widening
			owned := share.Owns(id)
			if ownedBefore && !owned {
				t.Fatalf("item %d is not owned with a widening of %v, but is with a smaller one", id, widening)
			}
			if owned {
				items[widening]++
			}
			ownedBefore = owned
		}
	}
	for widening, want := range map[float64]float64{0: 600, 2: 1200, 4: 2400, 100: 20000} {
		if got := float64(items[widening]); math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("widening %v: share has %v items, want about %v", widening, got, want)
		}
	}
}

// Two owners of one item have few other items in common, so that the load of a failed owner is spread over many others.
func TestSharesOverlapLittle(t *testing.T) {
	const owners, items = 120, 6000
	share := Share{Owner: 5, Owners: owners, Replicas: 3}
	owned, shared := 0, [owners]int{}
	for id := range uint32(items) {
		if !share.Owns(id) {
			continue
		}
		owned++
		for i := range owners {
			if i != share.Owner && (Share{Owner: i, Owners: owners, Replicas: 3}).Owns(id) {
				shared[i]++
			}
		}
	}
	for i, n := range shared {
		if n > owned/5 {
			t.Errorf("%d of the %d items of owner %d are also owned by owner %d, want at most %d", n, owned, share.Owner, i, owned/5)
		}
	}
}

func BenchmarkOwns(b *testing.B) {
	share := Share{Owner: 7, Owners: 200, Replicas: 3}
	for i := 0; b.Loop(); i++ {
		share.Owns(uint32(i))
	}
}

// groupMembers returns the numbers of n members of a group.
func groupMembers(n int) (members []uint64) {
	for i := range n {
		members = append(members, uint64(i)+1000)
	}
	return members
}

// ownersInGroup returns the indexes in members of the owners of an item.
func ownersInGroup(members []uint64, id uint32, replicas, widening float64) (owners []int) {
	for i, member := range members {
		if (Share{Group: NewGroup(member, members), Replicas: replicas, Widening: widening}).Owns(id) {
			owners = append(owners, i)
		}
	}
	return owners
}

// Each item has as many owners as there are replicas, and keeps its owners when another member joins or leaves.
func TestGroupChangeMovesOnlyAffectedItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ownerCount := rapid.IntRange(4, 60).Draw(t, "owners")
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		id := rapid.Uint32().Draw(t, "id")
		removed := rapid.IntRange(0, ownerCount-1).Draw(t, "removed")
		members := groupMembers(ownerCount)
		before := ownersInGroup(members, id, float64(replicas), 1)
		if len(before) != replicas {
			t.Fatalf("item %d has %d owners in the group, want %d", id, len(before), replicas)
		}
		remaining := slices.Delete(slices.Clone(members), removed, removed+1)
		after := ownersInGroup(remaining, id, float64(replicas), 1)
		kept := 0
		for _, i := range after {
			if i >= removed {
				i++ // the index in members, which still has the removed member
			}
			if slices.Contains(before, i) {
				kept++
			}
		}
		want := replicas
		if slices.Contains(before, removed) {
			want--
		}
		if len(after) != replicas || kept != want {
			t.Fatalf("owners %v became %v after member %d was removed: %d owners kept, want %d", before, after, removed, kept, want)
		}
		if widened := ownersInGroup(members, id, float64(replicas), 2); len(widened) != min(2*replicas, ownerCount) {
			t.Fatalf("with a widening of 2: %d owners of %d members, want %d", len(widened), ownerCount, min(2*replicas, ownerCount))
		}
	})
}

// A fractional number of replicas is the mean number of owners.
func TestGroupWithFractionalReplicas(t *testing.T) {
	members, n := groupMembers(20), 0
	for id := range uint32(4000) {
		n += len(ownersInGroup(members, id, 1.5, 0))
	}
	if n < 5800 || n > 6200 {
		t.Errorf("4000 items with 1.5 replicas have %d owners in total, want 5800 to 6200", n)
	}
}
