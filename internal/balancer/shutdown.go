package balancer

import (
	"math"
	"time"
)

// This file decides what an instance that shuts down still takes.

const (
	successorDelay     = 1.5 // seconds from an instance's end until the next one serves in its place
	minIdleConnections = 3   // callers' connections that the only instance keeps idle once it is to end
)

// never is the time of what is not going to happen.
const never time.Duration = math.MaxInt64

// ShutDownAt says when this instance ends. All that it has or takes is answered by then: what can hardly be served in time is
// rejected at once. Attempts that are in flight then are the host's to end.
func (b *Balancer) ShutDownAt(now, at time.Duration) {
	b.shutdownAt = at
	for _, req := range b.requests {
		req.deadline = min(req.deadline, at)
		req.targetAt = min(req.targetAt, at)
	}
	b.dispatch(now)
}

// shuttingDown reports whether the instance's end is known.
func (b *Balancer) shuttingDown() bool { return b.shutdownAt < never }

// rejectsForShutdown reports whether an instance that ends rejects a request: for want of time, or, as the only one, of
// connections. Callers open no more; who finds all in use, by a burst or by slow endpoints, finds nobody and stops looking. Where
// callers do open more, some are rejected in vain.
func (b *Balancer) rejectsForShutdown(now time.Duration, c *class, idleConnections int) bool {
	if b.endsBeforeResponse(now, c) {
		return true
	}
	return b.shuttingDown() && b.settings.Instances == 1 && idleConnections < minIdleConnections
}

// endsBeforeResponse reports whether this instance ends before a request that is sent at a time is answered, slow as it may be.
func (b *Balancer) endsBeforeResponse(at time.Duration, c *class) bool {
	return at+seconds(targetSlackMeans*c.latency.mean) >= b.shutdownAt
}
