package transport

import (
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"
)

const (
	drainPollInterval = 10 * time.Millisecond  // between two looks at the links of a draining process
	minAcceptBackoff  = 5 * time.Millisecond   // after a connection could not be accepted; it doubles while that goes on
	maxAcceptBackoff  = 500 * time.Millisecond // its bound
)

// dialTCP dials a peer. Close ends an attempt.
func (h *Hub) dialTCP(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1} // pings find out that a peer is lost
	return d.DialContext(h.ctx, "tcp4", address)
}

// dial connects a link and runs it until it ends.
func (h *Hub) dial(l *Link) {
	conn, err := h.dialConn(l.peer)
	if err != nil {
		l.fail(err.Error())
		return
	}
	l.run(conn)
}

// Listen accepts links until the hub drains, and returns nil then, or until the listener is closed by another, which is an error. Any
// other error of the listener, such as that the process has no file descriptors left, passes: it is logged, and links that are up go on.
func (h *Hub) Listen(listener net.Listener) error {
	h.mu.Lock()
	h.listeners = append(h.listeners, listener)
	h.mu.Unlock()
	backoff := minAcceptBackoff
	for {
		conn, err := listener.Accept()
		switch {
		case err != nil && h.isClosing():
			return nil
		case errors.Is(err, net.ErrClosed):
			return trace.Wrap(err)
		case err != nil:
			h.log.WithError(err).Warn("transport: a link can't be accepted")
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		default:
			backoff = minAcceptBackoff
			h.accept(conn)
		}
	}
}

// accept runs a link that a peer has dialled.
func (h *Hub) accept(conn net.Conn) {
	l := newLink(h, conn.RemoteAddr().String(), false)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		h.closeConn(conn, l.peer)
		return
	}
	h.accepted[l] = true
	h.goroutines.Go(func() { l.run(conn) })
}

func (h *Hub) isClosing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closing
}

// Drain ends all links in order, at the given time of the process's clock at the latest, and closes the hub: it accepts no more links,
// notifies each peer that this process is draining, and waits until the peers have their replies and have closed their links. So no call
// is lost on its way here.
func (h *Hub) Drain(until time.Duration) {
	h.stopListening()
	for h.Now() < until && !h.drainLinks() {
		time.Sleep(drainPollInterval)
	}
	h.Close()
}

func (h *Hub) stopListening() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing = true
	for _, listener := range h.listeners {
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			h.log.WithError(err).Debug("transport: a listener did not close")
		}
	}
}

// drainLinks takes each accepted link a step towards its end, and reports whether all have ended.
func (h *Hub) drainLinks() bool {
	links, _ := h.allLinks()
	ended := true
	for _, l := range links {
		if !l.dialled && !l.drain(h.Now()) {
			ended = false
		}
	}
	return ended
}
