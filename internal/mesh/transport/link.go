package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gammazero/deque"
	"github.com/gravitational/trace"

	"gingerlead/internal/mesh/transport/codec"
)

// Times of a link.
const (
	dialMost    = 600 * time.Millisecond  // until a connection that is not up counts as failed
	quietMost   = 300 * time.Millisecond  // without a word, while something is awaited: a ping goes out
	restMost    = 2 * time.Second         // the same while nothing is
	idleMost    = 30 * time.Second        // without an ask: whoever dialled closes it
	helloMost   = 1000 * time.Millisecond // until the peer has greeted on a new connection
	silentMost  = 1000 * time.Millisecond // after a ping without a word: the link is dead
	wokenAfter  = 500 * time.Millisecond  // between two looks that should be closer: this process stood still
	leaveMost   = 300 * time.Millisecond  // until a peer has closed the link of a process that leaves
	lookEvery   = 100 * time.Millisecond
	readBuffer  = 4 << 10
	bufferBytes = 128 << 10 // of a socket: what is in it can't be overtaken
)

// ErrLost says that a link ended before the answer. Sent tells whether the whole of the ask may have reached the other side,
// which begins nothing before.
type ConnectionError struct {
	Peer string
	Why  string
	Sent bool
}

func (e *ConnectionError) Error() string { return "link to " + e.Peer + " lost: " + e.Why }

// Ask is one question on its way. Its answer comes once.
type PendingCall struct {
	link   *Link
	stream uint64
	method uint64
	body   []byte
	expire time.Duration
	done   func(body []byte, err error)
	off    int
	sent   bool
	in     []byte
	held   int // bytes of it, counted in the hub
	quit   bool
	turn   *turn
}

// Call is an ask as the one who is asked has it.
type IncomingCall struct {
	link    *Link
	stream  uint64
	From    *Hello
	Body    []byte
	Expires time.Duration // on this process's clock; 0 for never
	method  uint64
	quit    func()
	over    bool // the asker has given up or is gone
	held    int  // bytes of its body, counted in the hub
	skip    bool // there is no room for it: it is answered by nothing, and not handed over
}

// let lets go of what is counted for its body.
func (c *IncomingCall) let() {
	c.link.hub.held.Add(-int64(c.held))
	c.held = 0
}

// OnWithdrawn has f called, once, when the asker has given up or is gone; at once if that is so already.
func (c *IncomingCall) OnWithdrawn(f func()) {
	c.link.mu.Lock()
	c.quit = f
	over := c.over
	c.link.mu.Unlock()
	if over {
		f()
	}
}

// withdrawn is to be called without the lock.
func (c *IncomingCall) withdrawn() {
	c.link.mu.Lock()
	f, again := c.quit, c.over
	c.over = true
	c.link.mu.Unlock()
	if f != nil && !again {
		f()
	}
}

type reply struct {
	stream uint64
	body   []byte
	off    int
	turn   *turn
}

// Link is a connection to one neighbour. Whoever dialled asks, whoever accepted answers.
type Link struct {
	hub  *Hub
	peer string // address, for people
	conn net.Conn
	mu   sync.Mutex
	wake chan struct{}
	dead bool
	// this process dialled it: it sends calls, once the peer has greeted
	dialled   bool
	connected time.Duration
	// closed as idle, or its peer leaves: new calls need another link
	rested bool
	used   time.Duration // the last ask
	up     bool
	// the writer has bytes that it has not handed to the connection yet
	writing bool
	// this side leaves: since when its peer has been told, and whether the sending half is closed
	leftAt   time.Duration
	finished bool
	why      string
	from     Hello
	next     uint64
	asks     map[uint64]*PendingCall
	calls    map[uint64]*IncomingCall
	parts    map[uint64]*IncomingCall // not whole yet

	urgent deque.Deque[envelope]
	small  deque.Deque[any] // *Ask and *reply that fit into one piece,
	large  deque.Deque[any] // and those with several left to write, in turn

	heard   time.Duration // a word, last
	pinged  time.Duration // an unanswered ping; 0 for none
	offset  time.Duration // the least seen of: own clock less the clock in a frame, as it came
	offsets bool
	looked  time.Duration
}

