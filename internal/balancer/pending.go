package balancer

import (
	"math"
	"time"
)

// This file orders the pending requests, and decides which of them are rejected (load shedding).

const (
	targetSlackMeans     = 1.8  // least time until the latency target when a request is sent, in mean latencies
	maxPendingSeconds    = 2.0  // limit on pending requests, in seconds at the current rate of answers
	minPendingTime       = 0.2  // least share of recent time with pending requests for which that rate is meaningful
	retryElapsedWeight   = 0.05 // weight of one retry in the mean age of clients' retries
	firstAttemptShare    = 0.97 // share of the longest remaining time seen; a request with less time left is a retry
	deadlineReserveTicks = 2    // number of ticks before its deadline at which a pending request gets its final answer
)

// latestSend returns the latest time at which an attempt can be sent so that a slow response still meets the latency target.
func (r *request) latestSend() time.Duration {
	return r.targetAt - seconds(targetSlackMeans*r.class.latency.mean)
}

// elapsedForClient returns a lower bound of the time that had elapsed for the client when the request arrived. All first attempts
// of clients arrive with the same remaining time. Retries, and requests that spent time in the tiers above, have less.
func (b *Balancer) elapsedForClient(c *class, incoming *Request) time.Duration {
	c.maxTimeLeft = max(c.maxTimeLeft, incoming.TimeLeft)
	switch {
	case b.settings.Tier > 0:
		return c.maxTimeLeft - incoming.TimeLeft
	case float64(incoming.TimeLeft) < firstAttemptShare*float64(c.maxTimeLeft):
		elapsed := c.Deadline - incoming.TimeLeft
		if incoming.Retry && float64(c.maxTimeLeft) >= firstAttemptShare*float64(c.Deadline) {
			b.retryElapsed += retryElapsedWeight * (elapsed.Seconds() - b.retryElapsed)
		}
		return elapsed
	case incoming.Retry:
		// This request is marked as a retry but has the remaining time of a first attempt. It is assumed to be as old as the
		// retries whose remaining time shows their age. Treated as new, such retries would fill an overloaded tier with requests
		// whose latency target has passed.
		return seconds(b.retryElapsed)
	}
	return 0
}

// nextPending returns the index of the pending request that is sent first.
func (b *Balancer) nextPending(now time.Duration) int {
	best := 0
	for i := 1; i < len(b.pending); i++ {
		if dispatchedBefore(now, b.pending[i], b.pending[best]) {
			best = i
		}
	}
	return best
}

// dispatchedBefore reports whether pending request a is sent before b. The criteria are, in this order: requests whose answer can
// still have a value (within the latency target, or after it if their class has a late value), requests within their tenant's
// quota, requests that add more to the optimized value, and requests with an earlier latest send time.
func dispatchedBefore(now time.Duration, a, b *request) bool {
	if pa, pb := a.priority(now), b.priority(now); pa != pb {
		return pa > pb
	}
	if va, vb := a.class.marginalValue*a.valueFactor, b.class.marginalValue*b.valueFactor; va != vb {
		return va > vb
	}
	return a.latestSend() < b.latestSend()
}

// priority returns the rank of a request by its remaining time and its tenant's quota. Requests of a higher rank are sent first.
func (r *request) priority(now time.Duration) int {
	priority := 0
	if r.latestSend() > now || r.class.LateValueShare > 0 {
		priority += 2
	}
	if !r.overQuota {
		priority++
	}
	return priority
}

// shedLoad rejects pending requests that cannot be sent in time: those that will miss their latency target, and the least
// valuable ones if more are pending than the current rate of answers allows.
func (b *Balancer) shedLoad(now time.Duration) {
	b.pendingTime.set(now, b.rateWindow, len(b.pending) > 0)
	for i := len(b.pending) - 1; i >= 0; i-- {
		if b.isLate(now, b.pending[i]) {
			b.rejectPending(now, i)
		}
	}
	for limit := b.maxPending(now); float64(len(b.pending)) > limit; {
		b.rejectPending(now, b.lastPending(now))
	}
}

// isLate reports whether a pending request can no longer get a useful answer.
func (b *Balancer) isLate(now time.Duration, req *request) bool {
	noValueLeft := now >= req.latestSend() && req.class.LateValueShare == 0
	return noValueLeft || now+deadlineReserveTicks*b.tickInterval >= req.deadline
}

// maxPending returns how many requests may be pending. There is no limit until requests have been pending for a while, as only then
// the rate of answers shows what the endpoints can serve. With a limit by the earlier rate, a burst of requests after a quiet time
// or at a new instance was rejected although endpoints were idle.
func (b *Balancer) maxPending(now time.Duration) float64 {
	if b.pendingTime.share < minPendingTime {
		return math.Inf(1)
	}
	return max(maxPendingSeconds*b.servedRate.value(now, b.rateWindow), float64(len(b.listed)))
}

// lastPending returns the index of the pending request that would be sent last.
func (b *Balancer) lastPending(now time.Duration) int {
	last := len(b.pending) - 1
	for i := len(b.pending) - 2; i >= 0; i-- {
		if dispatchedBefore(now, b.pending[last], b.pending[i]) {
			last = i
		}
	}
	return last
}

// rejectPending removes the i-th pending request and gives it its final answer.
func (b *Balancer) rejectPending(now time.Duration, i int) {
	req := b.pending[i]
	b.removePending(i)
	b.finish(now, req)
}

// retryAfter returns the time after which a rejected client should retry: when the requests that are pending and in flight have
// been answered at the current rate or, if this is the only instance and ends before that, when its successor serves. Clients that
// retry sooner find the same queue, or no instance. The time is at most MaxRetryAfter, and 0 if the client is given none.
func (b *Balancer) retryAfter(now time.Duration, c *class) (wait time.Duration) {
	if rate := b.servedRate.value(now, b.rateWindow); rate > 0 {
		ahead := float64(len(b.pending) + b.inFlight)
		wait = seconds(min(ahead/rate, b.settings.MaxRetryAfter.Seconds()))
	}
	if b.settings.Instances == 1 && b.endsBeforeResponse(now+wait, c) {
		wait = min(b.shutdownAt+seconds(successorDelay)-now, b.settings.MaxRetryAfter)
	}
	return wait
}
