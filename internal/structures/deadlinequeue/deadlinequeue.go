// Package deadlinequeue keeps items in the order of their deadlines: a binary heap with the items' positions. It
// reads no clock.
package deadlinequeue

import "time"

// Queue holds distinct items, each with a deadline. Putting, changing and removing one take time that grows with the logarithm
// of their number. The zero value is empty and ready for use. It is not safe for concurrent use.
type Queue[T comparable] struct {
	// Less orders items that have the same deadline, so that the same events give the same order; nil for any order. It must
	// not change while the queue holds items.
	Less func(a, b T) bool

	heap      []item[T]
	positions map[T]int // in heap
}

type item[T comparable] struct {
	value    T
	deadline time.Duration
}

// Len is how many items there are.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Peek returns the item of the earliest deadline; false where there is none.
func (q *Queue[T]) Peek() (value T, deadline time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return value, 0, false
	}
	first := q.heap[0]
	return first.value, first.deadline, true
}

// Deadline is that of an item; false where it is not in the queue.
func (q *Queue[T]) Deadline(value T) (deadline time.Duration, ok bool) {
	i, ok := q.positions[value]
	if !ok {
		return 0, false
	}
	return q.heap[i].deadline, true
}

// Put adds an item, or changes its deadline.
func (q *Queue[T]) Put(value T, deadline time.Duration) {
	if i, ok := q.positions[value]; ok {
		q.heap[i].deadline = deadline
		q.siftDown(q.siftUp(i))
		return
	}
	if q.positions == nil {
		q.positions = map[T]int{}
	}
	q.heap = append(q.heap, item[T]{value, deadline})
	last := len(q.heap) - 1
	q.positions[value] = last
	q.siftUp(last)
}

// Remove takes an item out, if it is in the queue.
func (q *Queue[T]) Remove(value T) {
	i, ok := q.positions[value]
	if !ok {
		return
	}
	last := len(q.heap) - 1
	q.swap(i, last)
	q.heap[last] = item[T]{} // let the value be collected
	q.heap = q.heap[:last]
	delete(q.positions, value)
	if i < last {
		q.siftDown(q.siftUp(i))
	}
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	if a.deadline != b.deadline || q.Less == nil {
		return a.deadline < b.deadline
	}
	return q.Less(a.value, b.value)
}

func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.positions[q.heap[i].value], q.positions[q.heap[j].value] = i, j
}

// siftUp moves an item up to where its parent is not after it, and returns its new position.
func (q *Queue[T]) siftUp(i int) int {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			break
		}
		q.swap(i, parent)
		i = parent
	}
	return i
}

// siftDown moves an item down to where no child is before it.
func (q *Queue[T]) siftDown(i int) {
	for {
		first := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(q.heap) && q.less(child, first) {
				first = child
			}
		}
		if first == i {
			return
		}
		q.swap(i, first)
		i = first
	}
}
