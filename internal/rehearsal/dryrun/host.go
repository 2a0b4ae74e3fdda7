package dryrun

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
)

// Send implements balancer.Host: it sends an attempt of a request to a server.
func (i *instance) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	sim, request := i.sim, i.requests[id]
	sim.attempts++
	if i.balancer.Ejected(to) {
		sim.record(audit.Event{
			Kind: audit.EjectedAttempted, Request: request.request, Sidecar: i.index, Server: i.serverByID[to], Origin: request.origin,
		})
	}
	a := &attempt{id: sim.attempts, number: request.attempts, request: request, server: sim.servers[i.serverByID[to]], sentAt: sim.now}
	request.attempts++
	request.pending = a
	deadline := request.deadline
	if timeout > 0 {
		deadline = min(deadline, sim.now+timeout)
	}
	sim.scheduleAfter(toServer, a.arrive)
	sim.schedule(deadline, func() { a.finishAtInstance(balancer.StatusTimeout) })
}

// Reject implements balancer.Host: it answers a request with status 503, which promises that it had no effect.
func (i *instance) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if r := i.requests[id]; r != nil {
		r.answer(statusServiceUnavailable, retryAfter, false)
		r.release()
	}
}

// Fail implements balancer.Host: it answers a request with status 502.
func (i *instance) Fail(id balancer.RequestID) {
	if r := i.requests[id]; r != nil {
		r.answer(statusBadGateway, 0, false)
		r.release()
	}
}

// Cancel implements balancer.Host: it cancels an attempt that is in flight.
func (i *instance) Cancel(id balancer.RequestID, number int) {
	if r := i.requests[id]; r != nil && r.pending != nil && r.pending.number == number {
		a := r.pending
		i.sim.scheduleAfter(0, func() { a.finishAtInstance(balancer.StatusCancelled) }) // not now: the module is not reentrant
	}
}

// SetTimer implements balancer.Host: it calls the timer handler of the decision module later, unless the instance has ended by then.
func (i *instance) SetTimer(token uint64, after time.Duration) {
	incarnation := i.incarnation
	i.sim.scheduleAfter(after, func() {
		if i.incarnation == incarnation && i.up {
			i.sim.decisions++
			i.balancer.HandleTimer(i.clock(), token)
		}
	})
}

// recordListRequest records that the instance requests a list. It has no other effect, because updates are always pushed.
func (i *instance) recordListRequest() {
	i.sim.record(audit.Event{Kind: audit.ListRequested, Sidecar: i.index, Server: -1, Origin: -1})
}

// HealthCheck implements balancer.Host. It does nothing, because virtual time has no health checks.
func (i *instance) HealthCheck(balancer.EndpointID) {}

// SendToPeer implements balancer.Host. It does nothing, because instances don't discover each other in virtual time.
func (i *instance) SendToPeer(int, []byte) {}

// WatchEndpoints implements balancer.Host: it records a request for a list.
func (i *instance) WatchEndpoints(bool) { i.recordListRequest() }

// FetchEndpoints implements balancer.Host: it records a request for a list.
func (i *instance) FetchEndpoints() { i.recordListRequest() }

// CloseIdleConnections implements balancer.Host. It does nothing, because the cost of connections is not modelled.
func (i *instance) CloseIdleConnections(balancer.EndpointID) {}

// Log implements balancer.Host. It discards the message.
func (i *instance) Log(string) {}
