package http1

import (
	"container/list"
	"slices"
	"time"

	"quincegap/internal/network/exchange"
)

// pool has the idle connections to all endpoints, and bounds the number of all connections. It is not safe for concurrent use.
type pool struct {
	idle      map[*exchange.Endpoint][]*conn // the most recently used one last
	idleOrder list.List                      // of all idle *conn, the one that has been idle for the longest first
	open      int                            // connections in use, idle or being made; at most maxOpen
	maxOpen   int
	maxIdle   time.Duration // after which an idle connection is closed
}

// acquire removes the most recently used idle connection to an endpoint from the pool. It returns nil and true if the caller may make a
// new one, and false if the bound on connections is reached. The connection may have broken meanwhile.
func (p *pool) acquire(e *exchange.Endpoint, now time.Time) (c *conn, ok bool) {
	if conns := p.idle[e]; len(conns) > 0 {
		last := conns[len(conns)-1]
		if now.Sub(last.idleSince) < p.maxIdle {
			p.removeIdle(last)
			return last, true
		}
		p.closeIdle(e) // the others are older
	}
	if p.open >= p.maxOpen {
		oldest := p.idleOrder.Front()
		if oldest == nil {
			return nil, false
		}
		p.close(oldest.Value.(*conn))
	}
	p.open++
	return nil, true
}

// release returns a connection to the pool after an attempt; nil if it has been closed.
func (p *pool) release(e *exchange.Endpoint, c *conn) {
	switch {
	case c == nil:
		p.open--
	case !e.Open.Load():
		c.discard()
		p.open--
	default:
		c.idleSince = time.Now()
		c.endpoint = e
		c.element = p.idleOrder.PushBack(c)
		p.idle[e] = append(p.idle[e], c)
	}
}

// removeIdle removes a connection from the idle ones.
func (p *pool) removeIdle(c *conn) {
	p.idleOrder.Remove(c.element)
	conns := p.idle[c.endpoint]
	i := slices.Index(conns, c)
	conns = slices.Delete(conns, i, i+1)
	if len(conns) == 0 {
		delete(p.idle, c.endpoint)
	} else {
		p.idle[c.endpoint] = conns
	}
}

// close closes an idle connection.
func (p *pool) close(c *conn) {
	p.removeIdle(c)
	c.discard()
	p.open--
}

// closeIdle closes the idle connections to an endpoint.
func (p *pool) closeIdle(e *exchange.Endpoint) {
	for _, c := range slices.Clone(p.idle[e]) {
		p.close(c)
	}
}

// sweep closes the idle connections that are too old or that their endpoint has closed.
func (p *pool) sweep(now time.Time) {
	for at := p.idleOrder.Front(); at != nil; {
		c := at.Value.(*conn)
		at = at.Next()
		if now.Sub(c.idleSince) >= p.maxIdle || !c.alive() {
			p.close(c)
		}
	}
}
