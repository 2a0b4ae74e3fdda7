package outbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

// allowNextAttempt reports whether the balancer may start another attempt of a request after a response. next is what may follow the
// response. final reports whether the request is answered, so that no attempt follows and the retry budget is not charged. Otherwise, if
// the ended attempt has reached an endpoint, the next attempt is charged to the fleet's retry budget.
func (b *serviceBalancer) allowNextAttempt(
	now time.Duration, pending *request, response *inbound.ForwardResponse, next outcome.Next, final bool,
) bool {
	mayRunTwice := pending.attempts.mayHaveExecuted && !pending.route.Kind.IsIdempotent()
	switch {
	case pending.expired || next == outcome.Stop || mayRunTwice:
		return false
	case final:
		return true
	case pending.attempts.sent >= maxAttempts:
		return false
	case !response.ReachedEndpoint:
		return true
	}
	return b.acquireRetry(now, pending)
}

// acquireRetry charges one attempt of a request to the fleet's retry budget. It returns false if the budget is exhausted, or if the request
// already has as many attempts that reached an endpoint as its route allows; attempts in flight count as having reached one.
func (b *serviceBalancer) acquireRetry(now time.Duration, pending *request) bool {
	if pending.attempts.reached+pending.attempts.inFlight() >= max(pending.route.MaxAttempts, 1) {
		return false
	}
	bounds := &b.dispatcher.options.Bounds
	return b.retryBudget.Acquire(now, bounds.RetryBudgetRatio, bounds.RetryBudgetSlack, b.dispatcher.sidecarCount)
}
