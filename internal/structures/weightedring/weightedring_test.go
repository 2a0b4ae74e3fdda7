package weightedring

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// naive is the reference: a sorted list.
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

// seek is where a sum falls, and what is left of it there.
func (n *naive) seek(sum float64) (at int, left float64) {
	for i, k := range n.keys {
		if sum <= n.weights[k]-1e-9 {
			return i, sum
		}
		sum -= n.weights[k]
	}
	return 0, sum
}

// change makes random changes of a ring and of the reference.
func change(t *rapid.T, r *Ring[uint32], n *naive) {
	// Whole numbers, so that sums are the same in whatever order they are made.
	weight := rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.IntRange(0, 9).Draw(t, "weight")) })
	keys := rapid.Uint32Range(0, 700)
	for range rapid.IntRange(0, 1200).Draw(t, "changes") {
		key := keys.Draw(t, "key")
		if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
			r.Remove(key)
			n.remove(key)
		} else {
			w := weight.Draw(t, "w")
			r.Put(key, w, key)
			n.put(key, w)
		}
	}
	if rapid.Bool().Draw(t, "reweigh") {
		r.Reweigh(func(key uint32) float64 { return 2 * n.weights[key] })
		for _, key := range n.keys {
			n.weights[key] *= 2
		}
	}
}

// Under any changes the ring is as a sorted list is, and its cursor goes round that list.
func TestAsASortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Ring[uint32]
		n := &naive{weights: map[uint32]float64{}}
		change(t, &r, n)
		if got := slices.Collect(r.All()); !slices.Equal(got, n.keys) {
			t.Fatalf("%v, should be %v", got, n.keys)
		}
		if r.Len() != len(n.keys) || r.Total() != n.total() {
			t.Fatalf("%d, sum %v; should be %d, sum %v", r.Len(), r.Total(), len(n.keys), n.total())
		}
		sum := rapid.Float64Range(0, n.total()).Draw(t, "sum")
		c, left := r.Seek(sum, 1e-9)
		at, want := n.seek(sum)
		if math.Abs(left-want) > 1e-6 {
			t.Fatalf("%v left, should be %v", left, want)
		}
		for i := range 2 * len(n.keys) {
			key := n.keys[(at+i)%len(n.keys)]
			if got, weight, ok := c.Next(); !ok || got != key || weight != n.weights[key] {
				t.Fatalf("after %d: %d with %v, should be %d with %v", i, got, weight, key, n.weights[key])
			}
		}
	})
}

// Seek's answer rests on sums that rounding may have made a little different from the running one.
func TestSeekAmidRounding(t *testing.T) {
	var r Ring[int]
	const n = 1000
	for i := range n {
		r.Put(uint32(i), 0.1, i)
	}
	for i := range n {
		c, left := r.Seek(r.Total()*float64(i)/n, r.Total()*1e-9)
		if x, _, _ := c.Next(); x != i || left > 1e-6 {
			t.Fatalf("share %d: item %d, %v left", i, x, left)
		}
	}
}

func TestOddWeightsCountAsNone(t *testing.T) {
	var r Ring[int]
	r.Put(1, math.NaN(), 1)
	r.Put(2, -3, 2)
	r.Put(3, 2, 3)
	if r.Total() != 2 {
		t.Errorf("sum %v", r.Total())
	}
	r.Reweigh(func(int) float64 { return math.NaN() })
	if r.Total() != 0 {
		t.Errorf("sum %v", r.Total())
	}
	var empty Ring[int]
	c, _ := empty.Seek(0, 0)
	if _, _, ok := c.Next(); ok {
		t.Error("an empty ring has an item")
	}
	empty.Remove(4)
}

func BenchmarkPut(b *testing.B) {
	var r Ring[int]
	for i := range 10000 {
		r.Put(uint32(i), 1, i)
	}
	for i := 0; b.Loop(); i++ {
		k := uint32(i*7919) % 10000
		r.Remove(k)
		r.Put(k, 1, int(k))
	}
}
