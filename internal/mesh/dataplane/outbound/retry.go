package outbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

// allowNextAttempt decides whether the balancer may make a further attempt after one that ended so. If that attempt reached an endpoint,
// the next one has to be acquired out of the fleet's retry budget. After a final outcome the balancer makes none, and none is acquired.
func (b *serviceBalancer) allowNextAttempt(now time.Duration, r *request, response *inbound.ForwardResponse, next outcome.Next, final bool) bool {
	unsafe := r.attempts.mayHaveExecuted && !r.route.Kind.IsIdempotent()
	switch {
	case r.expired || next == outcome.Stop || unsafe:
		return false
	case final:
		return true
	case r.attempts.sent >= maxAttempts:
		return false
	case !response.ReachedEndpoint:
		return true
	}
	return b.acquireRetry(now, r)
}

// acquireRetry acquires one more attempt for a request: within its route's bound on attempts that reach an endpoint, and out of the
// fleet's retry budget. It returns false if there is none to be had. An attempt that is under way counts as one that reaches an endpoint.
func (b *serviceBalancer) acquireRetry(now time.Duration, r *request) bool {
	if r.attempts.reached+r.attempts.underWay() >= max(r.route.MaxAttempts, 1) {
		return false
	}
	bounds := &b.dispatcher.options.Bounds
	return b.retryBudget.Acquire(now, bounds.RetryBudgetRatio, bounds.RetryBudgetSlack, b.dispatcher.sidecarCount)
}
