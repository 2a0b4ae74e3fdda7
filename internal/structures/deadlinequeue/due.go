// Package deadlinequeue keeps items in the order of the times at which they are due. It
// decides nothing and reads no clock.
package deadlinequeue

import "time"

// Queue holds items, each with a time. Putting, changing and removing take time that grows with the logarithm
// of their number. The zero value is empty and ready for use. Items that are due at the same time come in the
// order of Less, so that the same events give the same order.
type Queue[T comparable] struct {
	Less      func(a, b T) bool // nil for any order
	heap      []item[T]
	positions map[T]int // places in heap
}

type item[T comparable] struct {
	value    T
	deadline time.Duration
}

// Len is how many there are.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Peek is what is due first; false where there is nothing.
func (q *Queue[T]) Peek() (x T, at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return x, 0, false
	}
	return q.heap[0].value, q.heap[0].deadline, true
}

// Deadline is when an item is; false where it is not here.
func (q *Queue[T]) Deadline(x T) (at time.Duration, ok bool) {
	i, ok := q.positions[x]
	if !ok {
		return 0, false
	}
	return q.heap[i].deadline, true
}

// Put takes an item in, or changes its time.
func (q *Queue[T]) Put(x T, at time.Duration) {
	if i, ok := q.positions[x]; ok {
		q.heap[i].deadline = at
		q.siftDown(q.siftUp(i))
		return
	}
	if q.positions == nil {
		q.positions = map[T]int{}
	}
	q.heap = append(q.heap, item[T]{x, at})
	q.positions[x] = len(q.heap) - 1
	q.siftUp(len(q.heap) - 1)
}

// Remove takes an item out, if it is here.
func (q *Queue[T]) Remove(x T) {
	i, ok := q.positions[x]
	if !ok {
		return
	}
	last := len(q.heap) - 1
	q.swap(i, last)
	q.heap[last] = item[T]{} // let go of it
	q.heap = q.heap[:last]
	delete(q.positions, x)
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

func (q *Queue[T]) siftUp(i int) int {
	for i > 0 && q.less(i, (i-1)/2) {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i
}

func (q *Queue[T]) siftDown(i int) {
	for {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < len(q.heap) && q.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
