package admission

import (
	"slices"
	"time"
)

// queuedRequest is a request that is waiting for a slot.
type queuedRequest struct {
	Request
	queuedAt time.Duration
}

// usefulUntil returns the time until which an answer is useful. For a nested call that is the deadline instead of the latency target,
// because the calling request fails without the answer.
func (r *queuedRequest) usefulUntil() time.Duration {
	if r.Nested {
		return r.Deadline
	}
	return r.TargetDeadline
}

// goesBefore reports whether a request is admitted before another one regardless of their order of arrival.
func (r *queuedRequest) goesBefore(other *queuedRequest) bool {
	if r.Nested != other.Nested {
		return r.Nested
	}
	return r.Priority < other.Priority
}

// queue holds the queued requests in the order in which they will be admitted: nested calls first, because the requests that wait for
// their answers occupy slots; then by priority, then by arrival.
type queue []queuedRequest

// insert inserts a request after all requests that it does not precede.
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
