package balancer

import "time"

// This file decides what is retried: what the rules of a class permit, the retry budget, and the final answer.

const (
	retryBudgetShare = 0.2  // retries earned by each answer
	maxRetryBudget   = 10.0 // and how many may be saved up
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
func (b *Balancer) retryPermitted(now time.Duration, r *request, e *endpoint) bool {
	switch {
	case r.unrestricted():
		return true
	case !b.retrySafe(now, r):
		return false
	case r.class.KeyScope == KeyScopeCell:
		return e.cell == r.ranInCell
	case r.class.KeyScope == KeyScopeZone:
		return e.zone == r.ranInZone
	}
	return true
}

// retrySafe reports whether a request may go to any endpoint at all: not if it may have run and nobody, or nobody any more, drops
// its repeat.
func (b *Balancer) retrySafe(now time.Duration, r *request) bool {
	if r.unrestricted() {
		return true
	}
	return r.class.Idempotency == IdempotentWithKey && now-r.ranAt < r.class.KeyWindow-b.tickInterval
}

// retryOrFinish decides what follows an attempt that was not served: a retry where the rules, the budget and the time allow it,
// else the final answer.
func (b *Balancer) retryOrFinish(now time.Duration, r *request, e *endpoint, o Outcome) {
	r.failedEndpoint = e
	if !o.Status.NeverRan() {
		r.noteRun(e)
		if !b.retries.allows() || r.class.Idempotency == NonIdempotent {
			b.finish(now, r)
			return
		}
		b.retries.take()
	}
	if o.NoRetry || r.attempts >= r.maxAttempts || now+max(b.tickInterval, o.Backoff) >= r.deadline {
		b.finish(now, r)
		return
	}
	b.enqueueAfter(now, r, o.Backoff)
}

// finish gives the final answer: rejected where a retry is proven harmless, else failed.
func (b *Balancer) finish(now time.Duration, r *request) {
	r.done = true
	if b.retryHarmless(now, r) {
		b.host.Reject(r.id, b.retryAfter(now, r.class))
	} else {
		b.host.Fail(r.id)
	}
	if r.endpoint == nil {
		delete(b.requests, r.id)
	}
}

// retryHarmless reports whether a client may send a request again, to any instance.
func (b *Balancer) retryHarmless(now time.Duration, r *request) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		if r.class.KeyScope == KeyScopeAll && b.retrySafe(now, r) {
			return true
		}
	}
	return !r.mayHaveRun && r.endpoint == nil
}

// cancelAttempt cancels the attempt that is in flight, if that is permitted.
func (b *Balancer) cancelAttempt(r *request) {
	if !b.settings.MayCancel || r.cancelled || r.streaming {
		return
	}
	r.cancelled = true
	b.retries.pendingCancels++
	b.host.Cancel(r.id, r.attempts-1)
}

// canRetryInTime reports whether an attempt that is in flight could be retried, in time, after it is cancelled. Nor is one
// cancelled that could go nowhere then, as the last of its cell drains.
func (b *Balancer) canRetryInTime(now time.Duration, r *request) bool {
	if r.done || r.class.Idempotency == NonIdempotent || r.attempts >= r.maxAttempts {
		return false
	}
	inTime := now+seconds(r.class.latency.base) < r.targetAt
	return inTime && b.retries.coversCancel() && b.hasRetryEndpoint(r)
}

// hasRetryEndpoint reports whether there is any endpoint that a request whose attempt is in flight could go to again, if that may
// have run.
func (b *Balancer) hasRetryEndpoint(r *request) bool {
	if r.class.Idempotency != IdempotentWithKey || r.class.KeyScope == KeyScopeAll {
		return b.index.len() > 0
	}
	zone, cell := r.endpoint.zone, r.endpoint.cell
	if r.mayHaveRun {
		zone, cell = r.ranInZone, r.ranInCell
	}
	if r.class.KeyScope == KeyScopeZone {
		return b.index.perZone[zone] > 0
	}
	return len(b.index.byCell[cell]) > 0
}
