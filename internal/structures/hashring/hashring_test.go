package hashring

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Each item has just as many owners as it should, whatever the ids and however many owners there are; one fewer for each
// owner that has it by two rounds.
func TestEachHasItsOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(3, 250).Draw(t, "owners")
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		id := rapid.Uint32().Draw(t, "id")
		n := 0
		for i := range owners {
			if (Share{Owner: i, Owners: owners, Replicas: float64(replicas)}).Owns(id) {
				n++
			}
		}
		// Where an item lies within rounding of the border of two arcs both may have it, which is no harm.
		least := replicas
		if owners%replicas != 0 {
			least = max(1, replicas-2)
		}
		if n < least || n > replicas+1 {
			t.Fatalf("%d owners, should be %d", n, replicas)
		}
	})
}

// With many owners hardly any item has fewer than it should.
func TestFewHaveFewer(t *testing.T) {
	const owners, items = 200, 3000
	fewer := 0
	for id := range uint32(items) {
		n := 0
		for i := range owners {
			if (Share{Owner: i, Owners: owners, Replicas: 3}).Owns(id) {
				n++
			}
		}
		if n < 3 {
			fewer++
		}
	}
	if fewer > items/500 {
		t.Errorf("%d of %d", fewer, items)
	}
}

// A wider share holds all that the narrower one does, and about as many times as much.
func TestWiderHoldsMore(t *testing.T) {
	s := Share{Owner: 7, Owners: 100, Replicas: 3}
	count := map[float64]int{}
	for id := range uint32(20000) {
		had := false
		for _, wide := range []float64{0, 2, 4, 100} {
			s.Widening = wide
			has := s.Owns(id)
			if had && !has {
				t.Fatalf("%d is lost by a width of %v", id, wide)
			}
			if has {
				count[wide]++
			}
			had = has
		}
	}
	for wide, want := range map[float64]float64{0: 600, 2: 1200, 4: 2400, 100: 20000} {
		if got := float64(count[wide]); math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("width %v: %v items, should be about %v", wide, got, want)
		}
	}
}

// Owners that share one item share few others: the load of one that fails does not fall to the same few.
func TestSharesOverlapLittle(t *testing.T) {
	const owners, items = 120, 6000
	a := Share{Owner: 5, Owners: owners, Replicas: 3}
	mine, shared := 0, [owners]int{}
	for id := range uint32(items) {
		if !a.Owns(id) {
			continue
		}
		mine++
		for i := range owners {
			if i != a.Owner && (Share{Owner: i, Owners: owners, Replicas: 3}).Owns(id) {
				shared[i]++
			}
		}
	}
	for i, n := range shared {
		if n > mine/5 {
			t.Errorf("%d of %d items are %d's too", n, mine, i)
		}
	}
}

func BenchmarkOwns(b *testing.B) {
	s := Share{Owner: 7, Owners: 200, Replicas: 3}
	for i := 0; b.Loop(); i++ {
		s.Owns(uint32(i))
	}
}

// group is the numbers of n owners.
func group(n int) (all []uint64) {
	for i := range n {
		all = append(all, uint64(i)+1000)
	}
	return all
}

// owners are the places of an item's owners.
func owners(all []uint64, id uint32, replicas, widening float64) (of []int) {
	for i, m := range all {
		if (Share{Group: NewGroup(m, all), Replicas: replicas, Widening: widening}).Owns(id) {
			of = append(of, i)
		}
	}
	return of
}

// Each item has just as many owners as it should, and keeps them when another owner comes or goes.
func TestGroupMovesOnlyWhatItHasTo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 60).Draw(t, "owners")
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		id := rapid.Uint32().Draw(t, "id")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		all := group(n)
		before := owners(all, id, float64(replicas), 1)
		if len(before) != replicas {
			t.Fatalf("%d owners, should be %d", len(before), replicas)
		}
		left := slices.Delete(slices.Clone(all), gone, gone+1)
		after := owners(left, id, float64(replicas), 1)
		kept := 0
		for _, i := range after {
			if i >= gone {
				i++ // its place among all
			}
			if slices.Contains(before, i) {
				kept++
			}
		}
		want := replicas
		if slices.Contains(before, gone) {
			want--
		}
		if len(after) != replicas || kept != want {
			t.Fatalf("%v became %v without %d: %d kept, should be %d", before, after, gone, kept, want)
		}
		if wide := owners(all, id, float64(replicas), 2); len(wide) != min(2*replicas, n) {
			t.Fatalf("twice as wide: %d owners of %d", len(wide), n)
		}
	})
}

// Replicas that are no whole number are so on average.
func TestGroupWithPartsOfReplicas(t *testing.T) {
	all, n := group(20), 0
	for id := range uint32(4000) {
		n += len(owners(all, id, 1.5, 0))
	}
	if n < 5800 || n > 6200 {
		t.Errorf("%d owners of 4000 items, 6000 expected", n)
	}
}
