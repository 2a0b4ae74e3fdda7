package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// maxConnectTime bounds the time for a connection to the endpoint, which is on the same machine.
const maxConnectTime = 400 * time.Millisecond

// attempt sends a request, once: a connection that took nothing of it gives way to another.
func (p *Proxy) attempt(pending *pendingRequest) ForwardResponse {
	for {
		c, kind := p.acquireConnection(pending)
		if kind != outcome.None {
			return ForwardResponse{Kind: kind}
		}
		remaining := pending.deadline - p.now()
		if remaining <= 0 {
			return ForwardResponse{Kind: outcome.Expired}
		}
		_ = c.SetDeadline(time.Now().Add(remaining)) // fails on a closed connection alone, and so does the write
		reused := c.used
		response := roundTrip(c, pending.request, appendRequest(nil, pending.request, remaining), p.now)
		c.used = true
		switch {
		case !response.ReachedEndpoint && reused:
			p.discardConnection(pending)
			continue
		case !response.ReachedEndpoint: // accepted, and reset before it took anything: an endpoint that is at capacity does so
			response.Kind = outcome.AtCapacity
		case response.Kind == outcome.EndpointReset && p.now() >= pending.deadline-time.Millisecond: // the deadline of the connection
			response.Kind = outcome.TimedOut
		}
		return response
	}
}

// acquireConnection returns an idle connection that may carry a request, or a new one; the kind says why there is none.
func (p *Proxy) acquireConnection(pending *pendingRequest) (*connection, outcome.Kind) {
	for {
		c, cancelled := p.claimIdle(pending)
		switch {
		case cancelled:
			return nil, outcome.Cancelled
		case c == nil:
			return p.connect(pending)
		case c.reusable(p.now()):
			return c, outcome.None
		}
		p.discardConnection(pending)
	}
}

// claimIdle gives a request an idle connection that may carry it, if there is one and the request is not cancelled.
func (p *Proxy) claimIdle(pending *pendingRequest) (c *connection, cancelled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending.cancelled {
		return nil, true
	}
	pending.conn = p.connections.take(pending.request.AttemptID)
	return pending.conn, false
}

// connect gives a request a new connection; the kind says why there is none.
func (p *Proxy) connect(pending *pendingRequest) (*connection, outcome.Kind) {
	timeout := min(maxConnectTime, pending.deadline-p.now())
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
	if pending.cancelled {
		c.discard()
		return nil, outcome.Cancelled
	}
	pending.conn = c
	return c, outcome.None
}

// discardConnection closes a request's connection.
func (p *Proxy) discardConnection(pending *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending.conn.discard()
	pending.conn = nil
}

// releaseConnection takes the connection of a request that has ended: it is kept for the next one if its answer was read completely
// and nothing else can come on it. The lock is held.
func (p *Proxy) releaseConnection(pending *pendingRequest, response *ForwardResponse) {
	c := pending.conn
	if c == nil {
		return
	}
	pending.conn = nil
	if c.unusable || pending.cancelled || !response.ReachedEndpoint || leavesAnswerUnread(response.Kind) {
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
