package outbound

import (
	"time"

	"quincegap/internal/balancer"
)

// The methods in this file implement balancer.Host: the balancer calls them to carry out its decisions, with the dispatcher's lock held.
var _ balancer.Host = (*serviceBalancer)(nil)

// Send starts an attempt of a request.
func (b *serviceBalancer) Send(id balancer.RequestID, to balancer.EndpointID, _ time.Duration) {
	if r := b.requests[id]; r != nil {
		b.startAttempt(r, to)
	}
}

// Cancel gives up an attempt of a request, because the balancer will send the request to another endpoint or because the request has ended.
// If the request has not ended, the attempt is superseded instead of cancelled.
func (b *serviceBalancer) Cancel(id balancer.RequestID, number int) {
	r := b.requests[id]
	if r == nil || r.attempts.active == nil || r.attempts.active.number != number {
		return
	}
	if r.expired || r.answered {
		b.cancelAttempt(r.attempts.active)
		return
	}
	b.supersede(r)
}

// Reject ends a request that no endpoint can serve. The client should retry after retryAfter.
func (b *serviceBalancer) Reject(id balancer.RequestID, retryAfter time.Duration) {
	b.conclude(id, retryAfter)
}

// Fail ends a request that may have been executed.
func (b *serviceBalancer) Fail(id balancer.RequestID) { b.conclude(id, 0) }

// conclude records that the balancer has given up a request. The request is answered at once, unless a superseded attempt is outstanding,
// whose endpoint may still answer.
func (b *serviceBalancer) conclude(id balancer.RequestID, retryAfter time.Duration) {
	r := b.requests[id]
	if r == nil || r.answered {
		return
	}
	r.concluded = true
	r.retryAfter = retryAfter
	if len(r.attempts.superseded) == 0 {
		r.answerConcluded()
	}
}

// SetTimer calls the balancer's HandleTimer with a token after a delay. Timers are never stopped; the balancer ignores obsolete tokens.
func (b *serviceBalancer) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		b.dispatcher.runLocked(func(now time.Duration) { b.balancer.HandleTimer(now, token) })
	})
}

// FetchEndpoints requests the service's complete list of endpoints again from its registry owners. It does not wait for the list.
func (b *serviceBalancer) FetchEndpoints() {
	if refresh := b.dispatcher.options.RefreshEndpoints; refresh != nil {
		go refresh(b.service)
	}
}

// Log logs a message of the balancer.
func (b *serviceBalancer) Log(text string) {
	b.dispatcher.options.Log.WithField("service", b.service).Info("balancer: " + text)
}

// HealthCheck does nothing: each endpoint's own sidecar monitors and reports its health.
func (b *serviceBalancer) HealthCheck(balancer.EndpointID) {}

// SendToPeer does nothing: balancers in the mesh have no peers.
func (b *serviceBalancer) SendToPeer(int, []byte) {}

// WatchEndpoints does nothing: endpoint lists are pushed to this process.
func (b *serviceBalancer) WatchEndpoints(bool) {}

// CloseIdleConnections does nothing: the endpoint's own sidecar holds its connections.
func (b *serviceBalancer) CloseIdleConnections(balancer.EndpointID) {}
