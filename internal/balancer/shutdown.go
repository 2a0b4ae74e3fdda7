package balancer

import (
	"math"
	"time"
)

// This file decides which requests an instance still accepts while it shuts down.

const (
	successorDelay     = 1.5 // time from an instance's end until its successor serves, in seconds
	minIdleConnections = 3   // number of callers' idle connections below which the only instance rejects requests during shutdown
)

// never is the time of an event that is not expected.
const never time.Duration = math.MaxInt64

// ShutDownAt sets the time at which this instance ends. All requests get their final answer by then. Those that can hardly be
// served in time are rejected at once. The host ends attempts that are still in flight at that time.
func (b *Balancer) ShutDownAt(now, at time.Duration) {
	b.shutdownAt = at
	for _, req := range b.requests {
		req.deadline = min(req.deadline, at)
		req.targetAt = min(req.targetAt, at)
	}
	b.dispatch(now)
}

// shuttingDown reports whether the time of the instance's end is known.
func (b *Balancer) shuttingDown() bool { return b.shutdownAt < never }

// rejectsForShutdown reports whether an instance that shuts down rejects a request, because there is too little time or, if it is
// the only instance, because there are too few idle connections. Callers open no new connections to an instance that shuts down. A
// caller that finds all connections in use, in a burst or because endpoints are slow, gives up. If callers do open new
// connections, some requests are rejected unnecessarily.
func (b *Balancer) rejectsForShutdown(now time.Duration, c *class, idleConnections int) bool {
	if b.endsBeforeResponse(now, c) {
		return true
	}
	return b.shuttingDown() && b.settings.Instances == 1 && idleConnections < minIdleConnections
}

// endsBeforeResponse reports whether this instance ends before a slow response to a request sent at the given time would arrive.
func (b *Balancer) endsBeforeResponse(at time.Duration, c *class) bool {
	return at+seconds(targetSlackMeans*c.latency.mean) >= b.shutdownAt
}
