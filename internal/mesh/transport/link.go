package transport

import (
	"net"
	"sync"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

const (
	dialTimeout       = 600 * time.Millisecond // to establish a connection
	idleTimeout       = 30 * time.Second       // since the last call, after which the side that dialled closes the link
	leaveTimeout      = 300 * time.Millisecond // for the peer of a draining process to close the link, before its sending half is closed
	readBufferBytes   = 4 << 10
	socketBufferBytes = 128 << 10 // of the kernel's write buffer; small, as no frame can overtake the bytes in it
)

// Reasons why a link ended, or a call got no reply. They appear in errors and logs. If a connection fails its error is the reason.
const (
	reasonCancelled    = "withdrawn"
	reasonClosed       = "closed"
	reasonIdle         = "idle"
	reasonLeaving      = "leaving"
	reasonNoHello      = "no hello"
	reasonNoPong       = "silent"
	reasonTooManyCalls = "too many calls at once"
)

// Link is a connection to one peer. The side that dialled sends calls, the side that accepted replies.
type Link struct {
	hub        *Hub
	peer       string        // the peer's address; of a dialled link also its key in the hub
	dialled    bool          // by this process
	writerWake chan struct{} // of capacity 1; wakes the writer

	mu          sync.Mutex // guards what follows; locked after the hub's mutex and before the shaper's
	conn        net.Conn   // nil until the connection is established; set once
	connectedAt time.Duration
	closed      bool
	closeReason string
	retired     bool // no new calls are sent on it: it was closed as idle, or its peer is draining
	peerGreeted bool // the peer's hello was received
	peerHello   Hello
	lastCallAt  time.Duration // when this process last made a call

	lastStream uint64                   // of this process's last call
	pending    map[uint64]*PendingCall  // by stream: this process's calls without a reply
	incoming   map[uint64]*IncomingCall // by stream: the peer's complete calls without a reply
	partial    map[uint64]*IncomingCall // by stream: the peer's incomplete calls

	queue   sendQueue
	writing bool // the writer has taken bytes from the queue that it has not written to the connection yet

	liveness  liveness
	peerClock peerClock

	leavingSince time.Duration // when the leavingFrame was queued; 0 for not yet
	writeClosed  bool          // the sending half of the connection is closed
}

func newLink(h *Hub, peer string, dialled bool) *Link {
	now := h.Now()
	return &Link{
		hub: h, peer: peer, dialled: dialled, writerWake: make(chan struct{}, 1),
		pending:  map[uint64]*PendingCall{},
		incoming: map[uint64]*IncomingCall{},
		partial:  map[uint64]*IncomingCall{},
		liveness: liveness{lastReceivedAt: now, lastCheckAt: now},
	}
}

// run serves the link on a connection until the link ends. It returns when the reader has ended.
func (l *Link) run(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
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

// attach sets the link's connection, and queues the hello as the first frame. It returns false if the link was closed meanwhile.
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

// mayCall reports whether calls may be sent. The kernel accepts connections for a suspended process: no call is sent before the process's
// hello, so that none is executed late when the process resumes. The lock is held.
func (l *Link) mayCall() bool { return l.peerGreeted || !l.dialled }

// unanswered has the calls without a reply of a link that has ended, and its connection.
type unanswered struct {
	conn     net.Conn // nil if there was none yet
	pending  map[uint64]*PendingCall
	incoming map[uint64]*IncomingCall
}

// fail ends the link; later calls have no effect. This process's pending calls end with a ConnectionError, and the peer's calls are
// cancelled. The lock is not held.
func (l *Link) fail(reason string) {
	left, ok := l.close(reason)
	if !ok {
		return
	}
	if left.conn != nil {
		if tcp, ok := left.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the kernel drops unsent bytes: no call may arrive after it has ended with a ConnectionError
		}
		l.hub.closeConn(left.conn, l.peer)
	}
	l.wakeWriter()
	l.hub.removeLink(l, reason)
	for _, call := range left.incoming {
		call.cancel()
	}
	for _, call := range left.pending {
		call.done(nil, &ConnectionError{Peer: l.peer, Reason: reason, Sent: call.fullySent})
	}
}

// close marks the link as closed, drops its queue and releases the memory of its calls. It returns false if the link was closed before.
func (l *Link) close(reason string) (left unanswered, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return unanswered{}, false
	}
	l.closed = true
	l.closeReason = reason
	for _, call := range l.partial {
		call.release()
	}
	for _, call := range l.incoming {
		call.release()
	}
	for _, call := range l.pending {
		l.hub.reservedBytes.Add(-int64(call.reservedBytes))
	}
	left = unanswered{conn: l.conn, pending: l.pending, incoming: l.incoming}
	l.pending = map[uint64]*PendingCall{}
	l.incoming = map[uint64]*IncomingCall{}
	l.partial = map[uint64]*IncomingCall{}
	l.queue.clear(&l.hub.shaper)
	return left, true
}

// endIfRetired ends a retired link without pending calls.
func (l *Link) endIfRetired() {
	l.mu.Lock()
	unused := l.retired && !l.closed && len(l.pending) == 0
	l.mu.Unlock()
	if unused {
		l.fail(reasonLeaving)
	}
}

// drain advances the draining of an accepted link, and reports whether the link has ended. First it notifies the peer, which closes the
// link once it has received all replies. If the peer has not done so within leaveTimeout, this side closes its sending half after the
// last reply. It is called every drainPollInterval.
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

// allReplied reports whether the replies to all calls of the peer were written completely. The lock is held.
func (l *Link) allReplied() bool { return !l.writing && len(l.incoming) == 0 && l.queue.len() == 0 }

// closeWrite closes the sending half of the connection: the peer reads EOF after the last reply. The lock is held.
func (l *Link) closeWrite() {
	l.writeClosed = true
	half, ok := l.conn.(interface{ CloseWrite() error })
	if !ok {
		l.hub.closeConn(l.conn, l.peer)
		return
	}
	if err := half.CloseWrite(); err != nil {
		l.hub.log.WithField("peer", l.peer).WithError(err).Debug("transport: the sending half of a link did not close")
	}
}
