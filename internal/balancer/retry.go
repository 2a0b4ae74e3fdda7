package balancer

import "time"

// This file decides which requests are retried, by the rules of their class and the retry budget, and gives the final answer.

const (
	retryBudgetShare = 0.2  // number of retries that each answer earns
	maxRetryBudget   = 10.0 // largest number of retries in the budget
)

// retryBudget limits retries to a share of the answers.
type retryBudget struct {
	tokens         float64 // number of retries that may be made
	pendingCancels int     // number of cancelled attempts without an outcome yet, each of which may lead to a retry
}

// earn adds to the budget for an answer.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryBudgetShare, maxRetryBudget) }

// allows reports whether a retry may be made.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

// take takes one retry from the budget.
func (b *retryBudget) take() { b.tokens-- }

// coversCancel reports whether the budget covers the retry of one more cancelled attempt. Without this check, many slow attempts
// were cancelled at once, and those whose retry the budget did not cover failed although their answers were about to arrive.
func (b *retryBudget) coversCancel() bool { return b.tokens-float64(b.pendingCancels) >= 1 }

// sendPermitted reports whether the rules of a request's class allow it to be sent to an endpoint.
func (b *Balancer) sendPermitted(now time.Duration, req *request, ep *endpoint) bool {
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

// retrySafe reports whether the rules of a request's class allow it to be sent at all. They do not if the request may have run and
// no endpoint would recognize it as a repeat.
func (b *Balancer) retrySafe(now time.Duration, req *request) bool {
	if req.unrestricted() {
		return true
	}
	return req.class.Idempotency == IdempotentWithKey && now-req.ranAt < req.class.KeyWindow-b.tickInterval
}

// retryOrFinish handles the end of an attempt that did not finish its request. It retries the request if the rules, the budget and
// the time allow it, and gives the final answer otherwise.
func (b *Balancer) retryOrFinish(now time.Duration, req *request, ep *endpoint, outcome Outcome) {
	req.failedEndpoint = ep
	if !outcome.Status.NeverRan() {
		req.recordRun(ep)
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

// finish gives the final answer to a request: it is rejected if a retry by the client is known to be harmless, and fails otherwise.
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

// retryHarmless reports whether the client can safely send a request again, to any instance.
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

// cancelAttempt cancels a request's attempt in flight, if the settings permit it and no streamed response has started.
func (b *Balancer) cancelAttempt(req *request) {
	if !b.settings.MayCancel || req.cancelled || req.streaming {
		return
	}
	req.cancelled = true
	b.retries.pendingCancels++
	b.host.Cancel(req.id, req.attempts-1)
}

// canRetryInTime reports whether a request could be retried in time if its attempt in flight were cancelled. It could not if there
// is no endpoint that it may use, for example after the last one of its cell has drained.
func (b *Balancer) canRetryInTime(now time.Duration, req *request) bool {
	if req.done || req.class.Idempotency == NonIdempotent || req.attempts >= req.maxAttempts {
		return false
	}
	inTime := now+seconds(req.class.latency.base) < req.targetAt
	return inTime && b.retries.coversCancel() && b.hasRetryEndpoint(req)
}

// hasRetryEndpoint reports whether there is an endpoint that a request may use if its attempt in flight has run.
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
