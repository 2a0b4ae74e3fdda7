// Package ratelimit keeps the limits that hold over all sidecars together: tenants' quotas, and the budget of further tries. Each
// sidecar keeps to a part of its own, so that a request needs no message, and sidecars that are cut off never exceed the whole. The
// package does no I/O; time is an argument.
package ratelimit

import "time"

const windowSlots = 20 // that a window is counted in

// window counts what happened within a sliding time.
type window struct {
	slotWidth time.Duration
	counts    [windowSlots + 1]float64
	slot      int64 // the slice that counts now
	total     float64
}

func (w *window) advance(now time.Duration) {
	at := int64(now / w.slotWidth)
	if at-w.slot > windowSlots {
		w.counts, w.total = [windowSlots + 1]float64{}, 0
		w.slot = at
	}
	for w.slot < at {
		w.slot++
		i := w.slot % (windowSlots + 1)
		w.total -= w.counts[i]
		w.counts[i] = 0
	}
}

func (w *window) add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.slot%(windowSlots+1)] += n
	w.total += n
}

// RetryBudget is this sidecar's part of the budget of repeats of one service: a share of its own requests, and a part of the
// fleet's slack.
type RetryBudget struct {
	requests, retries window
}

// Tunables of repeats. Inner calls of a repeat are repeats at the service that they go to, and calls are up to three deep
// today: so each sidecar uses a part of the ratio at each service.
const (
	ratioFraction = 0.4
	slackFraction = 0.6
)

// NewRetryBudget makes a budget over a sliding window.
func NewRetryBudget(over time.Duration) *RetryBudget {
	each := max(over/windowSlots, time.Millisecond)
	return &RetryBudget{requests: window{slotWidth: each}, retries: window{slotWidth: each}}
}

// CountRequest counts one of this sidecar's own requests for the service.
func (r *RetryBudget) CountRequest(now time.Duration) { r.requests.add(now, 1) }

// Admit takes a repeat out of the budget, if it is there. ratio and slack are the fleet's; sidecars share the slack.
func (r *RetryBudget) Acquire(now time.Duration, ratio, slack float64, sidecars int) bool {
	r.requests.advance(now)
	r.retries.advance(now)
	if r.retries.total+1 > ratioFraction*ratio*r.requests.total+slackFraction*slack/float64(max(sidecars, 1)) {
		return false
	}
	r.retries.add(now, 1)
	return true
}
