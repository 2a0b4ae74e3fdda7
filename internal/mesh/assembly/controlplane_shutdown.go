package assembly

import (
	"context"
	"time"
)

// Limits of the consecutive steps of a control-plane process's shutdown. Each step takes at most its timeout, and at most the grace time
// divided by its divisor.
const (
	releaseTimeout  = 300 * time.Millisecond  // time to release the singleton roles
	handOverTimeout = 2500 * time.Millisecond // time to hand over the vote
	httpTimeout     = time.Second             // time to answer the HTTP requests that were read
	closeTimeout    = 500 * time.Millisecond  // time to close the files, as the disk may hang; acknowledged data is already synced
	drainTimeout    = 400 * time.Millisecond  // time to send the replies to other processes

	releaseDivisor  = 12
	handOverDivisor = 2
	httpDivisor     = 6
	closeDivisor    = 12
	drainDivisor    = 12
)

// handOver releases this process's singleton roles, and then hands over its vote to another process. In this order the next holder acquires
// a role at once. In the reverse order it would be delayed, because no process requests a role for the duration of a lease after a change
// of the voters. Meanwhile the process answers requests as before.
func (c *controlPlane) handOver() {
	c.releaseRoles()
	ctx, cancel := context.WithTimeout(c.ctx, min(handOverTimeout, c.settings.Bounds.Grace/handOverDivisor))
	defer cancel()
	if err := c.server.HandOver(ctx); err != nil {
		c.log.WithError(err).Warn("assembly: failed to hand over the vote, this process exits as a voter")
	}
}

// releaseRoles releases the leases of this process's singleton roles.
func (c *controlPlane) releaseRoles() {
	ctx, cancel := context.WithTimeout(c.ctx, min(releaseTimeout, c.settings.Bounds.Grace/releaseDivisor))
	defer cancel()
	c.roles.Release(ctx)
}

// shutDown ends the event streams, and completes the requests that were read. It completes the HTTP requests first, while they can still
// use the consensus, and then the requests of other processes.
func (c *controlPlane) shutDown() {
	grace := c.settings.Bounds.Grace
	c.endStreams()
	ctx, cancel := context.WithTimeout(c.ctx, min(httpTimeout, grace/httpDivisor))
	defer cancel()
	c.shutDownHTTPServers(ctx)
	c.closeConsensusWithin(min(closeTimeout, grace/closeDivisor))
	c.hub.Drain(c.hub.Now() + min(drainTimeout, grace/drainDivisor))
}

// closeConsensusWithin closes the replicated configuration. It returns after limit even if that has not completed, as the disk may hang;
// the files are then closed when the process exits.
func (c *controlPlane) closeConsensusWithin(limit time.Duration) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.server.Close()
	}()
	select {
	case <-closed:
	case <-time.After(limit):
		c.log.Warn("assembly: timed out closing the replicated configuration, the disk may hang")
	}
}
