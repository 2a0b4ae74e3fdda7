package ratelimit

import "time"

// A sidecar uses only these fractions of a service's ratio and slack. The calls that a service makes on behalf of a retried request
// are retries as well, at the services that it calls, but the sidecars there cannot recognize them. Calls are nested up to three
// deep.
const (
	ratioFraction = 0.4
	slackFraction = 0.6
)

// RetryBudget is this sidecar's part of the budget for retries and hedged requests to one service: a ratio of its own requests,
// plus a part of the slack that all sidecars share. It is not safe for concurrent use.
type RetryBudget struct {
	requests, retries window
}

// NewRetryBudget returns a budget for a sliding window of the given length.
func NewRetryBudget(windowLength time.Duration) *RetryBudget {
	slotWidth := max(windowLength/windowSlots, time.Millisecond)
	return &RetryBudget{requests: window{slotWidth: slotWidth}, retries: window{slotWidth: slotWidth}}
}

// CountRequest counts one of this sidecar's own requests to the service.
func (r *RetryBudget) CountRequest(now time.Duration) { r.requests.add(now, 1) }

// Acquire takes one retry from the budget, and reports whether the budget allowed it. ratio is in retries per request. slack is in
// retries per window, and is divided evenly among the given number of sidecars.
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
