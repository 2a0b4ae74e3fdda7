package admission

import (
	"slices"
	"time"
)

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	Request
	queuedAt time.Duration
}

// usefulUntil returns the time until which an answer is of use. For a nested call that is the deadline, not the latency target, as the
// request that waits for it fails without it.
func (r *queuedRequest) usefulUntil() time.Duration {
	if r.Nested {
		return r.Deadline
	}
	return r.TargetDeadline
}

// goesBefore reports whether a request is admitted before another one regardless of their arrival.
func (r *queuedRequest) goesBefore(other *queuedRequest) bool {
	if r.Nested != other.Nested {
		return r.Nested
	}
	return r.Priority < other.Priority
}

// queue holds the queued requests in the order in which they will be admitted: nested calls first, as the requests that wait for them
// occupy slots; then by priority, then by arrival.
type queue []queuedRequest

// insert inserts a request behind all requests that it does not go before.
func (q *queue) insert(r queuedRequest) {
	i, _ := slices.BinarySearchFunc(*q, r, func(queued, inserted queuedRequest) int {
		if inserted.goesBefore(&queued) {
			return 1
		}
		return -1
	})
	*q = slices.Insert(*q, i, r)
}

// remove removes the request at an index.
func (q *queue) remove(i int) { *q = slices.Delete(*q, i, i+1) }

// removeToken removes the request with a token, and reports whether it was queued.
func (q *queue) removeToken(token uint64) bool {
	for i := range *q {
		if (*q)[i].Token == token {
			q.remove(i)
			return true
		}
	}
	return false
}
