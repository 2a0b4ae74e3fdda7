package transport

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/mesh/transport/membudget"
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

// sendProgress is a message that is being sent, and how much of it was sent. The lock of its link guards it.
type sendProgress struct {
	stream      uint64
	current     []byte        // the buffer that is being sent, without what was added to a write
	rest        codec.Buffers // the buffers after current
	unsentBytes int           // number of bytes in current and rest
	sentBytes   int           // number of the message's bytes that were added to a write
	transfer    *transfer     // shaper's state for a message of several chunks; nil for a smaller message
}

func newSendProgress(stream uint64, body codec.Buffers) sendProgress {
	return sendProgress{stream: stream, rest: body, unsentBytes: body.Len()}
}

// releaseBody drops the unsent part of a message that is not sent any more. The message may stay in its queue for as long as the peer reads
// nothing.
func (s *sendProgress) releaseBody() {
	s.current = nil
	s.rest = nil
}

// next takes the next limit bytes, or all if there are fewer, off the unsent ones. A chunk that extends over several buffers is copied to
// scratch; the returned slice is valid until scratch is used again.
func (s *sendProgress) next(limit int, scratch *[]byte) (chunk []byte) {
	size := min(limit, s.unsentBytes)
	s.unsentBytes -= size
	s.sentBytes += size
	chunk = s.take(size)
	if len(chunk) == size {
		return chunk
	}
	*scratch = append((*scratch)[:0], chunk...)
	for len(*scratch) < size {
		*scratch = append(*scratch, s.take(size-len(*scratch))...)
	}
	return *scratch
}

// take takes up to n bytes off the current buffer; the next buffer becomes the current one if that is empty.
func (s *sendProgress) take(n int) (taken []byte) {
	if len(s.current) == 0 && len(s.rest) > 0 {
		s.current, s.rest = s.rest[0], s.rest[1:]
	}
	n = min(n, len(s.current))
	taken, s.current = s.current[:n], s.current[n:]
	return taken
}

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

// IncomingCall is a call of a peer. Its handler must reply to it once, by Reply or ReplyBytes.
type IncomingCall struct {
	From      *Hello        // the peer's Hello
	Body      codec.Buffers // the marshalled request, which the handler may keep
	ExpiresAt time.Duration // expiry on this process's clock; 0 if the call never expires

	link          *Link
	stream        uint64
	method        uint64
	onCancel      func() // set by OnCancel; called at most once
	cancelled     bool   // whether the caller has cancelled the call, or its link has ended
	bodyBytes     int    // number of the body's bytes that were received
	reservedBytes int64  // number of Body's bytes that are reserved in Hub.callMemory
	overLimit     bool   // whether the call was rejected for lack of memory, and no handler is called
}

// OnCancel sets a function that is called once, without locks, when the caller cancels the call or its link ends. If that has already
// happened, OnCancel calls the function before it returns.
func (i *IncomingCall) OnCancel(f func()) {
	i.link.mu.Lock()
	i.onCancel = f
	cancelled := i.cancelled
	i.link.mu.Unlock()
	if cancelled {
		f()
	}
}

// Reply sends the reply to the call. It has no effect if the call has already got a reply, or if the link has ended.
func (i *IncomingCall) Reply(m codec.Message) { i.ReplyBytes(codec.Marshal(m)) }

// ReplyBytes is Reply for a message that is already marshalled. Nil is the empty reply, all of whose fields are zero.
func (i *IncomingCall) ReplyBytes(body codec.Buffers) {
	l := i.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.incoming[i.stream] != i {
		return
	}
	delete(l.incoming, i.stream)
	i.release()
	l.enqueue(newOutgoingReply(i.stream, body, l.hub.replyMemory))
	l.wakeWriter()
}

// cancel marks the call as cancelled, and calls the function that OnCancel has set. The caller must not hold the link's lock.
func (i *IncomingCall) cancel() {
	i.link.mu.Lock()
	notify := i.onCancel
	alreadyCancelled := i.cancelled
	i.cancelled = true
	i.link.mu.Unlock()
	if notify != nil && !alreadyCancelled {
		notify()
	}
}

// release releases the memory that is reserved for the call's body. The caller holds the link's lock.
func (i *IncomingCall) release() {
	i.link.hub.callMemory.Release(i.reservedBytes)
	i.reservedBytes = 0
}

// outgoingReply is a reply that is being sent.
type outgoingReply struct {
	sendProgress
	memory       *membudget.Pool // pool that the reply's bytes are charged to until they were sent
	chargedBytes int64
}

// newOutgoingReply returns a reply. The bytes of a large reply are charged to memory.
func newOutgoingReply(stream uint64, body codec.Buffers, memory *membudget.Pool) *outgoingReply {
	reply := &outgoingReply{sendProgress: newSendProgress(stream, body), memory: memory}
	if reply.unsentBytes > maxChunkBytes {
		reply.chargedBytes = int64(reply.unsentBytes)
		memory.Charge(reply.chargedBytes)
	}
	return reply
}

// release releases the memory that is charged for the reply.
func (o *outgoingReply) release() {
	o.memory.Release(o.chargedBytes)
	o.chargedBytes = 0
}
