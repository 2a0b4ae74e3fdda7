package transport

import (
	"net"
	"sync"
	"time"

	"github.com/gammazero/deque"
)

// Times of a link.
const (
	dialTimeout       = 600 * time.Millisecond  // until a connection that is not up counts as failed
	pendingPingDelay  = 300 * time.Millisecond  // without a word, while something is awaited: a ping goes out
	idlePingDelay     = 2 * time.Second         // the same while nothing is
	idleTimeout       = 30 * time.Second        // without a call: whoever dialled closes it
	helloTimeout      = 1000 * time.Millisecond // until the peer has greeted on a new connection
	pongTimeout       = 1000 * time.Millisecond // after a ping without a word: the link is dead
	suspendThreshold  = 500 * time.Millisecond  // between two looks that should be closer: this process stood still
	leaveTimeout      = 300 * time.Millisecond  // until a peer has closed the link of a process that leaves
	checkInterval     = 100 * time.Millisecond
	readBufferBytes   = 4 << 10
	socketBufferBytes = 128 << 10 // of a socket: what is in it can't be overtaken
)

// Link is a connection to one neighbour. The side that dialled calls, the side that accepted answers.
type Link struct {
	hub        *Hub
	peer       string // address, for people
	conn       net.Conn
	mu         sync.Mutex
	writerWake chan struct{}
	closed     bool
	// this process dialled it: it sends calls, once the peer has greeted
	dialled     bool
	connectedAt time.Duration
	// closed as idle, or its peer leaves: new calls need another link
	retired     bool
	lastCallAt  time.Duration // the last call
	peerGreeted bool
	// the writer has bytes that it has not handed to the connection yet
	writing bool
	// this side leaves: since when its peer has been told, and whether the sending half is closed
	leavingSince time.Duration
	writeClosed  bool
	closeReason  string
	peerHello    Hello
	lastStream   uint64
	pending      map[uint64]*PendingCall  // by stream
	incoming     map[uint64]*IncomingCall // whole, and not answered
	partial      map[uint64]*IncomingCall // not whole yet

	controlFrames deque.Deque[envelope]
	smallMessages deque.Deque[any] // *PendingCall and *reply that fit into one piece,
	largeMessages deque.Deque[any] // and those with several left to write, in turn

	lastReceivedAt   time.Duration // when the last frame came
	pingSentAt       time.Duration // when an unanswered ping went out; 0 for none
	clockOffset      time.Duration // the least seen of: own clock less the clock in a frame, as it came
	clockOffsetKnown bool          // there is one
	lastCheckAt      time.Duration
}

func newLink(h *Hub, peer string) *Link {
	return &Link{
		hub: h, peer: peer, writerWake: make(chan struct{}, 1), pending: map[uint64]*PendingCall{}, incoming: map[uint64]*IncomingCall{},
		partial: map[uint64]*IncomingCall{}, lastReceivedAt: h.Now(), lastCheckAt: h.Now(),
	}
}

// fail ends a link, once.
func (l *Link) fail(why string) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed, l.closeReason = true, why
	pending, incoming := l.pending, l.incoming
	for _, c := range l.partial {
		c.release()
	}
	for _, c := range incoming {
		c.release()
	}
	for _, a := range pending {
		l.hub.reservedBytes.Add(-int64(a.reservedBytes))
	}
	l.pending, l.incoming, l.partial = map[uint64]*PendingCall{}, map[uint64]*IncomingCall{}, map[uint64]*IncomingCall{}
	l.smallMessages.Clear()
	l.dropLargeMessages()
	l.controlFrames.Clear()
	l.mu.Unlock()
	if l.conn != nil {
		if t, ok := l.conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // what has not arrived yet never shall
		}
		l.conn.Close()
	}
	l.wakeWriter()
	l.hub.removeLink(l, why)
	for _, c := range incoming {
		c.cancel()
	}
	for _, a := range pending {
		a.done(nil, &ConnectionError{Peer: l.peer, Reason: why, Sent: a.fullySent})
	}
}

// drain tells the peer of an accepted link that this process leaves, and whether the link has ended. The peer closes it once it has all its
// answers; with one that does not, this side closes its sending half after the last answer.
func (l *Link) drain(now time.Duration) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed || l.conn == nil:
		return true
	case l.leavingSince == 0:
		l.leavingSince = now
		l.controlFrames.PushBack(envelope{kind: uint64(leavingFrame)})
		l.wakeWriter()
	case l.writeClosed || now-l.leavingSince < leaveTimeout || l.writing || len(l.incoming)+l.smallMessages.Len()+l.largeMessages.Len()+l.controlFrames.Len() > 0:
	default:
		l.writeClosed = true
		if half, ok := l.conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		} else {
			l.conn.Close()
		}
	}
	return false
}

// endIfRetired ends a link whose peer leaves, once nothing is under way on it.
func (l *Link) endIfRetired() {
	l.mu.Lock()
	over := l.retired && !l.closed && len(l.pending) == 0
	l.mu.Unlock()
	if over {
		l.fail("leaving")
	}
}

// checkLiveness pings a peer that has said nothing for a while, and fails a link whose peer stays silent. It is called every checkInterval.
func (l *Link) checkLiveness(now time.Duration) {
	l.endIfRetired()
	l.mu.Lock()
	woken := now-l.lastCheckAt > suspendThreshold
	l.lastCheckAt = now
	if woken { // what the others said meanwhile is still to be read
		l.lastReceivedAt, l.pingSentAt = now, 0
	}
	quiet := idlePingDelay
	if len(l.pending) > 0 {
		quiet = pendingPingDelay
	}
	switch {
	case l.closed || l.conn == nil:
		l.mu.Unlock()
	case !l.mayCall() && !woken && now-l.connectedAt > helloTimeout:
		l.mu.Unlock()
		l.fail("no hello")
	case l.pingSentAt != 0 && now-l.pingSentAt > pongTimeout:
		l.mu.Unlock()
		l.fail("silent")
	case l.pingSentAt == 0 && now-l.lastReceivedAt > quiet:
		l.pingSentAt = now
		l.controlFrames.PushBack(envelope{kind: uint64(pingFrame)})
		l.mu.Unlock()
		l.wakeWriter()
	default:
		l.mu.Unlock()
	}
}
