package http1

import (
	"time"

	"quincegap/internal/network/exchange"
)

// Transport makes attempts over HTTP/1.1: one on a connection at a time. It is an exchange.Transport.
type Transport struct {
	pool
	connectTimeout time.Duration
}

// NewTransport makes a transport with its bounds: connections, in use and idle, to all endpoints together; how long one may be idle;
// how long making one may take.
func NewTransport(maxOpen int, maxIdle, connectTimeout time.Duration) *Transport {
	return &Transport{
		pool:           pool{idle: map[*exchange.Endpoint][]*conn{}, maxOpen: maxOpen, maxIdle: maxIdle},
		connectTimeout: connectTimeout,
	}
}

// SetMaxIdle changes how long a connection may be idle.
func (t *Transport) SetMaxIdle(d time.Duration) { t.maxIdle = d }

// Counts are the connections: all that are open, and the idle ones.
func (t *Transport) Counts() (open, idle int) { return t.open, t.idleOrder.Len() }

// IdleAt is how many connections to an address are idle.
func (t *Transport) IdleAt(address string) (n int) {
	for e, conns := range t.idle {
		if e.Address == address {
			n += len(conns)
		}
	}
	return n
}

// Acquire is of exchange.Transport.
func (t *Transport) Acquire(e *exchange.Endpoint, now time.Time) (exchange.Conn, bool) {
	c, ok := t.acquire(e, now)
	if c == nil {
		return nil, ok // not a nil in an interface
	}
	return c, ok
}

// Release is of exchange.Transport.
func (t *Transport) Release(e *exchange.Endpoint, _, left exchange.Conn) {
	c, _ := left.(*conn)
	t.release(e, c)
}

// CloseIdle is of exchange.Transport.
func (t *Transport) CloseIdle(e *exchange.Endpoint) { t.closeIdle(e) }

// Sweep is of exchange.Transport.
func (t *Transport) Sweep(now time.Time) { t.sweep(now) }

// Close closes the idle connections.
func (t *Transport) Close() {
	for e := range t.idle {
		t.closeIdle(e)
	}
}

// Run is of exchange.Transport.
func (t *Transport) Run(a *exchange.Attempt, c exchange.Conn) exchange.Result {
	acquired, _ := c.(*conn)
	return (&attempt{a}).run(acquired, t.connectTimeout)
}
