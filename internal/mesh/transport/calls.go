package transport

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// maxPendingCalls bounds the calls without a reply on a link.
const maxPendingCalls = 4096

// ConnectionError reports that a call got no reply: its link has ended, or it was cancelled before it was sent completely.
type ConnectionError struct {
	Peer   string // the peer's address
	Reason string // why the link ended, for people
	// Sent reports whether the last chunk of the call was handed to the connection. Peers execute complete calls only: a call that was not
	// sent has certainly not been executed, one that was sent may have been.
	Sent bool
}

// Error implements error.
func (c *ConnectionError) Error() string { return "link to " + c.Peer + " lost: " + c.Reason }

// sendProgress is a message that is being sent, and how much of it was sent. Its link's lock guards it.
type sendProgress struct {
	stream    uint64
	body      []byte
	sentBytes int       // bytes of the body that were added to a write
	transfer  *transfer // of a message of several chunks; nil for others
}

// PendingCall is a call of this process without a reply yet.
type PendingCall struct {
	sendProgress
	link          *Link
	method        uint64
	expiresAt     time.Duration // on this process's clock; 0 for never
	done          func(body []byte, err error)
	reply         []byte // the chunks of the reply that were received
	reservedBytes int    // bytes of the reply that are counted in Hub.reservedBytes
	fullySent     bool   // the last chunk was added to a write
	cancelled     bool
}

// Cancel cancels a call. A call that was not sent completely ends at once with a ConnectionError, and the rest of it is not sent. For one
// that was sent, the peer's handler is notified, and done still gets its reply.
func (p *PendingCall) Cancel() {
	l := p.link
	if l == nil {
		return
	}
	if l.cancelCall(p) {
		go p.done(nil, &ConnectionError{Peer: l.peer, Reason: reasonCancelled})
	}
}

// cancelCall cancels a pending call. It reports whether the call has ended by that, so that no reply will come.
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
	}
	l.wakeWriter()
	return !call.fullySent
}

// startCall queues a call. It returns false if the link is retired, so that another link is needed.
func (l *Link) startCall(call *PendingCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return false
	}
	now := l.hub.Now()
	l.lastCallAt = now
	if reason := l.cannotCall(); reason != "" {
		go call.done(nil, &ConnectionError{Peer: l.peer, Reason: reason})
		return true
	}
	l.lastStream++
	call.link = l
	call.stream = l.lastStream
	l.pending[call.stream] = call
	l.enqueue(call)
	if len(l.pending) == 1 {
		l.liveness.lastReceivedAt = now // the peer is expected to send from now on, not since its last frame
	}
	l.wakeWriter()
	return true
}

// cannotCall returns the reason why no call can be made; empty if one can. The lock is held.
func (l *Link) cannotCall() string {
	switch {
	case l.closed:
		return l.closeReason
	case len(l.pending) >= maxPendingCalls:
		return reasonTooManyCalls
	default:
		return ""
	}
}

// IncomingCall is a call of a peer. It needs one reply, by Reply or ReplyBytes.
type IncomingCall struct {
	From      *Hello        // of the peer
	Body      []byte        // may be kept and changed by the handler
	ExpiresAt time.Duration // on this process's clock; 0 for never

	link          *Link
	stream        uint64
	method        uint64
	onCancel      func() // set by OnCancel; called at most once
	cancelled     bool   // the caller has cancelled the call, or its link has ended
	reservedBytes int    // bytes of Body that are counted in Hub.reservedBytes
	overLimit     bool   // beyond maxCallBytes with other calls: it gets the empty reply, and no handler is called
}

// OnCancel sets a function that is called once, without locks, when the caller cancels the call or its link ends; at once if that has
// happened already.
func (i *IncomingCall) OnCancel(f func()) {
	i.link.mu.Lock()
	i.onCancel = f
	cancelled := i.cancelled
	i.link.mu.Unlock()
	if cancelled {
		f()
	}
}

// Reply sends the reply to the call. It has no effect if there was a reply before, or if the link has ended.
func (i *IncomingCall) Reply(m codec.Message) { i.ReplyBytes(codec.MarshalAppend(nil, m)) }

// ReplyBytes is Reply for a message that is marshalled already. Nil is the empty reply, all of whose fields are zero.
func (i *IncomingCall) ReplyBytes(body []byte) {
	l := i.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.incoming[i.stream] != i {
		return
	}
	delete(l.incoming, i.stream)
	i.release()
	l.enqueue(&outgoingReply{sendProgress{stream: i.stream, body: body}})
	l.wakeWriter()
}

// cancel marks the call as cancelled, and calls the function of OnCancel. The link's lock is not held.
func (i *IncomingCall) cancel() {
	i.link.mu.Lock()
	notify := i.onCancel
	again := i.cancelled
	i.cancelled = true
	i.link.mu.Unlock()
	if notify != nil && !again {
		notify()
	}
}

// release releases the memory that is reserved for the call's body. The link's lock is held.
func (i *IncomingCall) release() {
	i.link.hub.reservedBytes.Add(-int64(i.reservedBytes))
	i.reservedBytes = 0
}

// outgoingReply is a reply that is being sent.
type outgoingReply struct{ sendProgress }
