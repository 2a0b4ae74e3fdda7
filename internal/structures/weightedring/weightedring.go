// Package weightedring stores weighted items in the order of their keys, and finds the item at which the running sum of the weights
// reaches a given value. The items form a ring: the first item follows the last.
package weightedring

import (
	"cmp"
	"iter"
	"slices"
	"sort"
)

// maxBlockItems is the number of items above which a block is split in two. After a change, the items of one block are summed and then
// the sums of all blocks. With 10,000 items both steps take about the same time.
const maxBlockItems = 128

// Ring stores items by key. A change and a Seek take time in the order of the square root of the number of items, and each Next
// takes constant time. The zero value is empty and ready for use. It is not safe for concurrent use.
//
// Sums are always recomputed from the weights, not adjusted by differences, so that rounding errors do not accumulate. They are
// recomputed only when a sum is needed, so that many consecutive changes need only one summation.
type Ring[T any] struct {
	blocks []*block[T] // blocks in the order of their keys; no block is empty
	count  int         // the number of items
	total  float64     // the sum of all weights
	stale  bool        // whether total, and possibly the sums of some blocks, must be recomputed
}

// block stores items with adjacent keys.
type block[T any] struct {
	items []item[T] // items in the order of their keys
	sum   float64   // the sum of the weights of items
	stale bool      // whether sum must be recomputed
}

type item[T any] struct {
	key    uint32
	weight float64
	value  T
}

// Len returns the number of items.
func (r *Ring[T]) Len() int { return r.count }

// Total returns the sum of all weights.
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

// find returns the position of a key: the index of its block, and the index i of the item in the block. If found is false, it is
// the position at which to insert the key. The ring must not be empty.
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

// Put adds an item, or replaces the item with the same key. A weight that is negative or NaN counts as 0.
func (r *Ring[T]) Put(key uint32, weight float64, value T) {
	weight = validWeight(weight)
	if len(r.blocks) == 0 {
		first := &block[T]{items: []item[T]{{key, weight, value}}, stale: true}
		r.blocks = append(r.blocks, first)
		r.count, r.stale = 1, true
		return
	}
	blockIndex, i, found := r.find(key)
	b := r.blocks[blockIndex]
	if found {
		oldWeight := b.items[i].weight
		b.items[i].weight, b.items[i].value = weight, value
		if oldWeight != weight {
			b.stale, r.stale = true, true
		}
		return
	}
	b.items = slices.Insert(b.items, i, item[T]{key, weight, value})
	r.count++
	if len(b.items) > maxBlockItems {
		r.blocks = slices.Insert(r.blocks, blockIndex+1, b.split())
	}
	b.stale, r.stale = true, true
}

// validWeight returns the weight, or 0 if it is negative or NaN.
func validWeight(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 0
}

// split moves the second half of a block's items to a new block, and returns the new block.
func (b *block[T]) split() *block[T] {
	half := len(b.items) / 2
	right := &block[T]{items: slices.Clone(b.items[half:]), stale: true}
	clear(b.items[half:]) // allows garbage collection of the values
	b.items = b.items[:half]
	return right
}

// Remove removes the item with the given key. It does nothing if there is no such item.
func (r *Ring[T]) Remove(key uint32) {
	if len(r.blocks) == 0 {
		return
	}
	blockIndex, i, found := r.find(key)
	if !found {
		return
	}
	b := r.blocks[blockIndex]
	b.items = slices.Delete(b.items, i, i+1)
	r.count--
	if len(b.items) == 0 {
		r.blocks = slices.Delete(r.blocks, blockIndex, blockIndex+1)
	}
	b.stale, r.stale = true, true
}

// Reweigh sets the weight of each item to the result of a function. A weight that is negative or NaN counts as 0.
func (r *Ring[T]) Reweigh(weight func(T) float64) {
	for _, b := range r.blocks {
		for i := range b.items {
			b.items[i].weight = validWeight(weight(b.items[i].value))
		}
		b.stale = true
	}
	r.stale = true
}

// sumItems recomputes the sum of the weights of a block.
func (b *block[T]) sumItems() {
	b.stale, b.sum = false, 0
	for i := range b.items {
		b.sum += b.items[i].weight
	}
}

// All iterates over the items in the order of their keys.
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

// Append appends the items to a slice in the order of their keys, and returns the extended slice.
func (r *Ring[T]) Append(to []T) []T {
	for _, b := range r.blocks {
		for i := range b.items {
			to = append(to, b.items[i].value)
		}
	}
	return to
}

// Cursor iterates over the items of a ring indefinitely. Adding a new item with Put, or removing one, invalidates it.
type Cursor[T any] struct {
	ring                  *Ring[T]
	blockIndex, itemIndex int
}

// Seek returns a cursor at the first item at which the running sum of the weights, in the order of the keys, exceeds sum by at least
// the tolerance. left is sum minus the weights of the items before it. If there is no such item, as when sum is not below the total,
// the cursor is at the first item of the ring, and left is sum minus all weights.
func (r *Ring[T]) Seek(sum, tolerance float64) (c Cursor[T], left float64) {
	r.Total() // recomputes stale sums
	for blockIndex, b := range r.blocks {
		// Due to rounding, the sum of a block may differ from the sum of the subtractions below. The inner loop may then reach the
		// end of the block without finding the item, and the search continues with the next block.
		if sum > b.sum-tolerance && blockIndex < len(r.blocks)-1 {
			sum -= b.sum
			continue
		}
		for i := range b.items {
			if sum <= b.items[i].weight-tolerance {
				return Cursor[T]{r, blockIndex, i}, sum
			}
			sum -= b.items[i].weight
		}
	}
	return Cursor[T]{ring: r}, sum
}

// Next returns the item at the cursor and its weight, and advances the cursor. The first item follows the last. ok is false if the
// ring is empty.
func (c *Cursor[T]) Next() (value T, weight float64, ok bool) {
	if c.ring == nil || c.ring.count == 0 {
		return value, 0, false
	}
	items := c.ring.blocks[c.blockIndex].items
	current := &items[c.itemIndex]
	c.itemIndex++
	if c.itemIndex == len(items) {
		c.itemIndex = 0
		c.blockIndex = (c.blockIndex + 1) % len(c.ring.blocks)
	}
	return current.value, current.weight, true
}