func newLink(h *Hub, peer string) *Link {
	return &Link{hub: h, peer: peer, wake: make(chan struct{}, 1), asks: map[uint64]*PendingCall{}, calls: map[uint64]*IncomingCall{},
		parts: map[uint64]*IncomingCall{}, heard: h.Now(), looked: h.Now()}
}

func (l *Link) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ask puts a question in line; false if the link was closed as idle. Called with no lock of the link's held.
func (l *Link) ask(a *PendingCall) bool {
	l.mu.Lock()
	if l.rested {
		l.mu.Unlock()
		return false
	}
	l.used = l.hub.Now()
	if l.dead || len(l.asks) >= asksMost {
		why := l.why
		if !l.dead {
			why = "too many asks at once"
		}
		l.mu.Unlock()
		go a.done(nil, &ConnectionError{Peer: l.peer, Why: why})
		return true
	}
	l.next++
	a.link, a.stream = l, l.next
	l.asks[a.stream] = a
	l.line(a, len(a.body))
	if len(l.asks) == 1 {
		l.heard = l.hub.Now() // silence counts from when something is awaited
	}
	l.mu.Unlock()
	l.rouse()
	return true
}

// Withdraw gives an ask up: what has not gone out never will, and its answer says so; of what has, the other side tells how
// far it came.
func (a *PendingCall) Withdraw() {
	l := a.link
	if l == nil {
		return
	}
	l.mu.Lock()
	if a.quit || l.asks[a.stream] != a {
		l.mu.Unlock()
		return
	}
	a.quit = true
	if a.off > 0 || a.sent {
		l.urgent.PushBack(envelope{kind: uint64(withdraw), stream: a.stream})
	}
	if !a.sent {
		delete(l.asks, a.stream)
		l.mu.Unlock()
		l.rouse()
		go a.done(nil, &ConnectionError{Peer: l.peer, Why: "withdrawn"})
		return
	}
	l.mu.Unlock()
	l.rouse()
}

// Answer answers a call. The second answer to a call, and one to a caller that is gone, goes nowhere.
func (c *IncomingCall) Answer(m codec.Message) { c.AnswerBytes(codec.Write(nil, m)) }

// AnswerBytes is Answer for what is written already.
func (c *IncomingCall) AnswerBytes(body []byte) {
	l := c.link
	l.mu.Lock()
	if l.dead || l.calls[c.stream] != c {
		l.mu.Unlock()
		return
	}
	delete(l.calls, c.stream)
	c.let()
	l.line(&reply{stream: c.stream, body: body}, len(body))
	l.mu.Unlock()
	l.rouse()
}

// fail ends a link, once.
func (l *Link) fail(why string) {
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return
	}
	l.dead, l.why = true, why
	asks, calls := l.asks, l.calls
	for _, c := range l.parts {
		c.let()
	}
	for _, c := range calls {
		c.let()
	}
	for _, a := range asks {
		l.hub.held.Add(-int64(a.held))
	}
	l.asks, l.calls, l.parts = map[uint64]*PendingCall{}, map[uint64]*IncomingCall{}, map[uint64]*IncomingCall{}
	l.small.Clear()
	l.clearLarge()
	l.urgent.Clear()
	up := l.up
	l.mu.Unlock()
	if l.conn != nil {
		if t, ok := l.conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // what has not arrived yet never shall
		}
		l.conn.Close()
	}
	l.rouse()
	l.hub.gone(l, why, up)
	for _, c := range calls {
		c.withdrawn()
	}
	for _, a := range asks {
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
		l.urgent.PushBack(envelope{kind: uint64(leaving)})
		l.rouse()
	case l.finished || now-l.leftAt < leaveMost || l.writing || len(l.calls)+l.small.Len()+l.large.Len()+l.urgent.Len() > 0:
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
	over := l.rested && !l.dead && len(l.asks) == 0
	l.mu.Unlock()
	if over {
		l.fail("leaving")
	}
}

// line puts a message in line; the lock is held.
func (l *Link) line(m any, size int) {
	if size <= pieceMost {
		l.small.PushBack(m)
	} else {
		*m.(turner).slot() = l.hub.shape.begin(l, size)
		l.large.PushBack(m)
	}
}

// turner is a message that may be large.
type turner interface{ slot() **turn }

func (a *PendingCall) slot() **turn { return &a.turn }
func (r *reply) slot() **turn       { return &r.turn }

