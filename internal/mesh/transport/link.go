package transport

import (
	"net"
	"sync"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

const (
	dialTimeout       = 600 * time.Millisecond // until a connection that is not established counts as failed
	idleTimeout       = 30 * time.Second       // without a call: the side that dialled closes the link
	leaveTimeout      = 300 * time.Millisecond // of a draining process, until its peer has closed the link
	readBufferBytes   = 4 << 10
	socketBufferBytes = 128 << 10 // for writing: no later frame can overtake what is in it
)

// Why a link ended, or a call got no reply. The texts appear in errors and logs; where a connection fails, its error is the reason.
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
	peer       string        // the peer's address, for people; of a dialled link also its key in the hub
	dialled    bool          // by this process
	writerWake chan struct{} // holds one: the writer has something to do

	mu          sync.Mutex // guards what follows. It is taken after the hub's and before the shaper's
	conn        net.Conn   // nil while it is dialled; set once
	connectedAt time.Duration
	closed      bool
	closeReason string
	retired     bool // takes no new calls: it was closed as idle, or its peer is draining
	peerGreeted bool // the peer's hello has come
	peerHello   Hello
	lastCallAt  time.Duration // when this process last made a call

	lastStream uint64                   // the number of this process's last call
	pending    map[uint64]*PendingCall  // this process's calls without a reply, by stream
	incoming   map[uint64]*IncomingCall // the peer's complete calls without a reply
	partial    map[uint64]*IncomingCall // the peer's calls of which chunks are missing

	queue   sendQueue
	writing bool // the writer has bytes that it has not handed to the connection yet

	liveness  liveness
	peerClock peerClock

	leavingSince time.Duration // when this draining process notified its peer; 0 for not yet
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

// run sends and receives on a connection until the link ends. It returns when its reader has ended.
func (l *Link) run(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBufferBytes) // a hint: the link works with any size
	}
	if !l.attach(conn) {
		l.hub.closeConn(conn, l.peer)
		return
	}
	l.wakeWriter()
	l.hub.goroutines.Go(l.writeLoop)
	l.readLoop(conn)
}

// attach gives the link its connection, and has the greeting go out first. It reports false if the link was closed meanwhile.
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

// mayCall reports whether calls may go out. The connection may have been accepted by the kernel of a machine whose process does not
// run: no call goes there before the process's hello, so that none can begin when it resumes. The lock is held.
func (l *Link) mayCall() bool { return l.peerGreeted || !l.dialled }

// unanswered is what a link has without a reply when it ends.
type unanswered struct {
	conn     net.Conn // nil if there was none yet
	pending  map[uint64]*PendingCall
	incoming map[uint64]*IncomingCall
}

// fail ends the link, once: its calls without a reply end with a ConnectionError, and the peer's calls are cancelled for their
// handlers. The lock is not held.
func (l *Link) fail(reason string) {
	left, ok := l.close(reason)
	if !ok {
		return
	}
	if left.conn != nil {
		if tcp, ok := left.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // what has not arrived yet never does: no call may begin once its caller counts it as lost
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

// close marks the link closed, drops what it has to send and gives back the memory of its calls. It reports false if the link was
// closed before.
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

// endIfRetired ends a link whose peer is draining, once no call on it is pending.
func (l *Link) endIfRetired() {
	l.mu.Lock()
	unused := l.retired && !l.closed && len(l.pending) == 0
	l.mu.Unlock()
	if unused {
		l.fail(reasonLeaving)
	}
}

// drain notifies the peer of an accepted link that this process is draining, and reports whether the link has ended. The peer closes it
// once it has all its replies; if it does not, this side closes its sending half after the last reply. It is called every
// drainPollInterval.
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

// allReplied reports whether every call of the peer has its reply, down to the last byte. The lock is held.
func (l *Link) allReplied() bool { return !l.writing && len(l.incoming) == 0 && l.queue.len() == 0 }

// closeWrite closes the sending half of the connection: the peer reads the end after the last reply. The lock is held.
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
