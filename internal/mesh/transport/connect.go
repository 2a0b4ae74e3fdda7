package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/lifecycle"
)

// drainPollInterval is the time between two checks of the links of a draining process.
const drainPollInterval = 10 * time.Millisecond

// A Dialer connects to a peer's address. It fails after a timeout, or when ctx ends.
type Dialer func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// dial opens the connection of a link, and runs the link until it ends. Hub.Close interrupts the dialling.
func (h *Hub) dial(l *Link) {
	conn, err := h.dialConn(h.ctx, l.peer, dialTimeout)
	if err != nil {
		l.fail(err.Error())
		return
	}
	l.run(conn)
}

// Listen accepts links until the hub drains or is closed, and then returns nil. If the listener is closed for another reason, Listen
// returns an error that wraps net.ErrClosed. After any other error, such as a lack of file descriptors, it logs the error and tries again;
// existing links are not affected.
func (h *Hub) Listen(listener net.Listener) error {
	if !h.addListener(listener) {
		return nil
	}
	accepting := lifecycle.RetryAccept(listener, func(err error) bool {
		if h.isClosing() {
			return false
		}
		h.log.WithError(err).Warn("transport: failed to accept a connection, trying again")
		return true
	})
	for {
		conn, err := accepting.Accept()
		switch {
		case err == nil:
			h.accept(conn)
		case h.isClosing():
			return nil
		default:
			return trace.Wrap(err)
		}
	}
}

// addListener makes the hub close a listener when it stops listening. If it has stopped already, it closes the listener at once and returns
// false.
func (h *Hub) addListener(listener net.Listener) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		h.closeListener(listener)
		return false
	}
	h.listeners = append(h.listeners, listener)
	return true
}

// accept starts a link on a connection that a peer has dialled. In a closed hub it closes the connection.
func (h *Hub) accept(conn net.Conn) {
	l := newLink(h, conn.RemoteAddr().String(), false)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		h.closeConn(conn, l.peer)
		return
	}
	h.otherLinks[l] = true
	h.goroutines.Go(func() { l.run(conn) })
}

func (h *Hub) isClosing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closing
}

// Drain shuts the hub down gracefully, and then closes it. It stops accepting links, notifies each peer that this process is draining, and
// waits until the peers have received their replies and closed their links, so that no call is lost in transit. It waits no longer than
// until, a time on the process's clock.
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
		h.closeListener(listener)
	}
}

// closeListener closes a listener, which may be closed already. It only logs an error, because no connection is accepted any more.
func (h *Hub) closeListener(listener net.Listener) {
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		h.log.WithError(err).Debug("transport: failed to close a listener")
	}
}

// drainLinks takes the next step in draining each accepted link, and reports whether all of them have ended.
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
