package weightedring

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// naive is the reference implementation: a sorted slice of keys.
type naive struct {
	keys    []uint32
	weights map[uint32]float64
}

func (n *naive) put(key uint32, w float64) {
	if i, found := slices.BinarySearch(n.keys, key); !found {
		n.keys = slices.Insert(n.keys, i, key)
	}
	n.weights[key] = w
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

// seek returns the index of the key that Seek has to find, and what is left of the sum there.
func (n *naive) seek(sum float64) (index int, left float64) {
	for i, k := range n.keys {
		if sum <= n.weights[k]-1e-9 {
			return i, sum
		}
		sum -= n.weights[k]
	}
	return 0, sum
}

// change applies random changes to a ring and to the reference.
func change(t *rapid.T, ring *Ring[uint32], want *naive) {
	// The weights are integers, so that their sum does not depend on the order of the additions.
	weight := rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.IntRange(0, 9).Draw(t, "weight")) })
	keys := rapid.Uint32Range(0, 700)
	for range rapid.IntRange(0, 1200).Draw(t, "changes") {
		key := keys.Draw(t, "key")
		if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
			ring.Remove(key)
			want.remove(key)
		} else {
			w := weight.Draw(t, "w")
			ring.Put(key, w, key)
			want.put(key, w)
		}
	}
	if rapid.Bool().Draw(t, "reweigh") {
		ring.Reweigh(func(key uint32) float64 { return 2 * want.weights[key] })
		for _, key := range want.keys {
			want.weights[key] *= 2
		}
	}
}

// After any changes the ring agrees with a sorted slice, and a cursor iterates over it in that order.
func TestAsASortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ring Ring[uint32]
		want := &naive{weights: map[uint32]float64{}}
		change(t, &ring, want)
		if got := slices.Collect(ring.All()); !slices.Equal(got, want.keys) {
			t.Fatalf("%v, want %v", got, want.keys)
		}
		if ring.Len() != len(want.keys) || ring.Total() != want.total() {
			t.Fatalf("%d, sum %v; want %d, sum %v", ring.Len(), ring.Total(), len(want.keys), want.total())
		}
		sum := rapid.Float64Range(0, want.total()).Draw(t, "sum")
		cursor, left := ring.Seek(sum, 1e-9)
		index, wantLeft := want.seek(sum)
		if math.Abs(left-wantLeft) > 1e-6 {
			t.Fatalf("%v left, want %v", left, wantLeft)
		}
		for i := range 2 * len(want.keys) {
			key := want.keys[(index+i)%len(want.keys)]
			if got, weight, ok := cursor.Next(); !ok || got != key || weight != want.weights[key] {
				t.Fatalf("after %d: %d with %v, want %d with %v", i, got, weight, key, want.weights[key])
			}
		}
	})
}

// Seek finds the right item although the sums of the blocks are rounded differently from the running sum.
func TestSeekAmidRounding(t *testing.T) {
	var ring Ring[int]
	const items = 1000
	for i := range items {
		ring.Put(uint32(i), 0.1, i)
	}
	for i := range items {
		cursor, left := ring.Seek(ring.Total()*float64(i)/items, ring.Total()*1e-9)
		if got, _, _ := cursor.Next(); got != i || left > 1e-6 {
			t.Fatalf("share %d: item %d, %v left", i, got, left)
		}
	}
}

func TestOddWeightsCountAsNone(t *testing.T) {
	var ring Ring[int]
	ring.Put(1, math.NaN(), 1)
	ring.Put(2, -3, 2)
	ring.Put(3, 2, 3)
	if ring.Total() != 2 {
		t.Errorf("sum %v", ring.Total())
	}
	ring.Reweigh(func(int) float64 { return math.NaN() })
	if ring.Total() != 0 {
		t.Errorf("sum %v", ring.Total())
	}
	var empty Ring[int]
	cursor, _ := empty.Seek(0, 0)
	if _, _, ok := cursor.Next(); ok {
		t.Error("an empty ring has an item")
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
