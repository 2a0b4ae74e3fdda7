package http3

import (
	"context"
	"errors"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// errTooManyHandshakes refuses a connection with CONNECTION_REFUSED.
var errTooManyHandshakes = errors.New("too many handshakes")

// handshake counts in Front.handshakes until it is finished.
type handshake struct {
	front    *Front
	finished bool // front.mu guards it
}

// handshakeKey is the context key of a connection's handshake.
type handshakeKey struct{}

// startHandshake counts the handshake of a new connection. It refuses the connection if too many are in progress: each costs a signature,
// and a flood of Initials would exhaust the processor.
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

// finish stops counting the handshake after its success or failure. Only the first call has an effect.
func (h *handshake) finish() {
	h.front.mu.Lock()
	defer h.front.mu.Unlock()
	if !h.finished {
		h.finished = true
		h.front.handshakes--
	}
}

// requiresRetry reports whether an address has to be validated by a Retry (RFC 9000, section 8.1.2). That costs honest callers a round
// trip, so it is required only while many handshakes are in progress.
func (f *Front) requiresRetry(net.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2*f.handshakes >= f.settings.MaxHandshakes
}

// admittingListener accepts the connections for which the front has room.
type admittingListener struct {
	*quic.EarlyListener
	front *Front
}

// Accept implements http3.QUICListener. It returns the next connection for which there is room.
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

// wait finishes the handshake when it is complete. If the connection ends before, startHandshake's function finishes it.
func (h *handshake) wait(conn *quic.Conn) {
	select {
	case <-conn.HandshakeComplete():
		h.finish()
	case <-conn.Context().Done():
	}
}
