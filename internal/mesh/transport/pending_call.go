package transport

import (
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// maxPendingCalls is the largest number of calls without a reply on a link.
const maxPendingCalls = 4096

// ConnectionError reports that a call got no reply, because its link has ended, the link had too many pending calls, or the call was
// cancelled before it was sent completely.
type ConnectionError struct {
	Peer   string // the peer's address
	Reason string // why the call got no reply; for logs, not for decisions
	// Sent reports whether the call was sent completely: its last chunk was handed to the connection. Peers execute complete calls only, so
	// a call that was not sent has certainly not been executed. One that was sent may have been executed.
	Sent bool
}

// Error implements error.
func (c *ConnectionError) Error() string { return "link to " + c.Peer + " lost: " + c.Reason }

// PendingCall is a call of this process that has no reply yet.
type PendingCall struct {
	sendProgress
	link          *Link
	method        uint64
	expiresAt     time.Duration // expiry on this process's clock; 0 if the call never expires
	done          func(body codec.Buffers, err error)
	reply         codec.Buffers // the part of the reply that was received
	reservedBytes int64         // number of the reply's bytes that are reserved in Hub.replyMemory
	fullySent     bool          // whether the last chunk was added to a write
	cancelled     bool
}

// Cancel cancels the call. If the call was not sent completely, it ends at once with a ConnectionError, and the rest of it is not sent.
// Otherwise the peer's handler is notified, and done still gets the reply.
func (p *PendingCall) Cancel() {
	l := p.link
	if l == nil {
		return
	}
	if l.cancelCall(p) {
		go p.done(nil, &ConnectionError{Peer: l.peer, Reason: reasonCancelled})
	}
}

// cancelCall cancels a pending call. It reports whether the call has thereby ended, without a reply.
func (l *Link) cancelCall(call *PendingCall) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.cancelled || l.pending[call.stream] != call {
		return false
	}
	call.cancelled = true
	if call.sentBytes > 0 || call.fullySent {
		l.queue.control.PushBack(envelope{kind: uint64(cancelFrame), stream: call.stream})
	}
	if !call.fullySent {
		delete(l.pending, call.stream)
		call.releaseBody()
	}
	l.wakeWriter()
	return !call.fullySent
}

// startCall queues a call. It returns false if the link is retired, and the call needs another link.
func (l *Link) startCall(call *PendingCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return false
	}
	now := l.hub.Now()
	l.lastCallAt = now
	if reason := l.callRefusal(); reason != "" {
		go call.done(nil, &ConnectionError{Peer: l.peer, Reason: reason})
		return true
	}
	l.lastStream++
	call.link = l
	call.stream = l.lastStream
	l.pending[call.stream] = call
	l.enqueue(call)
	if len(l.pending) == 1 {
		l.liveness.lastReceivedAt = now // the timeout for the peer's next frame starts now, not at its last frame
	}
	l.wakeWriter()
	return true
}

// callRefusal returns the reason why no call can be made; empty if a call can be made. The caller holds the lock.
func (l *Link) callRefusal() string {
	switch {
	case l.closed:
		return l.closeReason
	case len(l.pending) >= maxPendingCalls:
		return reasonTooManyCalls
	default:
		return ""
	}
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
