package weightedring

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// naive is a reference implementation of Ring: a sorted slice of keys, and the weights by key.
type naive struct {
	keys    []uint32
	weights map[uint32]float64
}

func (n *naive) put(key uint32, weight float64) {
	if i, found := slices.BinarySearch(n.keys, key); !found {
		n.keys = slices.Insert(n.keys, i, key)
	}
	n.weights[key] = weight
}

func (n *naive) remove(key uint32) {
	if i, found := slices.BinarySearch(n.keys, key); found {
		n.keys = slices.Delete(n.keys, i, i+1)
		delete(n.weights, key)
	}
}

func (n *naive) total() (sum float64) {
	for _, k := range n.keys {
		sum += n.weights[k]
	}
	return sum
}

// seek returns the index in keys of the item that Seek must find, and the value that Seek must return for left.
func (n *naive) seek(sum float64) (index int, left float64) {
	for i, k := range n.keys {
		if sum <= n.weights[k]-1e-9 {
			return i, sum
		}
		sum -= n.weights[k]
	}
	return 0, sum
}

// applyRandomChanges applies the same random changes to a ring and to the reference implementation.
func applyRandomChanges(t *rapid.T, ring *Ring[uint32], want *naive) {
	// The weights are integers, so that their sum does not depend on the order of the additions.
	weights := rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.IntRange(0, 9).Draw(t, "weight")) })
	keys := rapid.Uint32Range(0, 700)
	for range rapid.IntRange(0, 1200).Draw(t, "changes") {
		key := keys.Draw(t, "key")
		if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
			ring.Remove(key)
			want.remove(key)
		} else {
			weight := weights.Draw(t, "w")
			ring.Put(key, weight, key)
			want.put(key, weight)
		}
	}
	if rapid.Bool().Draw(t, "reweigh") {
		ring.Reweigh(func(key uint32) float64 { return 2 * want.weights[key] })
		for _, key := range want.keys {
			want.weights[key] *= 2
		}
	}
}

// After any changes the ring agrees with a sorted slice, and a cursor iterates over the items in that order.
func TestAgreesWithASortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ring Ring[uint32]
		want := &naive{weights: map[uint32]float64{}}
		applyRandomChanges(t, &ring, want)
		if got := slices.Collect(ring.All()); !slices.Equal(got, want.keys) {
			t.Fatalf("items of the ring: got %v, want %v", got, want.keys)
		}
		if ring.Len() != len(want.keys) || ring.Total() != want.total() {
			t.Fatalf("got %d items with a total weight of %v, want %d with %v", ring.Len(), ring.Total(), len(want.keys), want.total())
		}
		sum := rapid.Float64Range(0, want.total()).Draw(t, "sum")
		cursor, left := ring.Seek(sum, 1e-9)
		index, wantLeft := want.seek(sum)
		if math.Abs(left-wantLeft) > 1e-6 {
			t.Fatalf("Seek(%v) returned left = %v, want %v", sum, left, wantLeft)
		}
		for i := range 2 * len(want.keys) {
			key := want.keys[(index+i)%len(want.keys)]
			if got, weight, ok := cursor.Next(); !ok || got != key || weight != want.weights[key] {
				t.Fatalf("item %d after Seek: got item %d with weight %v, want %d with %v", i, got, weight, key, want.weights[key])
			}
		}
	})
}

// Seek finds the right item although rounding makes the sums of the blocks differ from the running sum.
func TestSeekWithRoundingErrors(t *testing.T) {
	var ring Ring[int]
	const items = 1000
	for i := range items {
		ring.Put(uint32(i), 0.1, i)
	}
	for i := range items {
		cursor, left := ring.Seek(ring.Total()*float64(i)/items, ring.Total()*1e-9)
		if got, _, _ := cursor.Next(); got != i || left > 1e-6 {
			t.Fatalf("Seek of %d thousandths of the total: got item %d with left = %v, want item %d with left near 0", i, got, left, i)
		}
	}
}

func TestInvalidWeightsCountAsZero(t *testing.T) {
	var ring Ring[int]
	ring.Put(1, math.NaN(), 1)
	ring.Put(2, -3, 2)
	ring.Put(3, 2, 3)
	if ring.Total() != 2 {
		t.Errorf("total of the weights NaN, -3 and 2: got %v, want 2", ring.Total())
	}
	ring.Reweigh(func(int) float64 { return math.NaN() })
	if ring.Total() != 0 {
		t.Errorf("total after Reweigh to NaN: got %v, want 0", ring.Total())
	}
	var empty Ring[int]
	cursor, _ := empty.Seek(0, 0)
	if _, _, ok := cursor.Next(); ok {
		t.Error("Next of a cursor on an empty ring returned an item")
	}
	empty.Remove(4)
}

func BenchmarkPut(b *testing.B) {
	var ring Ring[int]
	for i := range 10000 {
		ring.Put(uint32(i), 1, i)
	}
	for i := 0; b.Loop(); i++ {
		key := uint32(i*7919) % 10000
		ring.Remove(key)
		ring.Put(key, 1, int(key))
	}
}
