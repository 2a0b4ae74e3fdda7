// Package weightedsample draws items at random, each with a probability proportional to its weight, in logarithmic time. It generates
// no random numbers: the caller passes them, so that draws are reproducible.
package weightedsample

// Sampler stores weights in slots, which are small integers. Slots that were removed are reused. Set and Draw take logarithmic
// time. The zero value is empty and ready for use. It is not safe for concurrent use.
//
// It is a binary tree of sums. Each inner node is the sum of its two children. A change recomputes the nodes above the changed leaf
// from their children, so that rounding errors do not accumulate.
type Sampler struct {
	// sums[1] is the root; sums[2i] and sums[2i+1] are the children of sums[i]. The leaves are sums[leaves:].
	sums    []float64
	leaves  int
	free    []int // slots that were removed; Add reuses the last of them first
	nextNew int   // the lowest slot that was never used
}

// minLeaves is the initial number of leaves.
const minLeaves = 8

// Add adds a weight and returns its slot. A weight that is negative or NaN counts as 0.
func (s *Sampler) Add(weight float64) (slot int) {
	slot = s.allocateSlot()
	s.Set(slot, weight)
	return slot
}

// allocateSlot returns a slot that is not in use: the slot that was removed last or, if there is none, a new one.
func (s *Sampler) allocateSlot() int {
	if last := len(s.free) - 1; last >= 0 {
		slot := s.free[last]
		s.free = s.free[:last]
		return slot
	}
	slot := s.nextNew
	if slot >= s.leaves {
		s.grow()
	}
	s.nextNew++
	return slot
}

// grow doubles the number of leaves, or creates the first minLeaves leaves, and recomputes the sums.
func (s *Sampler) grow() {
	leaves := max(2*s.leaves, minLeaves)
	sums := make([]float64, 2*leaves)
	copy(sums[leaves:], s.sums[min(s.leaves, len(s.sums)):])
	for i := leaves - 1; i > 0; i-- {
		sums[i] = sums[2*i] + sums[2*i+1]
	}
	s.sums, s.leaves = sums, leaves
}

// Remove frees a slot, and Add may then return the slot again. The slot must be in use.
func (s *Sampler) Remove(slot int) {
	s.Set(slot, 0)
	s.free = append(s.free, slot)
}

// Set changes the weight of a slot. A weight that is negative or NaN counts as 0.
func (s *Sampler) Set(slot int, weight float64) {
	if !(weight > 0) { // also true for NaN
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

// Weight returns the weight of a slot.
func (s *Sampler) Weight(slot int) float64 { return s.sums[s.leaves+slot] }

// Total returns the sum of all weights.
func (s *Sampler) Total() float64 {
	if s.leaves == 0 {
		return 0
	}
	return s.sums[1]
}

// Draw returns a slot that is selected by x. If x is a uniform random number in [0, 1), each slot has a probability proportional to
// its weight. A slot with weight 0 is never drawn. ok is false if all weights are 0.
func (s *Sampler) Draw(x float64) (slot int, ok bool) {
	if !(s.Total() > 0) {
		return 0, false
	}
	x *= s.sums[1]
	i := 1
	for i < s.leaves {
		i *= 2
		// Due to rounding, x may reach the sum of the left child although the right child is 0. The left child is then selected.
		if left, right := s.sums[i], s.sums[i+1]; x >= left && right > 0 {
			x -= left
			i++
		} else if left == 0 {
			i++
		}
	}
	return i - s.leaves, true
}

// DrawTwo returns two different slots that are selected as by Draw: the first by x from all slots, and the second by y from the other
// slots. second is -1 if only one slot has a weight above 0. ok is false if no slot has.
func (s *Sampler) DrawTwo(x, y float64) (first, second int, ok bool) {
	if first, ok = s.Draw(x); !ok {
		return 0, -1, false
	}
	weight := s.Weight(first)
	s.Set(first, 0)
	second, found := s.Draw(y)
	s.Set(first, weight)
	if !found {
		second = -1
	}
	return first, second, true
}

// Pool is a Sampler together with the items in its slots. The zero value is empty and ready for use. It is not safe for concurrent
// use.
type Pool[T any] struct {
	sampler Sampler
	items   []T // items by slot
	count   int
}

// Len returns the number of items.
func (p *Pool[T]) Len() int { return p.count }

// Total returns the sum of all weights.
func (p *Pool[T]) Total() float64 { return p.sampler.Total() }

// Add adds an item and returns its slot. A weight that is negative or NaN counts as 0.
func (p *Pool[T]) Add(item T, weight float64) (slot int) {
	slot = p.sampler.Add(weight)
	if slot == len(p.items) {
		p.items = append(p.items, item)
	}
	p.items[slot] = item
	p.count++
	return slot
}

// Set changes the weight of the item in a slot, which must be in use. A weight that is negative or NaN counts as 0.
func (p *Pool[T]) Set(slot int, weight float64) { p.sampler.Set(slot, weight) }

// Remove removes the item in a slot, which must be in use.
func (p *Pool[T]) Remove(slot int) {
	var zero T
	p.sampler.Remove(slot)
	p.items[slot] = zero // allows garbage collection of the item
	p.count--
}

// Draw returns an item that is selected by x as in Sampler.Draw. ok is false if all weights are 0.
func (p *Pool[T]) Draw(x float64) (item T, ok bool) {
	slot, ok := p.sampler.Draw(x)
	if !ok {
		return item, false
	}
	return p.items[slot], true
}
