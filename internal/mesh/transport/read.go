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

// counted counts what is read.
type counted struct {
	net.Conn
	hub *Hub
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.hub.receivedBytes.Add(uint64(n))
	return n, err
}

// read is the link's one reader; it ends with the link.
func (l *Link) read() {
	r := bufio.NewReaderSize(counted{l.conn, l.hub}, readBuffer)
	for {
		var e envelope
		if err := readFrame(r, &e); err != nil {
			var n net.Error
			if !errors.Is(err, io.EOF) && !errors.As(err, &n) { // not a connection's end: the peer is not one of ours
				l.hub.Log.WithField("peer", l.peer).WithField("name", l.from.Name).Warn("transport: " + err.Error())
			}
			l.fail(err.Error())
			return
		}
		l.hub.receivedFrames.Add(1)
		if err := l.take(&e); err != nil {
			l.hub.Log.WithField("peer", l.peer).WithField("name", l.from.Name).Warn("transport: " + err.Error())
			l.fail(err.Error())
			return
		}
	}
}

// take is the one function by which a frame changes a link.
func (l *Link) take(e *envelope) error {
	l.mu.Lock()
	l.noteClock(e.clock)
	switch kind(e.kind) {
	case helloFrame:
		defer l.wakeWriter() // calls may go out
		defer l.mu.Unlock()
		return l.takeHello(e)
	case callFrame:
		return l.takeCall(e)
	case replyFrame:
		return l.takeReply(e)
	case withdrawFrame:
		l.takeWithdrawal(e)
	case pingFrame:
		l.urgent.PushBack(envelope{kind: uint64(pongFrame)})
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

// noteClock notes that the peer has been heard, and the least difference of the two clocks so far. The lock is held.
func (l *Link) noteClock(peer time.Duration) {
	now := l.hub.Now()
	l.heard, l.pinged = now, 0
	if d := now - peer; !l.offsets || d < l.offset {
		l.offset, l.offsets = d, true
	}
}

// takeHello takes the peer's greeting; the lock is held.
func (l *Link) takeHello(e *envelope) error {
	if l.peerGreeted {
		return trace.BadParameter("a second hello")
	}
	if err := codec.Read(e.body, &l.from); err != nil {
		return trace.Wrap(err, "hello")
	}
	if l.from.Version != version {
		return trace.BadParameter("speaks version %d, this is %d", l.from.Version, version)
	}
	l.peerGreeted = true
	return nil
}

// takeWithdrawal has a call of the peer given up; the lock is held, and released.
func (l *Link) takeWithdrawal(e *envelope) {
	c := l.incoming[e.stream]
	if p := l.partial[e.stream]; p != nil {
		p.release()
		delete(l.partial, e.stream)
	}
	l.mu.Unlock()
	if c != nil {
		c.withdrawn()
	}
}

// takeReply takes a piece of a reply; the lock is held, and released.
func (l *Link) takeReply(e *envelope) error {
	a := l.pending[e.stream]
	if a == nil {
		l.mu.Unlock()
		return nil // to a call that ended meanwhile
	}
	if len(a.in)+len(e.body) > messageMost {
		l.mu.Unlock()
		return trace.LimitExceeded("a reply of over %d bytes", messageMost)
	}
	if a.in == nil {
		a.in = e.body
	} else {
		a.in = append(a.in, e.body...)
	}
	if !e.last { // the whole is the caller's; what is not whole yet is counted here
		l.hub.held.Add(int64(len(e.body)))
		a.held += len(e.body)
		l.mu.Unlock()
		return nil
	}
	delete(l.pending, e.stream)
	l.hub.held.Add(-int64(a.held))
	l.mu.Unlock()
	a.done(a.in, nil)
	l.endIfRetired()
	return nil
}

// takeCall takes a piece of a call; the lock is held, and released.
func (l *Link) takeCall(e *envelope) error {
	c := l.partial[e.stream]
	if c == nil {
		if len(l.incoming)+len(l.partial) >= callsMost {
			l.mu.Unlock()
			return trace.LimitExceeded("over %d calls at once", callsMost)
		}
		c = &IncomingCall{link: l, stream: e.stream, From: &l.from, method: e.method}
		if e.expires != 0 {
			c.Expires = e.expires + l.offset
		}
		c.Body = e.body
	} else {
		c.Body = append(c.Body, e.body...)
	}
	if len(c.Body) > messageMost || !l.hub.room(len(c.Body)) {
		l.mu.Unlock()
		return trace.LimitExceeded("a call of over %d bytes", len(c.Body))
	}
	c.held += len(e.body)
	if l.hub.held.Add(int64(len(e.body))) > int64(l.hub.most) { // all together: it is not run, and the caller hears so
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
		c.AnswerBytes(nil)
		return nil
	}
	l.hub.handle(c)
	return nil
}
