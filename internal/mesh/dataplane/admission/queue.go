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

// usefulUntil returns when an answer comes too late to be of use: for a nested call when its deadline has passed, as the request that
// waits for it is lost without it.
func (r *queuedRequest) usefulUntil() time.Duration {
	if r.Nested {
		return r.Deadline
	}
	return r.TargetDeadline
}

// goesBefore reports whether a request is admitted before another, whichever came first.
func (r *queuedRequest) goesBefore(other *queuedRequest) bool {
	if r.Nested != other.Nested {
		return r.Nested
	}
	return r.Priority < other.Priority
}

// queue holds the requests that wait, in the order in which they are admitted: nested calls first, as the requests that wait for
// them hold slots; then by priority, then by arrival.
type queue []queuedRequest

// insert puts a request in its place, behind all that it does not go before.
func (q *queue) insert(r queuedRequest) {
	i, _ := slices.BinarySearchFunc(*q, r, func(queued, inserted queuedRequest) int {
		if inserted.goesBefore(&queued) {
			return 1
		}
		return -1
	})
	*q = slices.Insert(*q, i, r)
}

// remove takes out the request at an index.
func (q *queue) remove(i int) { *q = slices.Delete(*q, i, i+1) }

// removeToken takes out the request with a token, and reports whether it was there.
func (q *queue) removeToken(token uint64) bool {
	for i := range *q {
		if (*q)[i].Token == token {
			q.remove(i)
			return true
		}
	}
	return false
}
