// Package deadlinequeue implements a priority queue of items by deadline. It is a binary heap that also stores the position of
// each item, so that the deadline of any item can be changed and any item can be removed. It reads no clock: deadlines are
// durations since an origin that the caller chooses.
package deadlinequeue

import "time"

// Queue is a priority queue of distinct items, the earliest deadline first. Put and Remove take logarithmic time. The zero value
// is empty and ready for use. It is not safe for concurrent use.
type Queue[T comparable] struct {
	// Less orders items that have the same deadline, so that equal sequences of calls give equal orders. If it is nil, the order
	// of such items is unspecified. It must not change while the queue has items.
	Less func(a, b T) bool

	heap      []item[T]
	positions map[T]int // the index of each item in heap
}

type item[T comparable] struct {
	value    T
	deadline time.Duration
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Peek returns the item with the earliest deadline, without removing it. ok is false if the queue is empty.
func (q *Queue[T]) Peek() (value T, deadline time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return value, 0, false
	}
	first := q.heap[0]
	return first.value, first.deadline, true
}

// Deadline returns the deadline of an item. ok is false if the item is not in the queue.
func (q *Queue[T]) Deadline(value T) (deadline time.Duration, ok bool) {
	i, ok := q.positions[value]
	if !ok {
		return 0, false
	}
	return q.heap[i].deadline, true
}

// Put adds an item, or changes its deadline if it is in the queue already.
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

// Remove removes an item. It does nothing if the item is not in the queue.
func (q *Queue[T]) Remove(value T) {
	i, ok := q.positions[value]
	if !ok {
		return
	}
	last := len(q.heap) - 1
	q.swap(i, last)
	q.heap[last] = item[T]{} // allows garbage collection of the value
	q.heap = q.heap[:last]
	delete(q.positions, value)
	if i < last {
		q.siftDown(q.siftUp(i))
	}
}

// less reports whether the item at position i of the heap is ordered before the item at position j.
func (q *Queue[T]) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	if a.deadline != b.deadline || q.Less == nil {
		return a.deadline < b.deadline
	}
	return q.Less(a.value, b.value)
}

// swap exchanges the items at two positions of the heap.
func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.positions[q.heap[i].value], q.positions[q.heap[j].value] = i, j
}

// siftUp moves the item at position i towards the root while it is ordered before its parent. It returns the new position.
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

// siftDown moves the item at position i towards the leaves until no child is ordered before it.
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