// clearLarge takes all large messages out of the line.
func (l *Link) clearLarge() {
	for l.large.Len() > 0 {
		l.hub.shape.end(*l.large.PopFront().(turner).slot())
	}
}

// write is the link's one writer.
func (l *Link) write() {
	var buf []byte
	var timer <-chan time.Time
	for {
		select {
		case <-l.wake:
		case <-timer:
		}
		timer = nil
		for {
			var wait time.Duration
			if buf, wait = l.fill(buf[:0]); buf == nil {
				return
			}
			if len(buf) == 0 {
				if wait > 0 {
					timer = time.After(wait)
				}
				break
			}
			l.hub.sentBytes.Add(uint64(len(buf)))
			if _, err := l.conn.Write(buf); err != nil {
				l.fail(err.Error())
				return
			}
		}
		if cap(buf) > 8*pieceMost {
			buf = nil
		}
	}
}

// greeted tells whether calls may go out. A process that does not run may have a connection that its kernel accepted: until its
// hello has come, no call goes there, so none can begin when it wakes, and each surely has not run. The lock is held.
func (l *Link) greeted() bool { return l.up || !l.dialled }

// fill gathers what is to be written next: what is small first, then pieces of what is large as far as this process's share of
// the machine's link allows. A wait says when there is more; nil that the link is dead.
func (l *Link) fill(buf []byte) (_ []byte, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return nil, 0
	}
	if buf == nil {
		buf = []byte{}
	}
	now := l.hub.Now()
	for l.urgent.Len() > 0 && len(buf) < 4*pieceMost {
		e := l.urgent.PopFront()
		e.clock = now
		buf = appendFrame(buf, &e)
		l.hub.sentFrames.Add(1)
	}
	if !l.greeted() {
		l.writing = len(buf) > 0
		return buf, 0
	}
	for l.small.Len() > 0 && len(buf) < 4*pieceMost {
		buf = l.piece(buf, now, &l.small, pieceMost)
	}
	l.hub.shape.spend(now, len(buf))
	for n := l.large.Len(); n > 0 && len(buf) < 4*pieceMost; n-- {
		t := l.large.Front().(turner).slot()
		size, w := l.hub.shape.take(now, *t)
		if w > 0 {
			if wait == 0 || w < wait {
				wait = w
			}
			l.large.Rotate(1)
			continue
		}
		last := (*t).left == 0
		buf = l.piece(buf, now, &l.large, size)
		if last {
			defer l.hub.shape.end(*t)
		}
	}
	l.writing = len(buf) > 0
	return buf, wait
}

// piece writes the next piece, of so many bytes at most, of the message whose turn it is.
func (l *Link) piece(buf []byte, now time.Duration, from *deque.Deque[any], most int) []byte {
	e := envelope{clock: now}
	var off *int
	x := from.PopFront()
	switch m := x.(type) {
	case *PendingCall:
		if m.quit && !m.sent {
			if m.turn != nil {
				m.turn.left = 0
			}
			return buf
		}
		m.sent = len(m.body)-m.off <= most // the other side begins when it has the whole
		e.kind, e.stream, e.method, e.expires, e.body, off = uint64(ask), m.stream, m.method, m.expire, m.body, &m.off
	case *reply:
		e.kind, e.stream, e.body, off = uint64(answer), m.stream, m.body, &m.off
	}
	e.body = e.body[*off:]
	if len(e.body) > most {
		e.body = e.body[:most]
		from.PushBack(x)
	} else {
		e.last = true
	}
	*off += len(e.body)
	l.hub.sentFrames.Add(1)
	return appendFrame(buf, &e)
}

// counted counts what is read.
type counted struct {
	net.Conn
	hub *Hub
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.hub.receivedBytes.Add(uint64(n))
	return n, err
}

// read is the link's one reader; it ends with the link.
func (l *Link) read() {
	r := bufio.NewReaderSize(counted{l.conn, l.hub}, readBuffer)
	for {
		var e envelope
		if err := readFrame(r, &e); err != nil {
			var n net.Error
			if !errors.Is(err, io.EOF) && !errors.As(err, &n) { // not a connection's end: the peer is not one of ours
				l.hub.Log.WithField("peer", l.peer).WithField("name", l.from.Name).Warn("transport: " + err.Error())
			}
			l.fail(err.Error())
			return
		}
		l.hub.receivedFrames.Add(1)
		if err := l.take(&e); err != nil {
			l.hub.Log.WithField("peer", l.peer).WithField("name", l.from.Name).Warn("transport: " + err.Error())
			l.fail(err.Error())
			return
		}
	}
}

