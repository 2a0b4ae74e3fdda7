package transport

import (
	"net"
	"sync"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

const (
	dialTimeout       = 600 * time.Millisecond // limit for establishing a connection
	idleTimeout       = 30 * time.Second       // time since the last call after which the side that dialled closes the link
	leaveTimeout      = 300 * time.Millisecond // time for the peer to close the link after a leavingFrame, before this side half-closes it
	readBufferBytes   = 4 << 10                // size of a link's read buffer
	socketBufferBytes = 128 << 10              // size of the kernel's write buffer; small, because no frame can overtake the bytes in it
)

// Reasons why a link ended, or why a call got no reply. They appear in errors and logs. If a connection fails, the text of its error is the
// reason.
const (
	reasonCancelled    = "withdrawn"
	reasonClosed       = "closed"
	reasonIdle         = "idle"
	reasonLeaving      = "leaving"
	reasonNoHello      = "no hello"
	reasonNoPong       = "silent"
	reasonTooManyCalls = "too many calls at once"
	reasonReplyMemory  = "no memory for the reply"
)

// Link is a connection to one peer. The side that dialled it sends calls, and the side that accepted it replies.
type Link struct {
	hub        *Hub
	peer       string        // the peer's address; for a dialled link also its key in Hub.activeLinks
	dialled    bool          // whether this process dialled the link
	writerWake chan struct{} // wakes the writer; its capacity is 1
	replySpace wakeup        // wakes the reader while it waits for replies to be sent

	mu          sync.Mutex // guards the fields below; locked after the hub's mutex and before the shaper's
	conn        net.Conn   // nil until the connection is established; set once
	connectedAt time.Duration
	closed      bool
	closeReason string
	retired     bool // whether new calls need another link: this one was closed as idle, or its peer is draining
	peerGreeted bool // whether the peer's hello was received
	peerHello   Hello
	lastCallAt  time.Duration // when this process last made a call

	lastStream uint64                   // stream number of this process's last call
	pending    map[uint64]*PendingCall  // this process's calls without a reply, by stream number
	incoming   map[uint64]*IncomingCall // the peer's complete calls without a reply, by stream number
	incomplete map[uint64]*IncomingCall // the peer's calls of which chunks are still missing, by stream number

	queue   sendQueue
	scratch []byte // buffer for a chunk that extends over several buffers of its message
	writing bool   // whether the writer has taken bytes from the queue that it has not written to the connection yet

	liveness  liveness
	peerClock peerClock

	leavingSince time.Duration // when the leavingFrame was queued; 0 if it was not queued yet
	writeClosed  bool          // whether the sending half of the connection is closed
}

// tcpConn has the methods of a TCP connection that a link uses if its connection has them.
type tcpConn interface {
	SetLinger(seconds int) error
	SetWriteBuffer(bytes int) error
}

func newLink(h *Hub, peer string, dialled bool) *Link {
	now := h.Now()
	return &Link{
		hub: h, peer: peer, dialled: dialled, writerWake: make(chan struct{}, 1), replySpace: newWakeup(),
		pending:    map[uint64]*PendingCall{},
		incoming:   map[uint64]*IncomingCall{},
		incomplete: map[uint64]*IncomingCall{},
		liveness:   liveness{lastReceivedAt: now, lastCheckAt: now},
	}
}

// run serves the link on a connection. It blocks until the link ends and the reader has returned.
func (l *Link) run(conn net.Conn) {
	if tcp, ok := conn.(tcpConn); ok {
		_ = tcp.SetWriteBuffer(socketBufferBytes) // the link works with any size
	}
	if !l.attach(conn) {
		l.hub.closeConn(conn, l.peer)
		return
	}
	l.wakeWriter()
	l.hub.goroutines.Go(l.writeLoop)
	l.readLoop(conn)
}

// attach sets the link's connection, and queues the hello as the first frame. It returns false if the link is already closed.
func (l *Link) attach(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conn = conn
	l.queue.control.PushFront(envelope{kind: uint64(helloFrame), body: codec.MarshalAppend(nil, &l.hub.self)})
	now := l.hub.Now()
	l.liveness.lastReceivedAt = now
	l.connectedAt = now
	return true
}

// canSendCalls reports whether calls may be sent. The kernel accepts connections even for a suspended process. No call is therefore sent
// before the peer's hello has arrived, so that none is executed late, when the peer resumes. The caller holds the lock.
func (l *Link) canSendCalls() bool { return l.peerGreeted || !l.dialled }

// unansweredCalls are the calls without a reply of a link that has ended, and the link's connection.
type unansweredCalls struct {
	conn     net.Conn // nil if the connection was not established yet
	pending  map[uint64]*PendingCall
	incoming map[uint64]*IncomingCall
}

// fail ends the link; only the first call has an effect. This process's pending calls end with a ConnectionError, and the peer's calls are
// cancelled. The caller must not hold the lock.
func (l *Link) fail(reason string) {
	unanswered, ok := l.markClosed(reason)
	if !ok {
		return
	}
	if unanswered.conn != nil {
		if tcp, ok := unanswered.conn.(tcpConn); ok {
			_ = tcp.SetLinger(0) // the kernel discards unsent bytes, so that no call arrives after it has ended with a ConnectionError
		}
		l.hub.closeConn(unanswered.conn, l.peer)
	}
	l.wakeWriter()
	l.replySpace.wake()
	l.hub.removeLink(l, reason)
	for _, call := range unanswered.incoming {
		call.cancel()
	}
	for _, call := range unanswered.pending {
		call.done(nil, &ConnectionError{Peer: l.peer, Reason: reason, Sent: call.fullySent})
	}
}

// markClosed marks the link as closed, discards its queue and releases the memory of its calls. ok is false if it was already closed.
func (l *Link) markClosed(reason string) (unanswered unansweredCalls, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return unansweredCalls{}, false
	}
	l.closed = true
	l.closeReason = reason
	for _, call := range l.incomplete {
		call.release()
	}
	for _, call := range l.incoming {
		call.release()
	}
	for _, call := range l.pending {
		l.hub.replyMemory.Release(call.reservedBytes)
	}
	unanswered = unansweredCalls{conn: l.conn, pending: l.pending, incoming: l.incoming}
	l.pending = map[uint64]*PendingCall{}
	l.incoming = map[uint64]*IncomingCall{}
	l.incomplete = map[uint64]*IncomingCall{}
	l.queue.clear(l.hub.Now(), &l.hub.shaper)
	return unanswered, true
}

