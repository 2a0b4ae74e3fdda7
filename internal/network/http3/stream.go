package http3

import (
	"context"
	"net/http"
	"time"
)

// requestStream is the stream that a request arrived on. It implements exchange.Caller.
type requestStream struct {
	caller *callerConn
	began  time.Time
}

// BeginRequest implements exchange.Caller. excess is always false, because QUIC's limits reject connections and streams earlier.
func (r *requestStream) BeginRequest() (began time.Time, excess bool) { return r.began, false }

// BodyReceived implements exchange.Caller.
func (r *requestStream) BodyReceived() (idle int) {
	r.caller.front.mu.Lock()
	defer r.caller.front.mu.Unlock()
	return r.caller.front.idle.Len()
}

// CloseAfter implements exchange.Caller. It does nothing: each request has its own stream, and GOAWAY announces the connection's end.
func (r *requestStream) CloseAfter(http.Header) {}

// AddHeaders implements exchange.Caller. It adds none.
func (r *requestStream) AddHeaders(http.Header) {}

// Early implements exchange.Caller. A request may be a replay until the handshake is complete (RFC 9001, section 9.2).
func (r *requestStream) Early() bool {
	select {
	case <-r.caller.conn.HandshakeComplete():
		return false
	default:
		return true
	}
}

// Confirm implements exchange.Caller. It waits until the handshake is complete.
func (r *requestStream) Confirm(ctx context.Context) bool {
	select {
	case <-r.caller.conn.HandshakeComplete():
		return true
	case <-ctx.Done():
		return false
	case <-r.caller.conn.Context().Done():
		return false
	}
}
