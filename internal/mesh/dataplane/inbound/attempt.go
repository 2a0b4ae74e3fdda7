package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// maxConnectTime bounds the time to connect to the endpoint, which is on the same machine.
const maxConnectTime = 400 * time.Millisecond

// attempt sends a request to the endpoint and returns the response. If nothing of the request could be written to a reused connection, it
// is sent on another one, so that it reaches the endpoint once at most.
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
		_ = c.SetDeadline(time.Now().Add(remaining)) // it fails only on a closed connection, where the write fails too
		reused := c.used
		response := roundTrip(c, pending.request, appendRequest(nil, pending.request, remaining), p.now)
		c.used = true
		switch {
		case !response.ReachedEndpoint && reused:
			p.discardConnection(pending)
			continue
		case !response.ReachedEndpoint: // a new connection that was reset before anything was written: an endpoint at capacity does so
			response.Kind = outcome.AtCapacity
		case response.Kind == outcome.EndpointReset && p.now() >= pending.deadline-time.Millisecond: // the connection's deadline, set above
			response.Kind = outcome.TimedOut
		}
		return response
	}
}

// acquireConnection returns an idle connection that may carry a request, or else a new one. The kind is outcome.None, or why there is no
// connection.
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

// claimIdle assigns an idle connection that may carry a request to it, and returns the connection; nil if there is none, or if the
// request is cancelled.
func (p *Proxy) claimIdle(pending *pendingRequest) (c *connection, cancelled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending.cancelled {
		return nil, true
	}
	pending.conn = p.connections.take(pending.request.AttemptID)
	return pending.conn, false
}

// connect assigns a new connection to a request, and returns it. The kind is outcome.None, or why there is no connection.
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

// releaseConnection returns the connection of a request that has ended to the pool if the answer was read completely and no other answer
// can come on the connection; else it closes the connection. The lock is held.
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

// leavesAnswerUnread reports whether an answer, or the rest of one, may still come on a connection after a request with that outcome.
func leavesAnswerUnread(kind outcome.Kind) bool {
	switch kind {
	case outcome.EndpointReset, outcome.InvalidResponse, outcome.TimedOut:
		return true
	}
	return false
}
