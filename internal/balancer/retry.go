package balancer

import "time"

// This file decides what is retried: what the rules of a class permit, the retry budget, and the final answer.

const (
	retryBudgetShare = 0.2  // retries earned by each answer
	maxRetryBudget   = 10.0 // retries that may be saved up
)

// retryBudget bounds retries by a share of the answers.
type retryBudget struct {
	tokens         float64 // retries that may be made
	pendingCancels int     // attempts that were cancelled and have not ended: each may become a retry
}

// earn counts an answer.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryBudgetShare, maxRetryBudget) }

// allows reports whether a retry may be made.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

// take counts a retry.
func (b *retryBudget) take() { b.tokens-- }

// coversCancel reports whether the retry of one more attempt that is cancelled is covered, too. Of a crowd of slow attempts that
// were all cancelled at once, those that it did not cover failed, though their answers were near.
func (b *retryBudget) coversCancel() bool { return b.tokens-float64(b.pendingCancels) >= 1 }

// retryPermitted reports whether the rules let a request go to an endpoint.
func (b *Balancer) retryPermitted(now time.Duration, req *request, ep *endpoint) bool {
	switch {
	case req.unrestricted():
		return true
	case !b.retrySafe(now, req):
		return false
	case req.class.KeyScope == KeyScopeCell:
		return ep.cell == req.ranInCell
	case req.class.KeyScope == KeyScopeZone:
		return ep.zone == req.ranInZone
	}
	return true
}

// retrySafe reports whether a request may go to any endpoint at all: not if it may have run and nobody, or nobody any more, drops
// its repeat.
func (b *Balancer) retrySafe(now time.Duration, req *request) bool {
	if req.unrestricted() {
		return true
	}
	return req.class.Idempotency == IdempotentWithKey && now-req.ranAt < req.class.KeyWindow-b.tickInterval
}

// retryOrFinish decides what follows an attempt that was not served: a retry where the rules, the budget and the time allow it,
// else the final answer.
func (b *Balancer) retryOrFinish(now time.Duration, req *request, ep *endpoint, outcome Outcome) {
	req.failedEndpoint = ep
	if !outcome.Status.NeverRan() {
		req.noteRun(ep)
		if !b.retries.allows() || req.class.Idempotency == NonIdempotent {
			b.finish(now, req)
			return
		}
		b.retries.take()
	}
	if outcome.NoRetry || req.attempts >= req.maxAttempts || now+max(b.tickInterval, outcome.Backoff) >= req.deadline {
		b.finish(now, req)
		return
	}
	b.enqueueAfter(now, req, outcome.Backoff)
}

// finish gives the final answer: rejected where a retry is proven harmless, else failed.
func (b *Balancer) finish(now time.Duration, req *request) {
	req.done = true
	if b.retryHarmless(now, req) {
		b.host.Reject(req.id, b.retryAfter(now, req.class))
	} else {
		b.host.Fail(req.id)
	}
	if req.endpoint == nil {
		delete(b.requests, req.id)
	}
}

// retryHarmless reports whether a client may send a request again, to any instance.
func (b *Balancer) retryHarmless(now time.Duration, req *request) bool {
	switch req.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		if req.class.KeyScope == KeyScopeAll && b.retrySafe(now, req) {
			return true
		}
	}
	return !req.mayHaveRun && req.endpoint == nil
}

// cancelAttempt cancels the attempt that is in flight, if that is permitted.
func (b *Balancer) cancelAttempt(req *request) {
	if !b.settings.MayCancel || req.cancelled || req.streaming {
		return
	}
	req.cancelled = true
	b.retries.pendingCancels++
	b.host.Cancel(req.id, req.attempts-1)
}

// canRetryInTime reports whether an attempt that is in flight could be retried, in time, after it is cancelled. Nor is one
// cancelled that could go nowhere then, as the last of its cell drains.
func (b *Balancer) canRetryInTime(now time.Duration, req *request) bool {
	if req.done || req.class.Idempotency == NonIdempotent || req.attempts >= req.maxAttempts {
		return false
	}
	inTime := now+seconds(req.class.latency.base) < req.targetAt
	return inTime && b.retries.coversCancel() && b.hasRetryEndpoint(req)
}

// hasRetryEndpoint reports whether there is any endpoint that a request whose attempt is in flight could go to again, if that may
// have run.
func (b *Balancer) hasRetryEndpoint(req *request) bool {
	if req.class.Idempotency != IdempotentWithKey || req.class.KeyScope == KeyScopeAll {
		return b.index.len() > 0
	}
	zone, cell := req.endpoint.zone, req.endpoint.cell
	if req.mayHaveRun {
		zone, cell = req.ranInZone, req.ranInCell
	}
	if req.class.KeyScope == KeyScopeZone {
		return b.index.perZone[zone] > 0
	}
	return len(b.index.byCell[cell]) > 0
}
