// Package ratelimit keeps the limits that hold over all sidecars together: tenants' quotas, and the budget of further tries. Each
// sidecar keeps to a part of its own, so that a request needs no message, and sidecars that are cut off never exceed the whole. The
// package does no I/O; time is an argument.
package ratelimit

import "time"

const parts = 20 // that a window is counted in

// window counts what happened within a sliding time.
type window struct {
	each   time.Duration
	counts [parts + 1]float64
	at     int64 // the slice that counts now
	sum    float64
}

func (w *window) move(now time.Duration) {
	at := int64(now / w.each)
	if at-w.at > parts {
		w.counts, w.sum = [parts + 1]float64{}, 0
		w.at = at
	}
	for w.at < at {
		w.at++
		i := w.at % (parts + 1)
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
}

func (w *window) add(now time.Duration, n float64) {
	w.move(now)
	w.counts[w.at%(parts+1)] += n
	w.sum += n
}

// Repeats is this sidecar's part of the budget of repeats of one service: a share of its own requests, and a part of the
// fleet's slack.
type Repeats struct {
	requests, repeats window
}

// Tunables of repeats. Inner calls of a repeat are repeats at the service that they go to, and calls are up to three deep
// today: so each sidecar uses a part of the ratio at each service.
const (
	ratioPart = 0.4
	slackPart = 0.6
)

// NewRepeats makes a budget over a sliding window.
func NewRepeats(over time.Duration) *Repeats {
	each := max(over/parts, time.Millisecond)
	return &Repeats{requests: window{each: each}, repeats: window{each: each}}
}

// Request counts one of this sidecar's own requests for the service.
func (r *Repeats) Request(now time.Duration) { r.requests.add(now, 1) }

// Take takes a repeat out of the budget, if it is there. ratio and slack are the fleet's; sidecars share the slack.
func (r *Repeats) Take(now time.Duration, ratio, slack float64, sidecars int) bool {
	r.requests.move(now)
	r.repeats.move(now)
	if r.repeats.sum+1 > ratioPart*ratio*r.requests.sum+slackPart*slack/float64(max(sidecars, 1)) {
		return false
	}
	r.repeats.add(now, 1)
	return true
}
