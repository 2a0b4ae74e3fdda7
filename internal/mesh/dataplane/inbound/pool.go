package inbound

import (
	"context"
	"net"
	"time"

	"github.com/gammazero/deque"
)

// A Dialer connects to the endpoint's address. It fails after a timeout, or when ctx ends.
type Dialer func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// maxConnectFailures is the number of consecutive failures to connect after which the endpoint counts as down.
const maxConnectFailures = 2

// connectionPool holds the idle connections to the endpoint, and counts failures to connect. The proxy's lock guards it, except for dial
// and address, which do not change once there are requests.
type connectionPool struct {
	address         string
	dial            Dialer                   // set before the first request
	idle            deque.Deque[*connection] // longest idle connection at the front
	connectFailures int                      // number of consecutive failures
}

// take removes and returns the most recently used connection that may carry an attempt; nil for none.
func (p *connectionPool) take(attemptID string) *connection {
	for i := p.idle.Len() - 1; i >= 0; i-- {
		if c := p.idle.At(i); c.mayCarry(attemptID) {
			p.idle.Remove(i)
			return c
		}
	}
	return nil
}

// put returns a connection, which may carry another request, to the pool.
func (p *connectionPool) put(c *connection) {
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, which reusable detects
	p.idle.PushBack(c)
}

// discardIdle closes the idle connections.
func (p *connectionPool) discardIdle() {
	for p.idle.Len() > 0 {
		p.idle.PopFront().discard()
	}
}

// recordConnect records the result of an attempt to connect.
func (p *connectionPool) recordConnect(err error) {
	if err != nil {
		p.connectFailures++
		return
	}
	p.connectFailures = 0
}

// endpointDown reports whether at least maxConnectFailures consecutive attempts to connect have failed.
func (p *connectionPool) endpointDown() bool { return p.connectFailures >= maxConnectFailures }
