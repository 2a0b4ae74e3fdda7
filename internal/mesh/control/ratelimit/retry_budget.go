package ratelimit

import "time"

// The nested calls of a retried request are retries too, at the services that they go to, but no sidecar can see that. Calls are
// nested up to three deep, so each sidecar uses only a fraction of the ratio, and of the slack, at each service.
const (
	ratioFraction = 0.4
	slackFraction = 0.6
)

// RetryBudget is this sidecar's part of one service's budget of retries and hedged requests: a ratio of its own requests, and a
// part of the fleet's slack. It is not safe for concurrent use.
type RetryBudget struct {
	requests, retries window
}

// NewRetryBudget returns a budget over a sliding window of the given length.
func NewRetryBudget(over time.Duration) *RetryBudget {
	slotWidth := max(over/windowSlots, time.Millisecond)
	return &RetryBudget{requests: window{slotWidth: slotWidth}, retries: window{slotWidth: slotWidth}}
}

// CountRequest counts one of this sidecar's own requests for the service.
func (r *RetryBudget) CountRequest(now time.Duration) { r.requests.add(now, 1) }

// Acquire takes one retry from the budget, and reports whether there was one. The fleet's budget is ratio, in retries for each
// request, and slack, in retries in a window, which the given number of sidecars share.
func (r *RetryBudget) Acquire(now time.Duration, ratio, slack float64, sidecars int) bool {
	r.requests.advance(now)
	r.retries.advance(now)
	budget := ratioFraction*ratio*r.requests.total + slackFraction*slack/float64(max(sidecars, 1))
	if r.retries.total+1 > budget {
		return false
	}
	r.retries.add(now, 1)
	return true
}
