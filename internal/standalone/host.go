package standalone

import (
	"log"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/http1"
)

// The methods in this file implement balancer.Host. They never block and never call the Balancer.

// Send sends the next attempt of a request. With a timeout of 0 only the deadline of the request limits it.
func (l *loop) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	r := l.requests[id]
	a := newAttempt(r, l.endpoints.byID[to], timeout, &l.bodyBudget)
	r.attempts++
	r.retryReserved = false
	r.inFlight = a
	if l.memory != nil {
		a.gate = l.memory.beginAttempt(l.now(), r, a.Endpoint)
	}
	l.scheduleHedge(a)
	l.dispatch(a, l.transports.choose(l.now(), a.Endpoint))
}

// Reject answers a request that has not run with a rejection.
func (l *loop) Reject(id balancer.RequestID, retryAfter time.Duration) {
	l.endRequest(id, answer{rejected: true, retryAfter: retryAfter})
}

// Fail answers a request that may have run with a failure.
func (l *loop) Fail(id balancer.RequestID) { l.endRequest(id, answer{}) }

// Cancel cancels an attempt that is still in flight. Its outcome is reported to the Balancer later.
func (l *loop) Cancel(id balancer.RequestID, number int) {
	if r := l.requests[id]; r != nil && r.inFlight != nil && r.inFlight.number == number {
		r.inFlight.cancel()
	}
}

// SetTimer calls the Balancer's HandleTimer after a duration.
func (l *loop) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		l.post(func() { l.balancer.HandleTimer(l.now(), token) })
	})
}

// HealthCheck sends a health check to an endpoint. Its result is reported to the Balancer later.
func (l *loop) HealthCheck(to balancer.EndpointID) {
	e := l.endpoints.byID[to]
	if e == nil {
		return
	}
	sent := time.Now()
	go func() {
		status := http1.Probe(e, l.config.Settings.ConnectTimeout)
		l.post(func() {
			result := balancer.HealthCheckResult{Endpoint: to, Status: status, Elapsed: time.Since(sent)}
			l.balancer.HandleHealthCheck(l.now(), result)
		})
	}()
}

// SendToPeer does nothing: the Balancer of a standalone sidecar sends no messages to peers.
func (l *loop) SendToPeer(int, []byte) {}

// WatchEndpoints starts or stops the watch on discovery. The Balancer calls it if the settings have it decide when to watch.
func (l *loop) WatchEndpoints(on bool) {
	l.watcher.stop()
	if on {
		l.watcher.start(l.versionFilter.WatchFrom())
	}
}

// FetchEndpoints requests the complete list from discovery once.
func (l *loop) FetchEndpoints() {
	if l.config.Discovery != "" { // otherwise Consul is the only source
		l.watcher.fetch()
	}
}

// CloseIdleConnections closes the idle connections to an endpoint.
func (l *loop) CloseIdleConnections(to balancer.EndpointID) {
	l.transports.closeIdle(l.endpoints.byID[to])
}

// Log logs a line of the Balancer.
func (l *loop) Log(text string) { log.Print(text) }
