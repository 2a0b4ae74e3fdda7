package inbound

import (
	"context"
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// maxConnectTime bounds the time to connect to the endpoint, which is on the same machine.
const maxConnectTime = 400 * time.Millisecond

// attempt sends a request to the endpoint and returns the response. If not a single byte could be written to a reused connection, the
// request is sent on another one; so it reaches the endpoint at most once.
func (p *Proxy) attempt(pending *pendingRequest) ForwardResponse {
	for {
		conn, kind := p.acquireConnection(pending)
		if kind != outcome.None {
			return ForwardResponse{Kind: kind}
		}
		remaining := pending.deadline - p.now()
		if remaining <= 0 {
			return ForwardResponse{Kind: outcome.Expired}
		}
		conn.setDeadline(time.Now().Add(remaining))
		reused := conn.used
		response := roundTrip(conn, pending.request, appendRequest(nil, pending.request, remaining), p.now)
		conn.used = true
		switch {
		case !response.ReachedEndpoint && reused:
			p.discardConnection(pending)
			continue
		case !response.ReachedEndpoint: // an endpoint at capacity resets a new connection before anything is written
			response.Kind = outcome.AtCapacity
		case response.Kind == outcome.EndpointReset && p.now() >= pending.deadline-time.Millisecond: // ended by setDeadline above
			response.Kind = outcome.TimedOut
		}
		return response
	}
}

// acquireConnection returns an idle connection that may carry a request, or else a new one. The kind is outcome.None, or the reason why
// there is no connection.
func (p *Proxy) acquireConnection(pending *pendingRequest) (*connection, outcome.Kind) {
	for {
		conn, cancelled := p.claimIdle(pending)
		switch {
		case cancelled:
			return nil, outcome.Cancelled
		case conn == nil:
			return p.connect(pending)
		case conn.reusable(p.now()):
			return conn, outcome.None
		}
		p.discardConnection(pending)
	}
}

// claimIdle assigns an idle connection to a request that the connection may carry, and returns the connection; nil if there is none or the
// request is cancelled.
func (p *Proxy) claimIdle(pending *pendingRequest) (idle *connection, cancelled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending.cancelled {
		return nil, true
	}
	pending.conn = p.connections.take(pending.request.AttemptID)
	return pending.conn, false
}

// connect assigns a new connection to a request, and returns the connection. The kind is outcome.None, or the reason why there is no
// connection.
func (p *Proxy) connect(pending *pendingRequest) (*connection, outcome.Kind) {
	timeout := min(maxConnectTime, pending.deadline-p.now())
	if timeout <= 0 {
		return nil, outcome.Expired
	}
	conn, err := p.connections.dial(context.Background(), p.connections.address, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.recordConnect(err)
	if err != nil {
		return nil, outcome.Unreachable
	}
	c := newConnection(conn, p.answerMemory)
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
// can arrive on the connection; else it closes the connection. The caller holds the lock.
func (p *Proxy) releaseConnection(pending *pendingRequest, response *ForwardResponse) {
	released := pending.conn
	if released == nil {
		return
	}
	pending.conn = nil
	pending.answerBytes = released.memory.take()
	if released.unusable || pending.cancelled || !response.ReachedEndpoint || leavesAnswerUnread(response.Kind) {
		released.discard()
		return
	}
	p.connections.put(released)
}

// leavesAnswerUnread reports whether an answer, or the rest of one, may still arrive on the connection of a request with this outcome.
func leavesAnswerUnread(kind outcome.Kind) bool {
	switch kind {
	case outcome.EndpointReset, outcome.InvalidResponse, outcome.TimedOut:
		return true
	}
	return false
}
