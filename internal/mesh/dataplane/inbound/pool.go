package inbound

import (
	"net"
	"time"

	"github.com/gammazero/deque"
)

// A Dialer connects to an address, and fails after a time-out.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// maxConnectFailures is the number of failures to connect in a row at which the endpoint counts as down.
const maxConnectFailures = 2

// connectionPool keeps the idle connections to the endpoint, and counts failures to connect. The proxy's lock guards it, except for dial
// and address, which do not change once there are requests.
type connectionPool struct {
	address         string
	dial            Dialer                   // set before the first request
	idle            deque.Deque[*connection] // the one that has been idle for longest at the front
	connectFailures int                      // in a row
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return d.Dial("tcp4", address)
}

// take removes and returns the connection that was used last of those that may carry an attempt; nil for none.
func (p *connectionPool) take(attemptID string) *connection {
	for i := p.idle.Len() - 1; i >= 0; i-- {
		if c := p.idle.At(i); c.mayCarry(attemptID) {
			p.idle.Remove(i)
			return c
		}
	}
	return nil
}

// put returns a connection that may carry another request to the pool.
func (p *connectionPool) put(c *connection) {
	_ = c.SetDeadline(time.Time{}) // it fails only on a closed connection, which reusable detects
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

// endpointDown reports whether maxConnectFailures attempts to connect, or more, have failed in a row.
func (p *connectionPool) endpointDown() bool { return p.connectFailures >= maxConnectFailures }
