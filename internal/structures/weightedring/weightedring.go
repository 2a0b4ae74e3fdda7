// Package weightedring keeps items in the order of their keys, each with a weight, and finds which of them a running sum of the
// weights falls on. The items are a ring: after the last comes the first.
package weightedring

import (
	"cmp"
	"iter"
	"slices"
	"sort"
)

// maxBlockItems is how many items a block holds before it is split in two. After a change one block is summed anew, and then all
// blocks' sums: with 10,000 items about as much of the one as of the other.
const maxBlockItems = 128

// Ring holds items by key. A change takes time that grows with the square root of their number, and so does finding a place in
// the sum; going on from there costs the same for each item. The zero value is empty and ready for use. It is not safe for
// concurrent use.
//
// Sums are always computed anew from the weights below them, never moved by differences, so that no error of rounding builds up;
// and only when one is asked for, so that many changes at once cost one sum.
type Ring[T any] struct {
	blocks []*block[T] // none is empty
	count  int
	total  float64
	stale  bool // the total is, and some blocks' sums may be
}

type block[T any] struct {
	items []item[T]
	sum   float64
	stale bool
}

type item[T any] struct {
	key    uint32
	weight float64
	value  T
}

// Len is how many items there are.
func (r *Ring[T]) Len() int { return r.count }

// Total is the sum of all weights.
func (r *Ring[T]) Total() float64 {
	if !r.stale {
		return r.total
	}
	r.stale, r.total = false, 0
	for _, b := range r.blocks {
		if b.stale {
			b.sumItems()
		}
		r.total += b.sum
	}
	return r.total
}

// find returns the index of the block that has a key or would have it, and the index in it. There must be a block.
func (r *Ring[T]) find(key uint32) (blockIndex, i int, found bool) {
	blockIndex = sort.Search(len(r.blocks), func(i int) bool {
		items := r.blocks[i].items
		return items[len(items)-1].key >= key
	})
	if blockIndex == len(r.blocks) {
		blockIndex--
		return blockIndex, len(r.blocks[blockIndex].items), false
	}
	i, found = slices.BinarySearchFunc(r.blocks[blockIndex].items, key, func(x item[T], key uint32) int {
		return cmp.Compare(x.key, key)
	})
	return blockIndex, i, found
}

// Put takes an item in, or changes the one that has its key. Weights below 0, and those that are no number, count as 0.
func (r *Ring[T]) Put(key uint32, weight float64, value T) {
	weight = orZero(weight)
	if len(r.blocks) == 0 {
		first := &block[T]{items: []item[T]{{key, weight, value}}, stale: true}
		r.blocks = append(r.blocks, first)
		r.count, r.stale = 1, true
		return
	}
	at, i, found := r.find(key)
	b := r.blocks[at]
	if found {
		was := b.items[i].weight
		b.items[i].weight, b.items[i].value = weight, value
		if was != weight {
			b.stale, r.stale = true, true
		}
		return
	}
	b.items = slices.Insert(b.items, i, item[T]{key, weight, value})
	r.count++
	if len(b.items) > maxBlockItems {
		r.blocks = slices.Insert(r.blocks, at+1, b.split())
	}
	b.stale, r.stale = true, true
}

// orZero is a weight; 0 where it is below that, or no number.
func orZero(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 0
}

// split takes the second half of a block's items from it, into a block of their own.
func (b *block[T]) split() *block[T] {
	half := len(b.items) / 2
	right := &block[T]{items: slices.Clone(b.items[half:]), stale: true}
	clear(b.items[half:]) // let the values be collected
	b.items = b.items[:half]
	return right
}

// Remove takes an item out, if it is here.
func (r *Ring[T]) Remove(key uint32) {
	if len(r.blocks) == 0 {
		return
	}
	at, i, found := r.find(key)
	if !found {
		return
	}
	b := r.blocks[at]
	b.items = slices.Delete(b.items, i, i+1)
	r.count--
	if len(b.items) == 0 {
		r.blocks = slices.Delete(r.blocks, at, at+1)
	}
	b.stale, r.stale = true, true
}

// Reweigh sets the weight of each item.
func (r *Ring[T]) Reweigh(weight func(T) float64) {
	for _, b := range r.blocks {
		for i := range b.items {
			b.items[i].weight = orZero(weight(b.items[i].value))
		}
		b.stale = true
	}
	r.stale = true
}

func (b *block[T]) sumItems() {
	b.stale, b.sum = false, 0
	for i := range b.items {
		b.sum += b.items[i].weight
	}
}

// All gives the items in the order of their keys.
func (r *Ring[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, b := range r.blocks {
			for i := range b.items {
				if !yield(b.items[i].value) {
					return
				}
			}
		}
	}
}

// Append appends the items, in the order of their keys, to a list.
func (r *Ring[T]) Append(to []T) []T {
	for _, b := range r.blocks {
		for i := range b.items {
			to = append(to, b.items[i].value)
		}
	}
	return to
}

// Cursor goes round a ring. It is void once items of the ring come or go.
type Cursor[T any] struct {
	ring     *Ring[T]
	block, i int
}

// Seek returns a cursor at the first item that a sum of weights, counted from the first key, does not pass by more than a
// tolerance, and what is left of the sum there. Beyond the total it stands at the first item, with the rest.
func (r *Ring[T]) Seek(sum, tolerance float64) (c Cursor[T], left float64) {
	r.Total() // brings the sums up to date
	for at, b := range r.blocks {
		// A block's sum may differ, by its rounding, from what the loop below makes of it: then that loop runs
		// over its end, and on into the next block.
		if sum > b.sum-tolerance && at < len(r.blocks)-1 {
			sum -= b.sum
			continue
		}
		for i := range b.items {
			if sum <= b.items[i].weight-tolerance {
				return Cursor[T]{r, at, i}, sum
			}
			sum -= b.items[i].weight
		}
	}
	return Cursor[T]{ring: r}, sum
}

// Next returns the item that the cursor stands at, with its weight, and moves on to the next one; after the last comes the first.
// An empty ring has none.
func (c *Cursor[T]) Next() (value T, weight float64, ok bool) {
	if c.ring == nil || c.ring.count == 0 {
		return value, 0, false
	}
	items := c.ring.blocks[c.block].items
	at := &items[c.i]
	c.i++
	if c.i == len(items) {
		c.i = 0
		c.block = (c.block + 1) % len(c.ring.blocks)
	}
	return at.value, at.weight, true
}
