package assembly

import (
	"context"
	"time"
)

// How long the steps of a control-plane process's shutdown may take, one after the other; each at most a fraction of a short grace time.
const (
	releaseTimeout  = 300 * time.Millisecond  // to hand its singleton roles over
	handOverTimeout = 2500 * time.Millisecond // to hand its vote over
	answerTimeout   = time.Second             // to answer the HTTP calls that it has read
	closeTimeout    = 500 * time.Millisecond  // for its disk, which may hang; what counts was written through
	drainTimeout    = 400 * time.Millisecond  // until its replies to other processes have gone out

	releaseDivisor  = 12 // of the grace time
	handOverDivisor = 2
	httpDivisor     = 6
	closeDivisor    = 12
	drainDivisor    = 12
)

// handOver hands this process's singleton roles and then its vote over to others. In this order the next holder has a role at once:
// after a change of the voters nobody requests one for the length of a lease. The process answers as before meanwhile.
func (c *controlPlane) handOver() {
	c.releaseRoles()
	ctx, cancel := context.WithTimeout(c.ctx, min(handOverTimeout, c.settings.Bounds.Grace/handOverDivisor))
	defer cancel()
	if err := c.server.HandOver(ctx); err != nil {
		c.log.WithError(err).Warn("assembly: this process ends as a voter")
	}
}

func (c *controlPlane) releaseRoles() {
	ctx, cancel := context.WithTimeout(c.ctx, min(releaseTimeout, c.settings.Bounds.Grace/releaseDivisor))
	defer cancel()
	c.roles.Release(ctx)
}

// shutDown answers what was read: HTTP calls while the agreement still works, then other processes' requests.
func (c *controlPlane) shutDown() {
	grace := c.settings.Bounds.Grace
	c.endStreams()
	ctx, cancel := context.WithTimeout(c.ctx, min(answerTimeout, grace/httpDivisor))
	defer cancel()
	c.shutDownServers(ctx)
	c.closeServerWithin(min(closeTimeout, grace/closeDivisor))
	c.hub.Drain(c.hub.Now() + min(drainTimeout, grace/drainDivisor))
}

// closeServerWithin closes the replicated configuration, and goes on without it if its disk hangs: the end of the process closes it.
func (c *controlPlane) closeServerWithin(limit time.Duration) {
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
