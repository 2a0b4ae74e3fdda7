// Package weightedsample draws items at random, each by its odds, without a walk over
// all of them. It decides nothing: who calls it says what the odds are, and
// what may be drawn.
package weightedsample

// Sampler holds items by slot, each with odds. Slots are small numbers; those that were taken out are used
// again. Setting odds and drawing take time that grows with the logarithm of the number of slots. The zero
// value is empty and ready for use.
//
// It is a tree of sums. A node is always the sum of the two below it, computed anew on each change, so that
// no error of rounding builds up, however often odds change.
type Sampler struct {
	// sums[1] is the root, sums[2i] and sums[2i+1] are below sums[i]; leaves begin at half.
	sums   []float64
	leaves int
	free   []int // slots that were taken out, the latest last
	unused int   // slots from here on were never used
}

// Add takes an item in and returns its slot. Odds below 0, and those that are no number, count as 0.
func (s *Sampler) Add(odds float64) (slot int) {
	if n := len(s.free); n > 0 {
		slot, s.free = s.free[n-1], s.free[:n-1]
	} else {
		if slot = s.unused; slot >= s.leaves {
			s.grow()
		}
		s.unused++
	}
	s.Set(slot, odds)
	return slot
}

// grow doubles the room.
func (s *Sampler) grow() {
	half := max(2*s.leaves, 8)
	sums := make([]float64, 2*half)
	copy(sums[half:], s.sums[min(s.leaves, len(s.sums)):])
	for i := half - 1; i > 0; i-- {
		sums[i] = sums[2*i] + sums[2*i+1]
	}
	s.sums, s.leaves = sums, half
}

// Remove takes an item out; its slot may be another's then. A slot that holds none must not be removed.
func (s *Sampler) Remove(slot int) {
	s.Set(slot, 0)
	s.free = append(s.free, slot)
}

// Set changes the odds of an item.
func (s *Sampler) Set(slot int, odds float64) {
	if !(odds > 0) {
		odds = 0
	}
	i := s.leaves + slot
	if s.sums[i] == odds {
		return
	}
	s.sums[i] = odds
	for i >>= 1; i > 0; i >>= 1 {
		s.sums[i] = s.sums[2*i] + s.sums[2*i+1]
	}
}

// Weight are an item's.
func (s *Sampler) Weight(slot int) float64 { return s.sums[s.leaves+slot] }

// Total is the sum of all odds.
func (s *Sampler) Total() float64 {
	if s.leaves == 0 {
		return 0
	}
	return s.sums[1]
}

// Draw gives the slot that a number from 0 up to 1 falls on, each by its odds; false where all odds are 0.
// An item with odds of 0 is never given.
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

// DrawTwo gives two slots, the second drawn from what is left without the first. second is -1 where there is
// but one.
func (s *Sampler) DrawTwo(x, y float64) (first, second int, ok bool) {
	if first, ok = s.Draw(x); !ok {
		return 0, -1, false
	}
	was := s.Weight(first)
	s.Set(first, 0)
	second, more := s.Draw(y)
	s.Set(first, was)
	if !more {
		second = -1
	}
	return first, second, true
}

// Pool is a Sampler that holds the items themselves. The zero value is empty and ready for use.
type Pool[T any] struct {
	sampler Sampler
	items   []T // by slot
	count   int
}

// Len is how many items there are.
func (p *Pool[T]) Len() int { return p.count }

// Total is the sum of all odds.
func (p *Pool[T]) Total() float64 { return p.sampler.Total() }

// Add takes an item in and returns its slot.
func (p *Pool[T]) Add(x T, odds float64) (slot int) {
	slot = p.sampler.Add(odds)
	if slot == len(p.items) {
		p.items = append(p.items, x)
	}
	p.items[slot] = x
	p.count++
	return slot
}

// Set changes the odds of the item in a slot.
func (p *Pool[T]) Set(slot int, odds float64) { p.sampler.Set(slot, odds) }

// Remove takes the item in a slot out. The slot must hold one.
func (p *Pool[T]) Remove(slot int) {
	var none T
	p.sampler.Remove(slot)
	p.items[slot] = none // let go of it
	p.count--
}

// Draw gives the item that a number from 0 up to 1 falls on, each by its odds; false where all odds are 0.
func (p *Pool[T]) Draw(x float64) (item T, ok bool) {
	slot, ok := p.sampler.Draw(x)
	if !ok {
		return item, false
	}
	return p.items[slot], true
}
