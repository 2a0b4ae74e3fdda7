package http3

import (
	"context"
	"errors"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// errTooManyHandshakes makes the library refuse a connection with CONNECTION_REFUSED.
var errTooManyHandshakes = errors.New("too many handshakes")

// handshake is a handshake in progress. Front.handshakes counts it until finish is called.
type handshake struct {
	front    *Front
	finished bool // whether finish has been called; guarded by front.mu
}

// handshakeKey is the context key for the *handshake of a connection.
type handshakeKey struct{}

// startHandshake counts the handshake of a new connection, and returns the connection's context. It refuses the connection with an error
// if the front is stopping or MaxHandshakes are in progress: each handshake needs a signature, and a flood of Initials would exhaust the
// CPU.
func (f *Front) startHandshake(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping || f.handshakes >= f.settings.MaxHandshakes {
		return nil, errTooManyHandshakes
	}
	f.handshakes++
	h := &handshake{front: f}
	context.AfterFunc(ctx, h.finish)
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

// finish stops counting the handshake after it has succeeded or failed. Only the first call has an effect.
func (h *handshake) finish() {
	h.front.mu.Lock()
	defer h.front.mu.Unlock()
	if !h.finished {
		h.finished = true
		h.front.handshakes--
	}
}

// requiresRetry reports whether an address must be validated by a Retry (RFC 9000, section 8.1.2). This costs legitimate callers a round
// trip, so it is required only while at least half of MaxHandshakes are in progress.
func (f *Front) requiresRetry(net.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2*f.handshakes >= f.settings.MaxHandshakes
}

// admittingListener is a listener that accepts only the connections that the front admits.
type admittingListener struct {
	*quic.EarlyListener
	front *Front
}

// Accept implements http3.QUICListener. It returns the next connection that is admitted; it closes those that are not.
func (a admittingListener) Accept(ctx context.Context) (*quic.Conn, error) {
	for {
		conn, err := a.EarlyListener.Accept(ctx)
		if err != nil {
			return nil, err
		}
		if h, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
			go h.wait(conn) // ends with the connection at the latest
		}
		if a.front.admit(conn) { //nolint:contextcheck // what admit starts ends with the connection and not with this ctx
			return conn, nil
		}
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), reasonNoRoom) // never fails
	}
}

// wait calls finish when the handshake is complete. If the connection ends before, the callback that startHandshake has registered calls
// finish.
func (h *handshake) wait(conn *quic.Conn) {
	select {
	case <-conn.HandshakeComplete():
		h.finish()
	case <-conn.Context().Done():
	}
}