// endIfRetired ends the link if it is retired and has no pending calls.
func (l *Link) endIfRetired() {
	l.mu.Lock()
	finished := l.retired && !l.closed && len(l.pending) == 0
	l.mu.Unlock()
	if finished {
		l.fail(reasonLeaving)
	}
}

// drain takes the next step in draining an accepted link, and reports whether the link has ended. The first call notifies the peer, which
// closes the link once it has received all replies. If the peer has not closed it within leaveTimeout, this side closes its sending half
// after the last reply. The hub calls drain every drainPollInterval.
func (l *Link) drain(now time.Duration) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.conn == nil {
		return true
	}
	if l.leavingSince == 0 {
		l.leavingSince = now
		l.queue.control.PushBack(envelope{kind: uint64(leavingFrame)})
		l.wakeWriter()
		return false
	}
	if !l.writeClosed && now-l.leavingSince >= leaveTimeout && l.allReplied() {
		l.closeWrite()
	}
	return false
}

// allReplied reports whether the replies to all calls of the peer were written completely. The caller holds the lock.
func (l *Link) allReplied() bool { return !l.writing && len(l.incoming) == 0 && l.queue.len() == 0 }

// closeWrite closes the sending half of the connection, so that the peer reads EOF after the last reply. The caller holds the lock.
func (l *Link) closeWrite() {
	l.writeClosed = true
	half, ok := l.conn.(interface{ CloseWrite() error })
	if !ok {
		l.hub.closeConn(l.conn, l.peer)
		return
	}
	if err := half.CloseWrite(); err != nil {
		l.hub.log.WithField("peer", l.peer).WithError(err).Debug("transport: failed to close the sending half of a connection")
	}
}
