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

// Read implements io.Reader.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.hub.traffic.receivedBytes.Add(uint64(n))
	return n, err
}

// readLoop reads and handles frames until the link ends. It ends the link if the connection fails or the peer violates the protocol.
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

// isConnectionEnd reports whether err is an error of the connection, as opposed to an invalid frame.
func isConnectionEnd(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.As(err, &network)
}

// warnInvalid logs that the peer has violated the protocol.
func (l *Link) warnInvalid(err error) {
	l.hub.log.WithField("peer", l.peer).WithField("name", l.peerName()).WithError(err).Warn("transport: invalid frame, the link is closed")
}

// peerName returns the name of the peer's machine; empty before its hello.
func (l *Link) peerName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peerHello.Name
}

// handleFrame handles a frame of the peer. An error means that the peer has violated the protocol.
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
	default: // a pong, which observe has recorded, or a kind of a later version
	}
	return nil
}

// observe records that a frame was received, and its sender's clock.
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
	l.wakeWriter() // calls may be sent now
	return nil
}

func (l *Link) handlePing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.control.PushBack(envelope{kind: uint64(pongFrame)})
	l.wakeWriter()
}

// handleCancel cancels a call of the peer. An incomplete call is dropped; the handler of a complete one is notified.
func (l *Link) handleCancel(e *envelope) {
	if call := l.dropPartial(e.stream); call != nil {
		call.cancel()
	}
}

// dropPartial drops the incomplete call with a stream, if there is one. It returns the complete call with the stream; nil if there is none.
func (l *Link) dropPartial(stream uint64) *IncomingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if partial := l.partial[stream]; partial != nil {
		partial.release()
		delete(l.partial, stream)
	}
	return l.incoming[stream]
}

// handleReply handles a chunk of a reply. The last chunk ends the call.
func (l *Link) handleReply(e *envelope) error {
	call, err := l.assembleReply(e)
	if err != nil || call == nil {
		return err
	}
	call.done(call.reply, nil)
	l.endIfRetired()
	return nil
}

// assembleReply appends a chunk to the reply of a pending call. It returns the call if its reply is complete; nil if not. A reply to a call
// that has ended is dropped.
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
	if !chunk.last { // only incomplete replies count: a complete one is handed over to the caller
		l.hub.reservedBytes.Add(int64(len(chunk.body)))
		call.reservedBytes += len(chunk.body)
		return nil, nil
	}
	delete(l.pending, chunk.stream)
	l.hub.reservedBytes.Add(-int64(call.reservedBytes))
	return call, nil
}

// handleCall handles a chunk of a call. The last chunk dispatches the call.
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

// assembleCall appends a chunk to a call of the peer. It returns the call if it is complete; nil if not. A call beyond maxMessageBytes or
// maxCallBytes is an error. If all calls together are beyond maxCallBytes, the call is marked overLimit.
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

// newIncomingCall returns a call with its first chunk. The lock is held.
func (l *Link) newIncomingCall(e *envelope) *IncomingCall {
	call := &IncomingCall{link: l, stream: e.stream, From: &l.peerHello, method: e.method, Body: e.body}
	if e.expiresAt != 0 {
		call.ExpiresAt = l.peerClock.toLocal(e.expiresAt)
	}
	return call
}