// take is the one function by which a frame changes a link.
func (l *Link) take(e *envelope) error {
	now := l.hub.Now()
	l.mu.Lock()
	l.heard, l.pinged = now, 0
	if d := now - e.clock; !l.offsets || d < l.offset {
		l.offset, l.offsets = d, true
	}
	switch kind(e.kind) {
	case hello:
		defer l.rouse() // calls may go out
		defer l.mu.Unlock()
		if l.up {
			return trace.BadParameter("a second hello")
		}
		if err := codec.Read(e.body, &l.from); err != nil {
			return trace.Wrap(err, "hello")
		}
		if l.from.Version != version {
			return trace.BadParameter("speaks version %d, this is %d", l.from.Version, version)
		}
		l.up = true
	case ping:
		l.urgent.PushBack(envelope{kind: uint64(pong)})
		l.mu.Unlock()
		l.rouse()
	case pong:
		l.mu.Unlock()
	case ask:
		return l.asked(e)
	case leaving:
		l.mu.Unlock()
		l.hub.retire(l)
	case withdraw:
		c := l.calls[e.stream]
		if p := l.parts[e.stream]; p != nil {
			p.let()
			delete(l.parts, e.stream)
		}
		l.mu.Unlock()
		if c != nil {
			c.withdrawn()
		}
	case answer:
		a := l.asks[e.stream]
		if a == nil {
			l.mu.Unlock()
			return nil // of an ask that ended meanwhile
		}
		if len(a.in)+len(e.body) > messageMost {
			l.mu.Unlock()
			return trace.LimitExceeded("an answer of over %d bytes", messageMost)
		}
		if !e.last { // the whole is the asker's; what is not whole yet is counted here
			l.hub.held.Add(int64(len(e.body)))
			a.held += len(e.body)
		}
		if a.in == nil {
			a.in = e.body
		} else {
			a.in = append(a.in, e.body...)
		}
		if e.last {
			delete(l.asks, e.stream)
			l.hub.held.Add(-int64(a.held))
		}
		l.mu.Unlock()
		if e.last {
			a.done(a.in, nil)
			l.endIfRetired()
		}
	default:
		l.mu.Unlock() // of a later version
	}
	return nil
}

// asked takes a piece of an ask; the lock is held, and let go.
func (l *Link) asked(e *envelope) error {
	c := l.parts[e.stream]
	if c == nil {
		if len(l.calls)+len(l.parts) >= asksMost {
			l.mu.Unlock()
			return trace.LimitExceeded("over %d asks at once", asksMost)
		}
		c = &IncomingCall{link: l, stream: e.stream, From: &l.from, method: e.method}
		if e.expires != 0 {
			c.Expires = e.expires + l.offset
		}
		c.Body = e.body
	} else {
		c.Body = append(c.Body, e.body...)
	}
	if len(c.Body) > messageMost || !l.hub.room(len(c.Body)) {
		l.mu.Unlock()
		return trace.LimitExceeded("an ask of over %d bytes", len(c.Body))
	}
	c.held += len(e.body)
	if l.hub.held.Add(int64(len(e.body))) > int64(l.hub.most) { // all together: it is not run, and the asker hears so
		c.skip, c.Body = true, nil
		c.let()
	}
	if !e.last {
		l.parts[e.stream] = c
		l.mu.Unlock()
		return nil
	}
	delete(l.parts, e.stream)
	l.calls[e.stream] = c
	l.mu.Unlock()
	if c.skip {
		c.AnswerBytes(nil)
		return nil
	}
	l.hub.handle(c)
	return nil
}

// look sees to a link's silence; called every lookEvery.
func (l *Link) look(now time.Duration) {
	l.endIfRetired()
	l.mu.Lock()
	woken := now-l.looked > wokenAfter
	l.looked = now
	if woken { // what the others said meanwhile is still to be read
		l.heard, l.pinged = now, 0
	}
	quiet := restMost
	if len(l.asks) > 0 {
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
		l.urgent.PushBack(envelope{kind: uint64(ping)})
		l.mu.Unlock()
		l.rouse()
	default:
		l.mu.Unlock()
	}
}
