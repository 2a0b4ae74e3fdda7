package transport

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// ConnectionError says that a link ended before the reply. Sent tells whether the whole of the call may have reached the peer, which
// begins nothing before.
type ConnectionError struct {
	Peer   string
	Reason string
	Sent   bool
}

func (c *ConnectionError) Error() string { return "link to " + c.Peer + " lost: " + c.Reason }

// PendingCall is a call of this process that has no reply yet. Its end is told once.
type PendingCall struct {
	link          *Link
	stream        uint64
	method        uint64
	body          []byte
	expiresAt     time.Duration
	done          func(body []byte, err error)
	sentBytes     int    // bytes of the body that were handed to the connection
	fullySent     bool   // all of them
	reply         []byte // what has come of the reply
	reservedBytes int    // bytes of it, counted in the hub
	cancelled     bool   // withdrawn
	transfer      *transfer
}

// IncomingCall is a call of a peer that this process has to answer.
type IncomingCall struct {
	link          *Link
	stream        uint64
	From          *Hello
	Body          []byte
	ExpiresAt     time.Duration // on this process's clock; 0 for never
	method        uint64
	onCancel      func() // OnCancel
	cancelled     bool   // the caller has given up or is gone
	reservedBytes int    // bytes of its body, counted in the hub
	// there is no room for it: it is answered by nothing, and not handed over
	overLimit bool
}

// release gives back what is counted for its body.
func (i *IncomingCall) release() {
	i.link.hub.reservedBytes.Add(-int64(i.reservedBytes))
	i.reservedBytes = 0
}

// OnCancel has f called, once, when the caller has given up or is gone; at once if that is so already.
func (i *IncomingCall) OnCancel(f func()) {
	i.link.mu.Lock()
	i.onCancel = f
	over := i.cancelled
	i.link.mu.Unlock()
	if over {
		f()
	}
}

// cancel notes that the caller has given up or is gone. It is called without the lock.
func (i *IncomingCall) cancel() {
	i.link.mu.Lock()
	f, again := i.onCancel, i.cancelled
	i.cancelled = true
	i.link.mu.Unlock()
	if f != nil && !again {
		f()
	}
}

// outgoingReply is an answer on its way out.
type outgoingReply struct {
	stream    uint64
	body      []byte
	sentBytes int
	transfer  *transfer
}

// startCall queues a call; false if the link takes none any more. It is called without the lock.
func (l *Link) startCall(a *PendingCall) bool {
	l.mu.Lock()
	if l.retired {
		l.mu.Unlock()
		return false
	}
	l.lastCallAt = l.hub.Now()
	if l.closed || len(l.pending) >= maxPendingCalls {
		why := l.closeReason
		if !l.closed {
			why = "too many calls at once"
		}
		l.mu.Unlock()
		go a.done(nil, &ConnectionError{Peer: l.peer, Reason: why})
		return true
	}
	l.lastStream++
	a.link, a.stream = l, l.lastStream
	l.pending[a.stream] = a
	l.enqueue(a, len(a.body))
	if len(l.pending) == 1 {
		l.lastReceivedAt = l.hub.Now() // silence counts from when something is awaited
	}
	l.mu.Unlock()
	l.wakeWriter()
	return true
}

// Cancel gives a call up: one that has not gone out whole never will, and ends so at once; of one that has, the peer's reply says how
// far it came.
func (p *PendingCall) Cancel() {
	l := p.link
	if l == nil {
		return
	}
	l.mu.Lock()
	if p.cancelled || l.pending[p.stream] != p {
		l.mu.Unlock()
		return
	}
	p.cancelled = true
	if p.sentBytes > 0 || p.fullySent {
		l.controlFrames.PushBack(envelope{kind: uint64(cancelFrame), stream: p.stream})
	}
	if !p.fullySent {
		delete(l.pending, p.stream)
		l.mu.Unlock()
		l.wakeWriter()
		go p.done(nil, &ConnectionError{Peer: l.peer, Reason: "withdrawn"})
		return
	}
	l.mu.Unlock()
	l.wakeWriter()
}

// Reply answers a call. The second answer to a call, and one to a caller that is gone, goes nowhere.
func (i *IncomingCall) Reply(m codec.Message) { i.ReplyBytes(codec.MarshalAppend(nil, m)) }

// ReplyBytes is Answer for what is written already.
func (i *IncomingCall) ReplyBytes(body []byte) {
	l := i.link
	l.mu.Lock()
	if l.closed || l.incoming[i.stream] != i {
		l.mu.Unlock()
		return
	}
	delete(l.incoming, i.stream)
	i.release()
	l.enqueue(&outgoingReply{stream: i.stream, body: body}, len(body))
	l.mu.Unlock()
	l.wakeWriter()
}
