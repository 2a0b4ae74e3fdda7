package transport

import (
	"net"
	"sync"
	"time"

	"github.com/gammazero/deque"
)

// Times of a link.
const (
	dialMost      = 600 * time.Millisecond  // until a connection that is not up counts as failed
	quietMost     = 300 * time.Millisecond  // without a word, while something is awaited: a ping goes out
	restMost      = 2 * time.Second         // the same while nothing is
	idleMost      = 30 * time.Second        // without a call: whoever dialled closes it
	helloMost     = 1000 * time.Millisecond // until the peer has greeted on a new connection
	silentMost    = 1000 * time.Millisecond // after a ping without a word: the link is dead
	wokenAfter    = 500 * time.Millisecond  // between two looks that should be closer: this process stood still
	leaveMost     = 300 * time.Millisecond  // until a peer has closed the link of a process that leaves
	checkInterval = 100 * time.Millisecond
	readBuffer    = 4 << 10
	bufferBytes   = 128 << 10 // of a socket: what is in it can't be overtaken
)

// Link is a connection to one neighbour. The side that dialled calls, the side that accepted answers.
type Link struct {
	hub        *Hub
	peer       string // address, for people
	conn       net.Conn
	mu         sync.Mutex
	writerWake chan struct{}
	dead       bool
	// this process dialled it: it sends calls, once the peer has greeted
	dialled   bool
	connected time.Duration
	// closed as idle, or its peer leaves: new calls need another link
	retired     bool
	used        time.Duration // the last call
	peerGreeted bool
	// the writer has bytes that it has not handed to the connection yet
	writing bool
	// this side leaves: since when its peer has been told, and whether the sending half is closed
	leftAt   time.Duration
	finished bool
	why      string
	from     Hello
	next     uint64
	pending  map[uint64]*PendingCall  // by stream
	incoming map[uint64]*IncomingCall // whole, and not answered
	partial  map[uint64]*IncomingCall // not whole yet

	urgent deque.Deque[envelope]
	small  deque.Deque[any] // *PendingCall and *reply that fit into one piece,
	large  deque.Deque[any] // and those with several left to write, in turn

	heard     time.Duration // when the last frame came
	pinged    time.Duration // when an unanswered ping went out; 0 for none
	offset    time.Duration // the least seen of: own clock less the clock in a frame, as it came
	offsets   bool          // there is one
	lastCheck time.Duration
}

func newLink(h *Hub, peer string) *Link {
	return &Link{hub: h, peer: peer, writerWake: make(chan struct{}, 1), pending: map[uint64]*PendingCall{}, incoming: map[uint64]*IncomingCall{},
		partial: map[uint64]*IncomingCall{}, heard: h.Now(), lastCheck: h.Now()}
}

// fail ends a link, once.
func (l *Link) fail(why string) {
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return
	}
	l.dead, l.why = true, why
	pending, incoming := l.pending, l.incoming
	for _, c := range l.partial {
		c.release()
	}
	for _, c := range incoming {
		c.release()
	}
	for _, a := range pending {
		l.hub.held.Add(-int64(a.held))
	}
	l.pending, l.incoming, l.partial = map[uint64]*PendingCall{}, map[uint64]*IncomingCall{}, map[uint64]*IncomingCall{}
	l.small.Clear()
	l.clearLarge()
	l.urgent.Clear()
	l.mu.Unlock()
	if l.conn != nil {
		if t, ok := l.conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // what has not arrived yet never shall
		}
		l.conn.Close()
	}
	l.wakeWriter()
	l.hub.gone(l, why)
	for _, c := range incoming {
		c.withdrawn()
	}
	for _, a := range pending {
		a.done(nil, &ConnectionError{Peer: l.peer, Why: why, Sent: a.sent})
	}
}

// drain tells the peer of an accepted link that this process leaves, and whether the link has ended. The peer closes it once it has all its
// answers; with one that does not, this side closes its sending half after the last answer.
func (l *Link) drain(now time.Duration) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.dead || l.conn == nil:
		return true
	case l.leftAt == 0:
		l.leftAt = now
		l.urgent.PushBack(envelope{kind: uint64(leavingFrame)})
		l.wakeWriter()
	case l.finished || now-l.leftAt < leaveMost || l.writing || len(l.incoming)+l.small.Len()+l.large.Len()+l.urgent.Len() > 0:
	default:
		l.finished = true
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
	over := l.retired && !l.dead && len(l.pending) == 0
	l.mu.Unlock()
	if over {
		l.fail("leaving")
	}
}

// checkSilence pings a peer that has said nothing for a while, and fails a link whose peer stays silent. It is called every checkInterval.
func (l *Link) checkSilence(now time.Duration) {
	l.endIfRetired()
	l.mu.Lock()
	woken := now-l.lastCheck > wokenAfter
	l.lastCheck = now
	if woken { // what the others said meanwhile is still to be read
		l.heard, l.pinged = now, 0
	}
	quiet := restMost
	if len(l.pending) > 0 {
		quiet = quietMost
	}
	switch {
	case l.dead || l.conn == nil:
		l.mu.Unlock()
	case !l.greeted() && !woken && now-l.connected > helloMost:
		l.mu.Unlock()
		l.fail("no hello")
	case l.pinged != 0 && now-l.pinged > silentMost:
		l.mu.Unlock()
		l.fail("silent")
	case l.pinged == 0 && now-l.heard > quiet:
		l.pinged = now
		l.urgent.PushBack(envelope{kind: uint64(pingFrame)})
		l.mu.Unlock()
		l.wakeWriter()
	default:
		l.mu.Unlock()
	}
}
