package outbound

import (
	"time"

	"quincegap/internal/balancer"
)

// The methods of this file make serviceBalancer the balancer's host (balancer.Host). The dispatcher's lock is held.
var _ balancer.Host = (*serviceBalancer)(nil)

// Send makes an attempt of a request.
func (b *serviceBalancer) Send(id balancer.RequestID, to balancer.EndpointID, _ time.Duration) {
	if r := b.requests[id]; r != nil {
		b.startAttempt(r, to)
	}
}

// Cancel gives up an attempt of a request that the balancer wants to send elsewhere, or that has no client any more.
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

// Reject is the balancer's final answer to a request that no endpoint serves.
func (b *serviceBalancer) Reject(id balancer.RequestID, retryAfter time.Duration) {
	b.conclude(id, retryAfter)
}

// Fail is the balancer's final answer to a request of which it promises nothing.
func (b *serviceBalancer) Fail(id balancer.RequestID) { b.conclude(id, 0) }

// conclude takes the balancer's final answer. While a superseded attempt is under way, its endpoint may still answer.
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

// SetTimer has the balancer's HandleTimer called after a time. Its timers are never stopped; one that comes late does nothing.
func (b *serviceBalancer) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		b.dispatcher.runLocked(func(now time.Duration) { b.balancer.HandleTimer(now, token) })
	})
}

// FetchEndpoints fetches the list of endpoints anew from the service's registry owners.
func (b *serviceBalancer) FetchEndpoints() {
	if refresh := b.dispatcher.options.RefreshEndpoints; refresh != nil {
		go refresh(b.service)
	}
}

// Log writes what the balancer has to say.
func (b *serviceBalancer) Log(text string) {
	b.dispatcher.options.Log.WithField("service", b.service).Info("balancer: " + text)
}

// HealthCheck does nothing: the endpoints' own sidecars vouch for them.
func (b *serviceBalancer) HealthCheck(balancer.EndpointID) {}

// SendToPeer does nothing: balancers of the mesh have no peers.
func (b *serviceBalancer) SendToPeer(int, []byte) {}

// WatchEndpoints does nothing: lists of endpoints are pushed.
func (b *serviceBalancer) WatchEndpoints(bool) {}

// CloseIdleConnections does nothing: the endpoint's own sidecar holds its connections.
func (b *serviceBalancer) CloseIdleConnections(balancer.EndpointID) {}
