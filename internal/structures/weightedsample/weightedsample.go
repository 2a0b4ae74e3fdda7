// Package weightedsample draws items at random by their weights, without a walk over all of them. Who calls it says what the weights
// are, and brings the random numbers.
package weightedsample

// Sampler holds weights by slot. Slots are small numbers; those that were removed are used again. Setting a weight and drawing
// take time that grows with the logarithm of the number of slots. The zero value is empty and ready for use. It is not safe for
// concurrent use.
//
// It is a tree of sums. A node is always the sum of the two below it, computed anew on each change, so that no error of rounding
// builds up, however often weights change.
type Sampler struct {
	// sums[1] is the root, sums[2i] and sums[2i+1] are below sums[i]; the leaves begin at leaves.
	sums   []float64
	leaves int
	free   []int // slots that were removed, the latest last
	unused int   // slots from here on were never used
}

// minLeaves is how many slots the tree has room for at first.
const minLeaves = 8

// Add takes a weight in and returns its slot. Weights below 0, and those that are no number, count as 0.
func (s *Sampler) Add(weight float64) (slot int) {
	slot = s.takeSlot()
	s.Set(slot, weight)
	return slot
}

func (s *Sampler) takeSlot() int {
	if last := len(s.free) - 1; last >= 0 {
		slot := s.free[last]
		s.free = s.free[:last]
		return slot
	}
	slot := s.unused
	if slot >= s.leaves {
		s.grow()
	}
	s.unused++
	return slot
}

// grow doubles the room.
func (s *Sampler) grow() {
	leaves := max(2*s.leaves, minLeaves)
	sums := make([]float64, 2*leaves)
	copy(sums[leaves:], s.sums[min(s.leaves, len(s.sums)):])
	for i := leaves - 1; i > 0; i-- {
		sums[i] = sums[2*i] + sums[2*i+1]
	}
	s.sums, s.leaves = sums, leaves
}

// Remove frees a slot, that Add may return again. A slot that is free must not be removed.
func (s *Sampler) Remove(slot int) {
	s.Set(slot, 0)
	s.free = append(s.free, slot)
}

// Set changes the weight of a slot.
func (s *Sampler) Set(slot int, weight float64) {
	if !(weight > 0) { // or no number
		weight = 0
	}
	i := s.leaves + slot
	if s.sums[i] == weight {
		return
	}
	s.sums[i] = weight
	for i >>= 1; i > 0; i >>= 1 {
		s.sums[i] = s.sums[2*i] + s.sums[2*i+1]
	}
}

// Weight is that of a slot.
func (s *Sampler) Weight(slot int) float64 { return s.sums[s.leaves+slot] }

// Total is the sum of all weights.
func (s *Sampler) Total() float64 {
	if s.leaves == 0 {
		return 0
	}
	return s.sums[1]
}

// Draw returns the slot that a number from 0 to below 1 falls on, each by its weight; false where all weights are 0. A slot with
// weight 0 is never drawn.
func (s *Sampler) Draw(x float64) (slot int, ok bool) {
	if !(s.Total() > 0) {
		return 0, false
	}
	x *= s.sums[1]
	i := 1
	for i < s.leaves {
		i *= 2
		// Rounding may leave x at or beyond all that is on the right: then what there is on the left has it.
		if left, right := s.sums[i], s.sums[i+1]; x >= left && right > 0 {
			x -= left
			i++
		} else if left == 0 {
			i++
		}
	}
	return i - s.leaves, true
}

// DrawTwo returns two slots by two numbers, the second drawn from what is left without the first. second is -1 where there is but
// one.
func (s *Sampler) DrawTwo(x, y float64) (first, second int, ok bool) {
	if first, ok = s.Draw(x); !ok {
		return 0, -1, false
	}
	weight := s.Weight(first)
	s.Set(first, 0)
	second, more := s.Draw(y)
	s.Set(first, weight)
	if !more {
		second = -1
	}
	return first, second, true
}

// Pool is a Sampler that holds the items themselves. The zero value is empty and ready for use. It is not safe for concurrent
// use.
type Pool[T any] struct {
	sampler Sampler
	items   []T // by slot
	count   int
}

// Len is how many items there are.
func (p *Pool[T]) Len() int { return p.count }

// Total is the sum of all weights.
func (p *Pool[T]) Total() float64 { return p.sampler.Total() }

// Add takes an item in and returns its slot.
func (p *Pool[T]) Add(item T, weight float64) (slot int) {
	slot = p.sampler.Add(weight)
	if slot == len(p.items) {
		p.items = append(p.items, item)
	}
	p.items[slot] = item
	p.count++
	return slot
}

// Set changes the weight of the item in a slot.
func (p *Pool[T]) Set(slot int, weight float64) { p.sampler.Set(slot, weight) }

// Remove takes the item in a slot out. The slot must hold one.
func (p *Pool[T]) Remove(slot int) {
	var none T
	p.sampler.Remove(slot)
	p.items[slot] = none // let the item be collected
	p.count--
}

// Draw returns the item that a number from 0 to below 1 falls on, each by its weight; false where all weights are 0.
func (p *Pool[T]) Draw(x float64) (item T, ok bool) {
	slot, ok := p.sampler.Draw(x)
	if !ok {
		return item, false
	}
	return p.items[slot], true
}
