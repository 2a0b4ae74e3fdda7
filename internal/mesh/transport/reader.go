package transport

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	hub *Hub
}

// Read reads from the connection (io.Reader).
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.hub.traffic.receivedBytes.Add(uint64(n))
	return n, err
}

// readLoop is the link's one reader. It ends with the link, and ends the link if the connection fails or the peer sends what no peer
// may send.
func (l *Link) readLoop(conn net.Conn) {
	r := bufio.NewReaderSize(countingConn{conn, l.hub}, readBufferBytes)
	for {
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

// isConnectionEnd reports whether err is of the connection, not of what was read on it.
func isConnectionEnd(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.As(err, &network)
}

// warnInvalid logs that the peer sent what no process of the mesh sends.
func (l *Link) warnInvalid(err error) {
	l.hub.log.WithField("peer", l.peer).WithField("name", l.peerName()).WithError(err).Warn("transport: invalid frame, the link is closed")
}

// peerName is the name of the peer's machine; empty before its hello.
func (l *Link) peerName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peerHello.Name
}

// handleFrame applies a frame of the peer to the link. An error means that the link is of no further use.
func (l *Link) handleFrame(e *envelope) error {
	l.observe(e)
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
	default: // a pong, which observe has noted, or a kind of a later version
	}
	return nil
}

// observe notes that the peer is alive, and its clock.
func (l *Link) observe(e *envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.hub.Now()
	l.liveness.received(now)
	l.peerClock.observe(now, e.sentAt)
}

func (l *Link) handleHello(e *envelope) error {
	l.mu.Lock()
	defer l.mu.Unlock()
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
	l.wakeWriter() // calls may go out now
	return nil
}

func (l *Link) handlePing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.control.PushBack(envelope{kind: uint64(pongFrame)})
	l.wakeWriter()
}

// handleCancel cancels a call of the peer. A call of which chunks are missing is forgotten; the handler of a complete one is notified.
func (l *Link) handleCancel(e *envelope) {
	if call := l.dropPartial(e.stream); call != nil {
		call.cancel()
	}
}

// dropPartial forgets a call that is not complete, and returns one that is; nil if there is none with that stream.
func (l *Link) dropPartial(stream uint64) *IncomingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if partial := l.partial[stream]; partial != nil {
		partial.release()
		delete(l.partial, stream)
	}
	return l.incoming[stream]
}

// handleReply takes a chunk of a reply, and ends the call with the last one.
func (l *Link) handleReply(e *envelope) error {
	call, err := l.assembleReply(e)
	if err != nil || call == nil {
		return err
	}
	call.done(call.reply, nil)
	l.endIfRetired()
	return nil
}

// assembleReply adds a chunk to the reply of a pending call. It returns the call once its reply is complete, and nil before. A reply to
// a call that has ended meanwhile is dropped.
func (l *Link) assembleReply(chunk *envelope) (*PendingCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.pending[chunk.stream]
	if call == nil {
		return nil, nil
	}
	if len(call.reply)+len(chunk.body) > maxMessageBytes {
		return nil, trace.LimitExceeded("a reply of over %d bytes", maxMessageBytes)
	}
	if call.reply == nil {
		call.reply = chunk.body
	} else {
		call.reply = append(call.reply, chunk.body...)
	}
	if !chunk.last { // a complete reply is the caller's; the chunks of an incomplete one are counted here
		l.hub.reservedBytes.Add(int64(len(chunk.body)))
		call.reservedBytes += len(chunk.body)
		return nil, nil
	}
	delete(l.pending, chunk.stream)
	l.hub.reservedBytes.Add(-int64(call.reservedBytes))
	return call, nil
}

// handleCall takes a chunk of a call, and hands the call to its method's handler with the last one.
func (l *Link) handleCall(e *envelope) error {
	call, err := l.assembleCall(e)
	switch {
	case err != nil || call == nil:
		return err
	case call.overLimit:
		call.ReplyBytes(nil)
	default:
		l.hub.dispatch(call)
	}
	return nil
}

// assembleCall adds a chunk to a call of the peer. It returns the call once it is complete, and nil before. A single call that is too
// large is the peer's error; where all calls together are, the call is marked overLimit.
func (l *Link) assembleCall(chunk *envelope) (*IncomingCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.partial[chunk.stream]
	if call == nil {
		if len(l.incoming)+len(l.partial) >= maxPendingCalls {
			return nil, trace.LimitExceeded("over %d calls at once", maxPendingCalls)
		}
		call = l.newIncomingCall(chunk)
	} else {
		call.Body = append(call.Body, chunk.body...)
	}
	if len(call.Body) > maxMessageBytes || len(call.Body) > l.hub.maxCallBytes {
		return nil, trace.LimitExceeded("a call of over %d bytes", len(call.Body))
	}
	call.reservedBytes += len(chunk.body)
	if l.hub.reservedBytes.Add(int64(len(chunk.body))) > int64(l.hub.maxCallBytes) {
		call.overLimit = true
		call.Body = nil
		call.release()
	}
	if !chunk.last {
		l.partial[chunk.stream] = call
		return nil, nil
	}
	delete(l.partial, chunk.stream)
	l.incoming[chunk.stream] = call
	return call, nil
}

// newIncomingCall begins a call with its first chunk. The lock is held.
func (l *Link) newIncomingCall(e *envelope) *IncomingCall {
	call := &IncomingCall{link: l, stream: e.stream, From: &l.peerHello, method: e.method, Body: e.body}
	if e.expiresAt != 0 {
		call.ExpiresAt = l.peerClock.toLocal(e.expiresAt)
	}
	return call
}
