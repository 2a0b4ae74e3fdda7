package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// countingConn counts what is read.
type countingConn struct {
	net.Conn
	hub *Hub
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.hub.receivedBytes.Add(uint64(n))
	return n, err
}

// readLoop is the link's one reader; it ends with the link.
func (l *Link) readLoop() {
	r := bufio.NewReaderSize(countingConn{l.conn, l.hub}, readBufferBytes)
	for {
		var e envelope
		if err := readFrame(r, &e); err != nil {
			var n net.Error
			if !errors.Is(err, io.EOF) && !errors.As(err, &n) { // not a connection's end: the peer is not one of ours
				l.hub.Log.WithField("peer", l.peer).WithField("name", l.peerHello.Name).Warn("transport: " + err.Error())
			}
			l.fail(err.Error())
			return
		}
		l.hub.receivedFrames.Add(1)
		if err := l.handleFrame(&e); err != nil {
			l.hub.Log.WithField("peer", l.peer).WithField("name", l.peerHello.Name).Warn("transport: " + err.Error())
			l.fail(err.Error())
			return
		}
	}
}

// handleFrame is the one function by which a frame changes a link.
func (l *Link) handleFrame(e *envelope) error {
	l.mu.Lock()
	l.observeClock(e.sentAt)
	switch frameKind(e.kind) {
	case helloFrame:
		defer l.wakeWriter() // calls may go out
		defer l.mu.Unlock()
		return l.handleHello(e)
	case callFrame:
		return l.handleCall(e)
	case replyFrame:
		return l.handleReply(e)
	case cancelFrame:
		l.handleCancel(e)
	case pingFrame:
		l.controlFrames.PushBack(envelope{kind: uint64(pongFrame)})
		l.mu.Unlock()
		l.wakeWriter()
	case leavingFrame:
		l.mu.Unlock()
		l.hub.retire(l)
	default:
		l.mu.Unlock() // a pong, or of a later version
	}
	return nil
}

// observeClock notes that the peer has been heard, and the least difference of the two clocks so far. The lock is held.
func (l *Link) observeClock(peer time.Duration) {
	now := l.hub.Now()
	l.lastReceivedAt, l.pingSentAt = now, 0
	if d := now - peer; !l.clockOffsetKnown || d < l.clockOffset {
		l.clockOffset, l.clockOffsetKnown = d, true
	}
}

// handleHello takes the peer's greeting; the lock is held.
func (l *Link) handleHello(e *envelope) error {
	if l.peerGreeted {
		return trace.BadParameter("a second hello")
	}
	if err := codec.Unmarshal(e.body, &l.peerHello); err != nil {
		return trace.Wrap(err, "hello")
	}
	if l.peerHello.Version != protocolVersion {
		return trace.BadParameter("speaks version %d, this is %d", l.peerHello.Version, protocolVersion)
	}
	l.peerGreeted = true
	return nil
}

// handleCancel has a call of the peer given up; the lock is held, and released.
func (l *Link) handleCancel(e *envelope) {
	c := l.incoming[e.stream]
	if p := l.partial[e.stream]; p != nil {
		p.release()
		delete(l.partial, e.stream)
	}
	l.mu.Unlock()
	if c != nil {
		c.cancel()
	}
}

// handleReply takes a piece of a reply; the lock is held, and released.
func (l *Link) handleReply(e *envelope) error {
	a := l.pending[e.stream]
	if a == nil {
		l.mu.Unlock()
		return nil // to a call that ended meanwhile
	}
	if len(a.reply)+len(e.body) > maxMessageBytes {
		l.mu.Unlock()
		return trace.LimitExceeded("a reply of over %d bytes", maxMessageBytes)
	}
	if a.reply == nil {
		a.reply = e.body
	} else {
		a.reply = append(a.reply, e.body...)
	}
	if !e.last { // the whole is the caller's; what is not whole yet is counted here
		l.hub.reservedBytes.Add(int64(len(e.body)))
		a.reservedBytes += len(e.body)
		l.mu.Unlock()
		return nil
	}
	delete(l.pending, e.stream)
	l.hub.reservedBytes.Add(-int64(a.reservedBytes))
	l.mu.Unlock()
	a.done(a.reply, nil)
	l.endIfRetired()
	return nil
}

// handleCall takes a piece of a call; the lock is held, and released.
func (l *Link) handleCall(e *envelope) error {
	c := l.partial[e.stream]
	if c == nil {
		if len(l.incoming)+len(l.partial) >= maxPendingCalls {
			l.mu.Unlock()
			return trace.LimitExceeded("over %d calls at once", maxPendingCalls)
		}
		c = &IncomingCall{link: l, stream: e.stream, From: &l.peerHello, method: e.method}
		if e.expiresAt != 0 {
			c.ExpiresAt = e.expiresAt + l.clockOffset
		}
		c.Body = e.body
	} else {
		c.Body = append(c.Body, e.body...)
	}
	if len(c.Body) > maxMessageBytes || !l.hub.fits(len(c.Body)) {
		l.mu.Unlock()
		return trace.LimitExceeded("a call of over %d bytes", len(c.Body))
	}
	c.reservedBytes += len(e.body)
	if l.hub.reservedBytes.Add(int64(len(e.body))) > int64(l.hub.maxCallBytes) { // all together: it is not run, and the caller hears so
		c.overLimit, c.Body = true, nil
		c.release()
	}
	if !e.last {
		l.partial[e.stream] = c
		l.mu.Unlock()
		return nil
	}
	delete(l.partial, e.stream)
	l.incoming[e.stream] = c
	l.mu.Unlock()
	if c.overLimit {
		c.ReplyBytes(nil)
		return nil
	}
	l.hub.dispatch(c)
	return nil
}
