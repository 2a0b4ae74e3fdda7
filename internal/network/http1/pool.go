package http1

import (
	"container/list"
	"slices"
	"time"

	"quincegap/internal/network/exchange"
)

// pool holds the idle connections to all endpoints, and limits the total number of connections. It is not safe for concurrent use.
type pool struct {
	idle      map[*exchange.Endpoint][]*conn // by endpoint; the most recently used connection is last
	idleOrder list.List                      // list of all idle *conn; the one that has been idle the longest is first
	open      int                            // number of connections in use, idle or being made; at most maxOpen
	maxOpen   int
	maxIdle   time.Duration // time after which an idle connection is closed
}

// acquire removes the most recently used idle connection to an endpoint from the pool and returns it; it may have broken in the meantime.
// If there is none, acquire returns nil and true, and the caller may make a new connection. It returns false if the limit on connections
// is reached.
func (p *pool) acquire(e *exchange.Endpoint, now time.Time) (c *conn, ok bool) {
	if conns := p.idle[e]; len(conns) > 0 {
		last := conns[len(conns)-1]
		if now.Sub(last.idleSince) < p.maxIdle {
			p.removeIdle(last)
			return last, true
		}
		p.closeIdle(e) // the others have been idle for longer
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

// release returns a connection to the pool after an attempt; c is nil if the connection has been closed.
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

// removeIdle removes an idle connection from the pool without closing it.
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

// sweep closes the connections that have been idle for maxIdle or are no longer alive.
func (p *pool) sweep(now time.Time) {
	for at := p.idleOrder.Front(); at != nil; {
		c := at.Value.(*conn)
		at = at.Next()
		if now.Sub(c.idleSince) >= p.maxIdle || !c.alive() {
			p.close(c)
		}
	}
}
