package assembly

import (
	"context"
	"time"
)

// Limits of the steps of a control-plane process's shutdown, which follow each other. Each step takes at most its time-out, and at most
// the grace time divided by its divisor.
const (
	releaseTimeout  = 300 * time.Millisecond  // to hand over its singleton roles
	handOverTimeout = 2500 * time.Millisecond // to hand over its vote
	httpTimeout     = time.Second             // to answer the HTTP calls that it has read
	closeTimeout    = 500 * time.Millisecond  // to close its files on a disk that may hang; what was acknowledged is synced already
	drainTimeout    = 400 * time.Millisecond  // to send its replies to other processes

	releaseDivisor  = 12
	handOverDivisor = 2
	httpDivisor     = 6
	closeDivisor    = 12
	drainDivisor    = 12
)

// handOver hands over this process's singleton roles and then its vote to other processes. In this order the next holder acquires a role at
// once; after a change of the voters nobody requests one for the duration of a lease. The process answers requests as before meanwhile.
func (c *controlPlane) handOver() {
	c.releaseRoles()
	ctx, cancel := context.WithTimeout(c.ctx, min(handOverTimeout, c.settings.Bounds.Grace/handOverDivisor))
	defer cancel()
	if err := c.server.HandOver(ctx); err != nil {
		c.log.WithError(err).Warn("assembly: this process ends as a voter")
	}
}

// releaseRoles releases the leases of this process's singleton roles.
func (c *controlPlane) releaseRoles() {
	ctx, cancel := context.WithTimeout(c.ctx, min(releaseTimeout, c.settings.Bounds.Grace/releaseDivisor))
	defer cancel()
	c.roles.Release(ctx)
}

// shutDown answers the calls that were read: first the HTTP calls, while the consensus still works for them, then the requests of other
// processes.
func (c *controlPlane) shutDown() {
	grace := c.settings.Bounds.Grace
	c.endStreams()
	ctx, cancel := context.WithTimeout(c.ctx, min(httpTimeout, grace/httpDivisor))
	defer cancel()
	c.shutDownHTTPServers(ctx)
	c.closeConsensusWithin(min(closeTimeout, grace/closeDivisor))
	c.hub.Drain(c.hub.Now() + min(drainTimeout, grace/drainDivisor))
}

// closeConsensusWithin closes the replicated configuration. If that takes longer than limit, as the disk hangs, it returns nevertheless:
// the files are closed when the process exits.
func (c *controlPlane) closeConsensusWithin(limit time.Duration) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.server.Close()
	}()
	select {
	case <-closed:
	case <-time.After(limit):
		c.log.Warn("assembly: this process ends while its disk hangs")
	}
}
