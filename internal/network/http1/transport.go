package http1

import (
	"time"

	"quincegap/internal/network/exchange"
)

// Transport makes attempts over HTTP/1.1, one at a time on each connection. It implements exchange.Transport.
type Transport struct {
	pool
	connectTimeout time.Duration
}

// NewTransport returns a transport with at most maxOpen connections to all endpoints together, both in use and idle. Connections are closed
// after they have been idle for maxIdle. A dial fails after connectTimeout.
func NewTransport(maxOpen int, maxIdle, connectTimeout time.Duration) *Transport {
	return &Transport{
		pool:           pool{idle: map[*exchange.Endpoint][]*conn{}, maxOpen: maxOpen, maxIdle: maxIdle},
		connectTimeout: connectTimeout,
	}
}

// SetMaxIdle changes the time after which an idle connection is closed.
func (t *Transport) SetMaxIdle(d time.Duration) { t.maxIdle = d }

// Counts returns the number of open connections, and how many of them are idle.
func (t *Transport) Counts() (open, idle int) { return t.open, t.idleOrder.Len() }

// IdleAt returns the number of idle connections to an address.
func (t *Transport) IdleAt(address string) (n int) {
	for e, conns := range t.idle {
		if e.Address == address {
			n += len(conns)
		}
	}
	return n
}

// Acquire implements exchange.Transport.
func (t *Transport) Acquire(e *exchange.Endpoint, now time.Time) (exchange.Conn, bool) {
	c, ok := t.acquire(e, now)
	if c == nil {
		return nil, ok // a nil *conn in an interface would not be nil
	}
	return c, ok
}

// Release implements exchange.Transport.
func (t *Transport) Release(e *exchange.Endpoint, _, reusable exchange.Conn) {
	c, _ := reusable.(*conn)
	t.release(e, c)
}

// CloseIdle implements exchange.Transport.
func (t *Transport) CloseIdle(e *exchange.Endpoint) { t.closeIdle(e) }

// Sweep implements exchange.Transport.
func (t *Transport) Sweep(now time.Time) { t.sweep(now) }

// Close implements exchange.Transport. It closes the idle connections.
func (t *Transport) Close() {
	for e := range t.idle {
		t.closeIdle(e)
	}
}

// Run implements exchange.Transport.
func (t *Transport) Run(a *exchange.Attempt, c exchange.Conn) exchange.Result {
	acquired, _ := c.(*conn)
	return (&attempt{a}).run(acquired, t.connectTimeout)
}
