package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// maxConnectTime bounds the time for a connection to the endpoint, which is on the same machine.
const maxConnectTime = 400 * time.Millisecond

// attempt sends a request, once: a connection that took nothing of it gives way to another.
func (p *Proxy) attempt(r *pendingRequest) ForwardResponse {
	for {
		c, kind := p.acquireConnection(r)
		if kind != outcome.None {
			return ForwardResponse{Kind: kind}
		}
		remaining := r.deadline - p.now()
		if remaining <= 0 {
			return ForwardResponse{Kind: outcome.Expired}
		}
		_ = c.SetDeadline(time.Now().Add(remaining)) // fails on a closed connection alone, and so does the write
		reused := c.used
		response := roundTrip(c, r.request, appendRequest(nil, r.request, remaining), p.now)
		c.used = true
		switch {
		case !response.ReachedEndpoint && reused:
			p.discardConnection(r)
			continue
		case !response.ReachedEndpoint: // accepted, and reset before it took anything: an endpoint that is at capacity does so
			response.Kind = outcome.AtCapacity
		case response.Kind == outcome.EndpointReset && p.now() >= r.deadline-time.Millisecond: // the deadline of the connection
			response.Kind = outcome.TimedOut
		}
		return response
	}
}

// acquireConnection returns an idle connection that may carry a request, or a new one; the kind says why there is none.
func (p *Proxy) acquireConnection(r *pendingRequest) (*connection, outcome.Kind) {
	for {
		c, cancelled := p.claimIdle(r)
		switch {
		case cancelled:
			return nil, outcome.Cancelled
		case c == nil:
			return p.connect(r)
		case c.reusable(p.now()):
			return c, outcome.None
		}
		p.discardConnection(r)
	}
}

// claimIdle gives a request an idle connection that may carry it, if there is one and the request is not cancelled.
func (p *Proxy) claimIdle(r *pendingRequest) (c *connection, cancelled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.cancelled {
		return nil, true
	}
	r.conn = p.connections.take(r.request.AttemptID)
	return r.conn, false
}

// connect gives a request a new connection; the kind says why there is none.
func (p *Proxy) connect(r *pendingRequest) (*connection, outcome.Kind) {
	timeout := min(maxConnectTime, r.deadline-p.now())
	if timeout <= 0 {
		return nil, outcome.Expired
	}
	conn, err := p.connections.dial(p.connections.address, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.recordConnect(err)
	if err != nil {
		return nil, outcome.Unreachable
	}
	c := newConnection(conn)
	if r.cancelled {
		c.discard()
		return nil, outcome.Cancelled
	}
	r.conn = c
	return c, outcome.None
}

// discardConnection closes a request's connection.
func (p *Proxy) discardConnection(r *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.conn.discard()
	r.conn = nil
}

// releaseConnection takes the connection of a request that has ended: it is kept for the next one if its answer was read completely
// and nothing else can come on it. The lock is held.
func (p *Proxy) releaseConnection(r *pendingRequest, response *ForwardResponse) {
	c := r.conn
	if c == nil {
		return
	}
	r.conn = nil
	if c.unusable || r.cancelled || !response.ReachedEndpoint || leavesAnswerUnread(response.Kind) {
		c.discard()
		return
	}
	p.connections.put(c)
}

// leavesAnswerUnread reports whether an answer, or the rest of one, may still come on the connection of a request that ended so.
func leavesAnswerUnread(kind outcome.Kind) bool {
	switch kind {
	case outcome.EndpointReset, outcome.InvalidResponse, outcome.TimedOut:
		return true
	}
	return false
}
