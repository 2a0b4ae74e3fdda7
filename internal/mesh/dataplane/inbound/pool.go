package inbound

import (
	"net"
	"time"

	"github.com/gammazero/deque"
)

// A Dialer connects to an address, within a time.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// maxConnectFailures is how many attempts to connect may fail in a row before the endpoint counts as down.
const maxConnectFailures = 2

// connectionPool holds the idle connections to the endpoint, and what dials new ones. The proxy's lock guards it, but for dial and
// address, which do not change once there are requests.
type connectionPool struct {
	address         string
	dial            Dialer                   // set before the first request
	idle            deque.Deque[*connection] // the longest idle first
	connectFailures int                      // in a row
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return d.Dial("tcp4", address)
}

// take takes out the connection that was used last, of those that may carry an attempt; nil for none.
func (p *connectionPool) take(attemptID string) *connection {
	for i := p.idle.Len() - 1; i >= 0; i-- {
		if c := p.idle.At(i); c.mayCarry(attemptID) {
			p.idle.Remove(i)
			return c
		}
	}
	return nil
}

// put puts a connection back that may carry another request.
func (p *connectionPool) put(c *connection) {
	_ = c.SetDeadline(time.Time{}) // fails on a closed connection alone, which reusable finds
	p.idle.PushBack(c)
}

// discardIdle closes the idle connections.
func (p *connectionPool) discardIdle() {
	for p.idle.Len() > 0 {
		p.idle.PopFront().discard()
	}
}

// recordConnect takes the end of an attempt to connect.
func (p *connectionPool) recordConnect(err error) {
	if err != nil {
		p.connectFailures++
		return
	}
	p.connectFailures = 0
}

// endpointDown reports whether the endpoint has refused too many connections in a row.
func (p *connectionPool) endpointDown() bool { return p.connectFailures >= maxConnectFailures }
