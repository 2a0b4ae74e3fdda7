package transport

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// maxPendingCalls is how many calls of one peer may be without a reply at once.
const maxPendingCalls = 4096

// ConnectionError reports that a call got no reply because its link ended, or because it was cancelled before it was sent.
type ConnectionError struct {
	Peer   string // the peer's address
	Reason string // why the link ended, for people
	// Sent reports whether the last chunk of the call was handed to the connection. Peers execute complete calls only: a call that
	// was not sent has certainly not been executed, one that was sent may have been.
	Sent bool
}

// Error names the peer and the reason.
func (c *ConnectionError) Error() string { return "link to " + c.Peer + " lost: " + c.Reason }

// sendProgress is how far a message has been sent. Its link's lock guards it.
type sendProgress struct {
	stream    uint64
	body      []byte
	sentBytes int       // bytes of the body that were handed to the writer
	transfer  *transfer // of a message of several chunks; nil for others
}

// PendingCall is a call of this process that has no reply yet.
type PendingCall struct {
	sendProgress
	link          *Link
	method        uint64
	expiresAt     time.Duration // on this process's clock; 0 for never
	done          func(body []byte, err error)
	reply         []byte // the chunks of the reply so far
	reservedBytes int    // bytes of the reply that are counted in the hub
	fullySent     bool   // the whole body was handed to the writer
	cancelled     bool
}

// Cancel gives a call up. A call that was not sent completely never will be: it ends at once with a ConnectionError. For one that was
// sent, the peer is asked to cancel it, and its reply says how far it came.
func (p *PendingCall) Cancel() {
	l := p.link
	if l == nil {
		return
	}
	if l.cancelCall(p) {
		go p.done(nil, &ConnectionError{Peer: l.peer, Reason: reasonCancelled})
	}
}

// cancelCall cancels a pending call. It reports whether the call has ended by that, without a reply to come.
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

// startCall queues a call. It reports false if the link takes no more calls, and the caller needs another link.
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
		l.liveness.lastReceivedAt = now // the peer has to answer from now on, not from its last frame on
	}
	l.wakeWriter()
	return true
}

// cannotCall is why no call can be made; empty if one can. The lock is held.
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

// IncomingCall is a call of a peer that this process has to reply to.
type IncomingCall struct {
	From      *Hello        // the peer
	Body      []byte        // the handler's
	ExpiresAt time.Duration // on this process's clock; 0 for never

	link          *Link
	stream        uint64
	method        uint64
	onCancel      func() // set by OnCancel; called at most once
	cancelled     bool   // the caller has cancelled the call, or its link has ended
	reservedBytes int    // bytes of Body that are counted in the hub
	overLimit     bool   // the process has no memory for it: it gets an empty reply, and no handler sees it
}

// OnCancel has f called once when the caller has cancelled the call or its link has ended; at once if that is so already. f is called
// without locks.
func (i *IncomingCall) OnCancel(f func()) {
	i.link.mu.Lock()
	i.onCancel = f
	cancelled := i.cancelled
	i.link.mu.Unlock()
	if cancelled {
		f()
	}
}

// Reply replies to a call. A second reply to a call, and one whose link has ended, is dropped.
func (i *IncomingCall) Reply(m codec.Message) { i.ReplyBytes(codec.MarshalAppend(nil, m)) }

// ReplyBytes is Reply for a message that is marshalled already. Nil is the reply that says nothing: all fields are zero.
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

// cancel notes that the caller has cancelled the call, or that its link has ended. The link's lock is not held.
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

// release gives the memory back that is reserved for the call's body. The link's lock is held.
func (i *IncomingCall) release() {
	i.link.hub.reservedBytes.Add(-int64(i.reservedBytes))
	i.reservedBytes = 0
}

// outgoingReply is a reply on its way out.
type outgoingReply struct{ sendProgress }
