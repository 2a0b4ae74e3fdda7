// Package weightedring keeps items in the order of their keys, each with a weight, and
// finds which of them a running sum of the weights falls on. It decides
// nothing.
package weightedring

import (
	"iter"
	"slices"
	"sort"
)

// maxBlockItems is how many items a block holds before it is split in two. After a change one block is summed anew, and
// then all blocks' sums: with 10,000 items about as much of the one as of the other.
const maxBlockItems = 128

// Ring holds items by key. A change takes time that grows with the square root of their number, and so does
// finding a place in the sum; going on from there costs the same for each item. The zero value is empty and
// ready for use.
//
// Sums are always computed anew from the weights below them, never moved by differences, so that no error of
// rounding builds up; and only when one is asked for, so that many changes at once cost one sum.
type Ring[T any] struct {
	blocks []*block[T]
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
	if r.stale {
		r.stale, r.total = false, 0
		for _, k := range r.blocks {
			if k.stale {
				k.sumItems()
			}
			r.total += k.sum
		}
	}
	return r.total
}

// find gives the block that has a key or would have it, and the place in it. There must be a block.
func (r *Ring[T]) find(key uint32) (b, i int, found bool) {
	b = sort.Search(len(r.blocks), func(b int) bool {
		last := r.blocks[b].items
		return last[len(last)-1].key >= key
	})
	if b == len(r.blocks) {
		b--
		return b, len(r.blocks[b].items), false
	}
	i, found = slices.BinarySearchFunc(r.blocks[b].items, key, func(x item[T], key uint32) int {
		switch {
		case x.key < key:
			return -1
		case x.key > key:
			return 1
		}
		return 0
	})
	return b, i, found
}

// Put takes an item in, or changes the one that has its key. Weights below 0, and those that are no number,
// count as 0.
func (r *Ring[T]) Put(key uint32, weight float64, x T) {
	if !(weight > 0) {
		weight = 0
	}
	if len(r.blocks) == 0 {
		r.blocks = append(r.blocks, &block[T]{items: []item[T]{{key, weight, x}}, stale: true})
		r.count, r.stale = 1, true
		return
	}
	b, i, found := r.find(key)
	k := r.blocks[b]
	if found {
		was := k.items[i].weight
		k.items[i].weight, k.items[i].value = weight, x
		if was != weight {
			k.stale, r.stale = true, true
		}
		return
	}
	k.items = slices.Insert(k.items, i, item[T]{key, weight, x})
	r.count++
	if len(k.items) > maxBlockItems {
		half := len(k.items) / 2
		right := &block[T]{items: slices.Clone(k.items[half:]), stale: true}
		clear(k.items[half:]) // let go of them
		k.items = k.items[:half]
		r.blocks = slices.Insert(r.blocks, b+1, right)
	}
	k.stale, r.stale = true, true
}

// Remove takes an item out, if it is here.
func (r *Ring[T]) Remove(key uint32) {
	if len(r.blocks) == 0 {
		return
	}
	b, i, found := r.find(key)
	if !found {
		return
	}
	k := r.blocks[b]
	k.items = slices.Delete(k.items, i, i+1)
	r.count--
	if len(k.items) == 0 {
		r.blocks = slices.Delete(r.blocks, b, b+1)
	}
	k.stale, r.stale = true, true
}

// Reweigh sets the weight of each item.
func (r *Ring[T]) Reweigh(weight func(T) float64) {
	for _, k := range r.blocks {
		for i := range k.items {
			w := weight(k.items[i].value)
			if !(w > 0) {
				w = 0
			}
			k.items[i].weight = w
		}
		k.stale = true
	}
	r.stale = true
}

func (b *block[T]) sumItems() {
	b.stale, b.sum = false, 0
	for i := range b.items {
		b.sum += b.items[i].weight
	}
}

// All gives the items in their order.
func (r *Ring[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, k := range r.blocks {
			for i := range k.items {
				if !yield(k.items[i].value) {
					return
				}
			}
		}
	}
}

// Append appends the items in their order to a list.
func (r *Ring[T]) Append(to []T) []T {
	for _, k := range r.blocks {
		for i := range k.items {
			to = append(to, k.items[i].value)
		}
	}
	return to
}

// Cursor goes round a ring. It is void once the ring changes.
type Cursor[T any] struct {
	r    *Ring[T]
	b, i int
}

// Seek gives a cursor at the first item that a sum of weights, counted from the first key, does not pass by more
// than eps, and what is left of the sum there. Beyond the total it stands at the first item, with the rest.
func (r *Ring[T]) Seek(sum, eps float64) (c Cursor[T], left float64) {
	r.Total() // brings the sums up to date
	for b, k := range r.blocks {
		// A block's sum may differ, by its rounding, from what the loop below makes of it: then that loop runs
		// over its end, and on into the next block.
		if sum > k.sum-eps && b < len(r.blocks)-1 {
			sum -= k.sum
			continue
		}
		for i := range k.items {
			if sum <= k.items[i].weight-eps {
				return Cursor[T]{r, b, i}, sum
			}
			sum -= k.items[i].weight
		}
	}
	return Cursor[T]{r: r}, sum
}

// Next gives the item that the cursor stands at, with its weight, and moves on to the next one; after the last
// comes the first. An empty ring has none.
func (c *Cursor[T]) Next() (x T, weight float64, ok bool) {
	if c.r == nil || c.r.count == 0 {
		return x, 0, false
	}
	k := c.r.blocks[c.b]
	it := &k.items[c.i]
	if c.i++; c.i == len(k.items) {
		c.i = 0
		if c.b++; c.b == len(c.r.blocks) {
			c.b = 0
		}
	}
	return it.value, it.weight, true
}
