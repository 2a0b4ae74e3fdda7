package http3

import (
	"context"
	"net/http"
	"time"
)

// requestStream is the way by which a request comes: an exchange.Caller.
type requestStream struct {
	caller *callerConn
	began  time.Time
}

// BeginRequest is of exchange.Caller. A request for which there is no room does not get so far.
func (r *requestStream) BeginRequest() (began time.Time, excess bool) { return r.began, false }

// BodyReceived is of exchange.Caller.
func (r *requestStream) BodyReceived() (idle int) {
	r.caller.front.mu.Lock()
	defer r.caller.front.mu.Unlock()
	return r.caller.front.idle.Len()
}

// CloseAfter is of exchange.Caller: each request ends its own stream, and GOAWAY announces the connection's end.
func (r *requestStream) CloseAfter(http.Header) {}

// AddHeaders is of exchange.Caller.
func (r *requestStream) AddHeaders(http.Header) {}

// Early is of exchange.Caller. Until the handshake is complete, whoever sent this may be replaying what another has sent once:
// nothing but the handshake's own end proves otherwise (RFC 9001, section 9.2).
func (r *requestStream) Early() bool {
	select {
	case <-r.caller.conn.HandshakeComplete():
		return false
	default:
		return true
	}
}

// Confirm is of exchange.Caller.
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
