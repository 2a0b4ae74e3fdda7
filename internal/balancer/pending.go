package balancer

import (
	"math"
	"time"
)

// This file orders the pending requests, and decides which of them are rejected (load shedding).

const (
	targetSlackMeans     = 1.8  // mean latencies that must be left until the latency target when a request is sent
	maxPendingSeconds    = 2.0  // seconds of requests, at the present rate of answers, that may be pending
	minPendingTime       = 0.2  // of a rate window in which requests were pending, until it is known how many are worked off
	retryElapsedWeight   = 0.05 // of one retry in the mean time that had elapsed for clients' retries
	firstAttemptShare    = 0.97 // of the longest time left that was seen: a shorter one is that of a retry
	deadlineReserveTicks = 2    // ticks before its deadline at which a pending request gets its final answer
)

// latestSend is until when a request must be sent to be answered within its latency target, slow as it may be.
func (r *request) latestSend() time.Duration {
	return r.targetAt - seconds(targetSlackMeans*r.class.latency.mean)
}

// elapsedForClient is a lower bound of the time that had passed for the client when the request arrived. Clients' attempts begin
// with the same time left; a shorter one is that of a retry, or of work in the tiers above.
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
		// It came before, by about as much as those that show it. Taken for new, retries would fill an overloaded tier with
		// requests whose latency target has passed.
		return seconds(b.retryElapsed)
	}
	return 0
}

// nextPending is the pending request to send first.
func (b *Balancer) nextPending(now time.Duration) int {
	best := 0
	for i := 1; i < len(b.pending); i++ {
		if dispatchedBefore(now, b.pending[i], b.pending[best]) {
			best = i
		}
	}
	return best
}

// dispatchedBefore reports whether one pending request is sent before another: one that can still be answered within its latency
// target before one that cannot, one within its tenant's quota before one beyond, one of a class that adds more to what is
// optimized, then the one that must be sent first to be in time.
func dispatchedBefore(now time.Duration, a, b *request) bool {
	if pa, pb := a.priority(now), b.priority(now); pa != pb {
		return pa > pb
	}
	if va, vb := a.class.marginalValue*a.valueFactor, b.class.marginalValue*b.valueFactor; va != vb {
		return va > vb
	}
	return a.latestSend() < b.latestSend()
}

// priority ranks a request by its time and its tenant's quota.
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

// shedLoad rejects what is pending beyond what can be sent in time: what will miss its latency target, and the least valuable when
// more is pending than the present rate of answers works off.
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

// isLate reports whether there is no use in a pending request's waiting on.
func (b *Balancer) isLate(now time.Duration, req *request) bool {
	worthless := now >= req.latestSend() && req.class.LateValueShare == 0
	return worthless || now+deadlineReserveTicks*b.tickInterval >= req.deadline
}

// maxPending is how many requests may be pending. The rate at which they are worked off is known only where some have waited for
// a while: by what was answered before, callers who came all at once, after a quiet time or to an instance that has just started,
// were rejected beside idle endpoints.
func (b *Balancer) maxPending(now time.Duration) float64 {
	if b.pendingTime.share < minPendingTime {
		return math.Inf(1)
	}
	return max(maxPendingSeconds*b.servedRate.value(now, b.rateWindow), float64(len(b.listed)))
}

// lastPending is the pending request that would be sent last.
func (b *Balancer) lastPending(now time.Duration) int {
	last := len(b.pending) - 1
	for i := len(b.pending) - 2; i >= 0; i-- {
		if dispatchedBefore(now, b.pending[last], b.pending[i]) {
			last = i
		}
	}
	return last
}

// rejectPending gives the i-th pending request its final answer.
func (b *Balancer) rejectPending(now time.Duration, i int) {
	req := b.pending[i]
	b.removePending(i)
	b.finish(now, req)
}

// retryAfter is when a rejected client should ask again: when what is pending and in flight now will have been answered at the
// present rate, or, where that outlasts the only instance, when its successor serves. Clients that come sooner find the same
// queue, or nobody; 0 gives no advice.
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
