package outbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

// noRetry reports whether no further attempt may follow one that ended so. It acquires a retry out of the fleet's budget if one may.
func (b *serviceBalancer) noRetry(now time.Duration, r *request, response *inbound.ForwardResponse, next outcome.Next, final bool) bool {
	switch {
	case r.expired || next == outcome.Stop || r.attempts.mayHaveExecuted && !r.route.Kind.IsIdempotent():
		return true
	case final:
		return false
	case r.attempts.sent >= maxAttempts:
		return true
	case !response.ReachedEndpoint:
		return false
	}
	return !b.acquireRetry(now, r, 0)
}

// acquireRetry reports whether a request may reach one more endpoint: by its route's bound on attempts, and by the fleet's retry budget,
// out of which it acquires one. An attempt that is under way counts as one that reaches an endpoint: more is how many there are beside
// the superseded ones.
func (b *serviceBalancer) acquireRetry(now time.Duration, r *request, more int) bool {
	bounds := &b.dispatcher.options.Bounds
	reaching := r.attempts.reached + len(r.attempts.superseded) + more
	return reaching < max(r.route.MaxAttempts, 1) &&
		b.retryBudget.Acquire(now, bounds.RetryBudgetRatio, bounds.RetryBudgetSlack, b.dispatcher.sidecarCount)
}
