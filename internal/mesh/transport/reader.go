package transport

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// countingConn is a connection that counts the bytes read from it in the traffic of the hub.
type countingConn struct {
	net.Conn
	hub *Hub
}

// Read implements io.Reader.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.hub.traffic.receivedBytes.Add(uint64(n))
	return n, err
}

// readLoop reads and handles frames until the link ends. It ends the link if the connection fails or the peer violates the protocol.
func (l *Link) readLoop(conn net.Conn) {
	r := bufio.NewReaderSize(countingConn{conn, l.hub}, readBufferBytes)
	for l.awaitReplySpace() {
		var e envelope
		if err := readFrame(r, &e); err != nil {
			if !isConnectionEnd(err) {
				l.warnInvalid(err)
			}
			l.fail(err.Error())
			return
		}
		l.hub.traffic.receivedFrames.Add(1)
		if err := l.handleFrame(&e); err != nil {
			l.warnInvalid(err)
			l.fail(err.Error())
			return
		}
	}
}

// isConnectionEnd reports whether err means that the connection has ended between two frames or has failed, as opposed to an invalid frame.
func isConnectionEnd(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.As(err, &network)
}

// warnInvalid logs that the peer has violated the protocol.
func (l *Link) warnInvalid(err error) {
	l.hub.log.WithField("peer", l.peer).WithField("name", l.peerName()).WithError(err).Warn("transport: invalid frame, the link is closed")
}

// peerName returns the name of the peer's machine; empty until the peer's hello was received.
func (l *Link) peerName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peerHello.Name
}

// handleFrame handles a frame of the peer. An error means that the peer has violated the protocol.
func (l *Link) handleFrame(e *envelope) error {
	if greeted := l.recordReceived(e); !greeted && frameKind(e.kind) != helloFrame {
		return trace.BadParameter("the first frame is not a hello")
	}
	switch frameKind(e.kind) {
	case helloFrame:
		return l.handleHello(e)
	case callFrame:
		return l.handleCall(e)
	case replyFrame:
		return l.handleReply(e)
	case cancelFrame:
		l.handleCancel(e)
	case pingFrame:
		l.handlePing()
	case leavingFrame:
		l.hub.retire(l)
	default: // a pong, which recordReceived has handled, or a kind that only a later version knows
	}
	return nil
}

// recordReceived records that a frame was received, and the time on its sender's clock. It reports whether the peer's hello was received
// before.
func (l *Link) recordReceived(e *envelope) (greeted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.hub.Now()
	l.liveness.frameReceived(now)
	l.peerClock.observe(now, e.sentAt)
	return l.peerGreeted
}

func (l *Link) handleHello(e *envelope) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peerGreeted {
		return trace.BadParameter("the peer sent a second hello")
	}
	if err := codec.Unmarshal(e.body, &l.peerHello); err != nil {
		return trace.Wrap(err, "hello")
	}
	if l.peerHello.Version != protocolVersion {
		return trace.BadParameter("speaks version %d, this is %d", l.peerHello.Version, protocolVersion)
	}
	l.peerGreeted = true
	l.wakeWriter() // the writer may send calls from now on
	return nil
}

// handlePing queues a pong, unless one is queued already: it answers all pings that came before it.
func (l *Link) handlePing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.pongs > 0 {
		return
	}
	l.queue.pongs++
	l.queue.control.PushBack(envelope{kind: uint64(pongFrame)})
	l.wakeWriter()
}
