package balancer

import (
	"cmp"
	"time"
)

// This file sends pending requests to endpoints.

// dispatch sends pending requests, in the order of their priority, while the limits allow it, and sheds those that cannot be sent
// in time.
func (b *Balancer) dispatch(now time.Duration) {
	b.enqueueDue(now)
	b.advanceSlowStarts(now)
	if b.subset.stale {
		b.updateSubset(now)
	}
	b.updateLimits(now)
	if len(b.pending) > 1 {
		b.updateClassValues()
	}
	for len(b.pending) > 0 && !b.limitReached() {
		if !b.dispatchNext(now) {
			break
		}
	}
	b.shedLoad(now)
}

// dispatchNext sends one pending request; false if none can go anywhere.
func (b *Balancer) dispatchNext(now time.Duration) bool {
	first := b.nextPending(now)
	if b.dispatchTo(now, first) {
		return true
	}
	// A retry is bound to a group of endpoints, or barred from one, and may have nowhere to go where another request has. A
	// first attempt that has nowhere to go says the same of all others.
	if r := b.pending[first]; r.attempts == 0 && !r.mayHaveRun {
		return false
	}
	for i := range b.pending {
		if i != first && b.dispatchTo(now, i) {
			return true
		}
	}
	return false
}

// dispatchTo sends the i-th pending request, if an endpoint has capacity for it.
func (b *Balancer) dispatchTo(now time.Duration, i int) bool {
	r := b.pending[i]
	e, trial := b.pick(now, r)
	if e == nil {
		return false
	}
	b.removePending(i)
	b.send(now, r, e, trial)
	return true
}

// send makes an attempt.
func (b *Balancer) send(now time.Duration, r *request, e *endpoint, trial bool) {
	r.endpoint, r.sentAt, r.trial = e, now, trial
	r.responsesAtSend = b.outliers.responses
	r.cancelled, r.lost, r.overdue, r.overtaken = false, false, false, 0
	r.attempts++
	b.sends.take()
	b.rejections.RecordAttempt()
	if e.availability != ejected {
		b.inFlight++
	}
	e.calls = append(e.calls, r)
	b.busy.update(e)
	switch e.availability {
	case warmingUp:
		e.slowStartTokens--
	case ejected:
		b.refreshPools(now, e)
	}
	b.countAvailableSend(now, e)
	b.host.Send(r.id, e.id, b.timeout(now, r))
}

// timeout is how long an attempt may take; 0 for until the client's deadline. Where attempts cannot be cancelled, one that may be
// retried ends once it is unresponsive.
func (b *Balancer) timeout(now time.Duration, r *request) time.Duration {
	timeout := r.attemptTimeout
	if !b.settings.MayCancel && r.class.Idempotency != NonIdempotent {
		unresponsive := seconds(unresponsiveTails * r.class.latency.tailRatio * r.class.latency.mean)
		if unresponsive > 0 {
			timeout = min(unresponsive, cmp.Or(timeout, unresponsive))
		}
	}
	if timeout >= r.deadline-now {
		return 0
	}
	return timeout
}
