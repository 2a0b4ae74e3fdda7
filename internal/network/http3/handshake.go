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

// handshake is one that is under way.
type handshake struct {
	front    *Front
	finished bool // front.mu guards it
}

// handshakeKey is the key of a handshake in a connection's context.
type handshakeKey struct{}

// startHandshake counts a connection that begins. A handshake costs a signature, which is what a flood of Initials is after.
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

// finish notes that the handshake has ended, well or badly. Only the first call counts.
func (h *handshake) finish() {
	h.front.mu.Lock()
	defer h.front.mu.Unlock()
	if !h.finished {
		h.finished = true
		h.front.handshakes--
	}
}

// requiresRetry tells whether an address has to prove itself by a Retry (RFC 9000, section 8.1.2). It costs honest callers a round
// trip, so it is asked for under pressure only.
func (f *Front) requiresRetry(net.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2*f.handshakes >= f.settings.MaxHandshakes
}

// admittingListener lets connections in as far as there is room.
type admittingListener struct {
	*quic.EarlyListener
	front *Front
}

// Accept is of http3.QUICListener. It returns the next connection for which there is room.
func (a admittingListener) Accept(ctx context.Context) (*quic.Conn, error) {
	for {
		conn, err := a.EarlyListener.Accept(ctx)
		if err != nil {
			return nil, err
		}
		if h, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
			go h.wait(conn)
		}
		if a.front.admit(conn) { //nolint:contextcheck // what it starts ends with the connection, not with the accepting
			return conn, nil
		}
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), reasonNoRoom) // never fails
	}
}

// wait finishes the handshake once it is complete. It ends with the connection at the latest, when startHandshake's function has
// finished it.
func (h *handshake) wait(conn *quic.Conn) {
	select {
	case <-conn.HandshakeComplete():
		h.finish()
	case <-conn.Context().Done():
	}
}
