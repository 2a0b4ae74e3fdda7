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

// handleCancel cancels a call of the peer. It discards an incomplete call, and notifies the handler of a complete one.
func (l *Link) handleCancel(e *envelope) {
	if call := l.dropIncomplete(e.stream); call != nil {
		call.cancel()
	}
}

// dropIncomplete discards the incomplete call with a stream number, if there is one. It returns the complete call with that number; nil if
// there is none.
func (l *Link) dropIncomplete(stream uint64) *IncomingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call := l.incomplete[stream]; call != nil {
		call.release()
		delete(l.incomplete, stream)
	}
	return l.incoming[stream]
}

// handleReply handles a chunk of a reply. The last chunk ends the call. A chunk for which there is no memory ends it, too.
func (l *Link) handleReply(e *envelope) error {
	call, err := l.assembleReply(e)
	if call == nil {
		return err
	}
	call.done(call.reply, err)
	l.endIfRetired()
	return nil
}

// assembleReply appends a chunk to the reply of a pending call. It returns the call if it has ended: with its complete reply, or with a
// ConnectionError if there is no memory for the reply. Otherwise the call is nil. A chunk for a call that has ended is discarded. An error
// without a call means that the reply exceeds maxMessageBytes.
func (l *Link) assembleReply(chunk *envelope) (*PendingCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.pending[chunk.stream]
	if call == nil {
		return nil, nil
	}
	if call.reservedBytes+int64(len(chunk.body)) > maxMessageBytes {
		return nil, trace.LimitExceeded("the reply exceeds %d bytes", maxMessageBytes)
	}
	if chunk.last && call.reply == nil { // the only chunk
		call.reply = codec.BuffersOf(chunk.body)
		l.endReply(call)
		return call, nil
	}
	if !l.hub.replyMemory.Reserve(int64(len(chunk.body))) {
		l.endReply(call)
		call.reply = nil
		return call, &ConnectionError{Peer: l.peer, Reason: reasonReplyMemory, Sent: true}
	}
	call.reservedBytes += int64(len(chunk.body))
	call.reply = call.reply.AppendCopy(chunk.body)
	if !chunk.last {
		return nil, nil
	}
	l.endReply(call) // the caller accounts for a complete reply
	return call, nil
}

// endReply removes a pending call, and releases the memory of its reply. If the reply has arrived before the call was sent completely, the
// peer has rejected the call, and the rest is not sent. The caller holds the lock.
func (l *Link) endReply(call *PendingCall) {
	if !call.fullySent && !call.cancelled {
		call.cancelled = true
		l.queue.control.PushBack(envelope{kind: uint64(cancelFrame), stream: call.stream})
		l.wakeWriter()
	}
	delete(l.pending, call.stream)
	l.hub.replyMemory.Release(call.reservedBytes)
	call.reservedBytes = 0
}

// handleCall handles a chunk of a call. The last chunk dispatches the call.
func (l *Link) handleCall(e *envelope) error {
	call, err := l.assembleCall(e)
	switch {
	case err != nil || call == nil:
		return err
	default:
		l.hub.dispatch(call)
	}
	return nil
}

// assembleCall appends a chunk to a call of the peer. It returns the call if it is complete, otherwise nil. It fails if the call exceeds
// maxMessageBytes or maxCallBytes, if the link has too many calls, or if the call is complete already. If there is no memory for the call,
// it rejects the call at once, and discards the chunks that follow. It also discards what the reader has received before the link ended and
// handles after that.
func (l *Link) assembleCall(chunk *envelope) (*IncomingCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil // the memory of a call that came now would never be released
	}
	call := l.incomplete[chunk.stream]
	if call == nil {
		if len(l.incoming)+len(l.incomplete) >= maxPendingCalls {
			return nil, trace.LimitExceeded("over %d calls at once", maxPendingCalls)
		}
		if l.incoming[chunk.stream] != nil { // another call with its number would never release the memory of the first one
			return nil, trace.BadParameter("call %d was sent twice", chunk.stream)
		}
		call = l.newIncomingCall(chunk)
	}
	call.bodyBytes += len(chunk.body)
	if call.bodyBytes > min(maxMessageBytes, l.hub.maxCallBytes) {
		return nil, trace.LimitExceeded("a call of over %d bytes", call.bodyBytes)
	}
	call.appendChunk(chunk)
	if !chunk.last {
		l.incomplete[chunk.stream] = call
		return nil, nil
	}
	delete(l.incomplete, chunk.stream)
	if call.overLimit {
		return nil, nil
	}
	l.incoming[chunk.stream] = call
	return call, nil
}

// appendChunk appends a chunk to the call's body. If there is no memory for it, it rejects the call. The caller holds the link's lock.
func (i *IncomingCall) appendChunk(chunk *envelope) {
	size := int64(len(chunk.body))
	switch {
	case i.overLimit:
	case !i.link.hub.callMemory.Reserve(size):
		i.reject()
	case i.Body == nil && chunk.last: // the only chunk
		i.reservedBytes = size
		i.Body = codec.BuffersOf(chunk.body)
	default:
		i.reservedBytes += size
		i.Body = i.Body.AppendCopy(chunk.body)
	}
}

// reject discards the call's body and sends an empty reply, before the call is complete. The caller holds the link's lock.
func (i *IncomingCall) reject() {
	i.overLimit = true
	i.Body = nil
	i.release()
	i.link.enqueue(newOutgoingReply(i.stream, nil, nil))
	i.link.wakeWriter()
}

// newIncomingCall returns the call that a chunk belongs to, without the chunk. The caller holds the lock.
func (l *Link) newIncomingCall(e *envelope) *IncomingCall {
	call := &IncomingCall{link: l, stream: e.stream, From: &l.peerHello, method: e.method}
	if e.expiresAt != 0 {
		call.ExpiresAt = l.peerClock.toLocal(e.expiresAt)
	}
	return call
}
