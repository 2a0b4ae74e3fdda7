package balancer

import (
	"cmp"
	"time"
)

// This file sends pending requests to endpoints.

// dispatch sends pending requests in order of their priority while the limits allow it, and rejects those that cannot be sent in
// time.
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

// dispatchNext sends one pending request. It returns false if no endpoint can take any of them.
func (b *Balancer) dispatchNext(now time.Duration) bool {
	first := b.nextPending(now)
	if b.dispatchTo(now, first) {
		return true
	}
	// A retry may be limited to some endpoints, or excluded from one, so it may find no endpoint although another request would.
	// If a first attempt finds none, no other request does.
	if req := b.pending[first]; req.attempts == 0 && !req.mayHaveRun {
		return false
	}
	for i := range b.pending {
		if i != first && b.dispatchTo(now, i) {
			return true
		}
	}
	return false
}

// dispatchTo sends the i-th pending request and reports whether an endpoint had capacity for it.
func (b *Balancer) dispatchTo(now time.Duration, i int) bool {
	req := b.pending[i]
	ep, trial := b.pick(now, req)
	if ep == nil {
		return false
	}
	b.removePending(i)
	b.send(now, req, ep, trial)
	return true
}

// send sends an attempt of a request to an endpoint. A trial is an attempt whose success ends the ejection of the endpoint.
func (b *Balancer) send(now time.Duration, req *request, ep *endpoint, trial bool) {
	req.endpoint = ep
	req.sentAt = now
	req.trial = trial
	req.responsesAtSend = b.outliers.responses
	req.cancelled = false
	req.lost = false
	req.overdue = false
	req.overtaken = 0
	req.attempts++
	b.sends.take()
	b.rejections.RecordAttempt()
	if ep.availability != ejected {
		b.inFlight++
	}
	ep.calls = append(ep.calls, req)
	b.busy.update(ep)
	switch ep.availability {
	case warmingUp:
		ep.slowStartTokens--
	case ejected:
		b.refreshPools(now, ep)
	}
	b.countAvailableSend(now, ep)
	b.host.Send(req.id, ep.id, b.timeout(now, req))
}

// timeout returns how long an attempt may take, or 0 if only the client's deadline limits it. If attempts cannot be cancelled, an
// attempt that may be retried times out when its endpoint would count as unresponsive.
func (b *Balancer) timeout(now time.Duration, req *request) time.Duration {
	timeout := req.attemptTimeout
	if !b.settings.MayCancel && req.class.Idempotency != NonIdempotent {
		unresponsive := seconds(unresponsiveTails * req.class.latency.tailRatio * req.class.latency.mean)
		if unresponsive > 0 {
			timeout = min(unresponsive, cmp.Or(timeout, unresponsive))
		}
	}
	if timeout >= req.deadline-now {
		return 0
	}
	return timeout
}
