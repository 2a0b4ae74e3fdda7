package balancer

import "time"

// This file decides what goes out again: what the rules permit, the budget, lost calls, and the final answer.

const (
	retryBudgetShare = 0.2  // further attempts earned by each answered call
	maxRetryBudget   = 10.0 // and how many may be saved up

	lossRateWeight   = 0.05 // of one call in an endpoint's share of lost ones: two in a row pass lossyRate
	lossyRate        = 0.12 // share of calls that an endpoint loses, not one that is slow now and then
	stuckTails       = 0.6  // tails (see initialTailRatio) until a call that so many later ones overtook leaves room,
	lostTails        = 1.1  // and until it counts as lost
	overdueTails     = 1.5  // and until it is sent again, where most that count as lost go unanswered until then
	overdueWeight    = 0.3  // of one call that counts as lost, in the fleet's share of those that do
	overdueThreshold = 0.6  // that share from which on it is; at first it is taken for a half
)

// retryPermitted tells whether the rules let a request go to an endpoint.
func (b *Balancer) retryPermitted(now time.Duration, r *request, e *endpoint) bool {
	switch {
	case !r.mayHaveRun || r.class.Idempotency == Idempotent:
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

// retrySafe tells whether a request may go to any endpoint at all: not if it may have run and nobody, or
// nobody any more, drops its repeat.
func (b *Balancer) retrySafe(now time.Duration, r *request) bool {
	return !r.mayHaveRun || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && now-r.ranAt < r.class.KeyWindow-b.tickInterval
}

// retryOrFinish decides what follows an attempt that was not served: another one where the rules, the budget and
// the time allow it, else the final answer.
func (b *Balancer) retryOrFinish(now time.Duration, r *request, e *endpoint, o Outcome) {
	r.failedEndpoint = e
	if !o.Status.NeverRan() {
		if !r.mayHaveRun {
			r.mayHaveRun, r.ranInZone, r.ranInCell, r.ranAt = true, e.zone, e.cell, r.sentAt
		}
		if b.retryBudget < 1 || r.class.Idempotency == NonIdempotent {
			b.finish(now, r)
			return
		}
		b.retryBudget--
	}
	if o.NoRetry || r.attempts >= r.maxAttempts || now+max(b.tickInterval, o.Backoff) >= r.deadline {
		b.finish(now, r)
		return
	}
	b.enqueueAfter(now, r, o.Backoff)
}

// finish gives the final answer: refused where a repeat is proven harmless, else failed.
func (b *Balancer) finish(now time.Duration, r *request) {
	r.done = true
	if !r.mayHaveRun && r.endpoint == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeAll && b.retrySafe(now, r) {
		b.host.Reject(r.id, b.retryAfter(now, r.class))
	} else {
		b.host.Fail(r.id)
	}
	if r.endpoint == nil {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) cancelAttempt(r *request) {
	if b.settings.MayCancel && !r.cancelled && !r.streaming {
		r.cancelled = true
		b.pendingCancels++
		b.host.Cancel(r.id, r.attempts-1)
	}
}

// canRetryInTime tells whether a call that is out could be sent again, in time, after it is withdrawn. Each that
// is on its way back will take of the budget: of a crowd of slow calls that were all called off at once,
// those that it did not cover failed, though their answers were near. Nor is one called off that could go
// nowhere then, as the last of its cell drains.
func (b *Balancer) canRetryInTime(now time.Duration, r *request) bool {
	return !r.done && r.class.Idempotency != NonIdempotent && b.retryBudget-float64(b.pendingCancels) >= 1 && b.hasRetryEndpoint(r) &&
		now+seconds(r.class.baseLatency) < r.targetAt && r.attempts < r.maxAttempts
}

// countOvertaken notes that a call was answered before others that were sent earlier.
func (b *Balancer) countOvertaken(by *request) {
	for _, e := range b.busy {
		for _, r := range e.calls {
			if r.sentAt >= by.sentAt {
				break
			}
			r.overtaken++
		}
	}
}

// detectLost looks for calls that an endpoint has lost, though it answers others: out for longer than hardly any,
// and overtaken. They are sent again while there is time, and do not use up the limit: the limit falls as
// answers fail to come. That serves for lost answers, mute connections and stuck tiers below alike. Where all
// turn slow at once, some slow calls run twice.
func (b *Balancer) detectLost(now time.Duration, e *endpoint) {
	e.lostCalls = 0
	for _, r := range e.calls {
		age, long := now-r.sentAt, r.class.tailRatio*r.class.meanLatency
		if r.overtaken < minOtherResponses || age <= seconds(stuckTails*long) {
			continue
		}
		e.lostCalls++
		if !r.lost && age > seconds(lostTails*long) {
			r.lost = true
			e.lossRate += lossRateWeight * (1 - e.lossRate)
		}
		if !r.overdue && age > seconds(overdueTails*long) {
			r.overdue = true
			b.overdueShare += overdueWeight * (1 - b.overdueShare)
		}
		if (r.lost && e.lossRate > lossyRate || r.overdue && b.overdueShare > overdueThreshold) && b.canRetryInTime(now, r) {
			b.cancelAttempt(r)
		}
	}
	if e.availability != ejected {
		b.lostInFlight += e.lostCalls
	}
}
