package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/transport/codec"
)

const (
	drainInterval  = 10 * time.Millisecond // between two looks at links that end
	acceptPauseMin = 5 * time.Millisecond  // after a connection could not be accepted; it doubles while that goes on
	acceptPauseMax = 500 * time.Millisecond
)

// Hub holds a process's links: those that it dialled, by address, and those that it accepted.
type Hub struct {
	Log     *logrus.Logger
	self    Hello
	start   time.Time
	most    int // bytes of calls that this process has room for
	shape   shaper
	held    atomic.Int64 // bytes of calls that are not answered, and of replies that are not whole
	mu      sync.Mutex
	links   map[string]*Link
	taken   map[*Link]bool // accepted, and those that were dialled and are retired
	serveMu sync.RWMutex   // methods may be declared while links are up
	serve   map[uint64]func(*IncomingCall)
	lost    func(address, why string)
	dialer  func(address string) (net.Conn, error)
	closing bool
	accept  []net.Listener

	sentBytes, sentFrames, receivedBytes, receivedFrames atomic.Uint64
}

// Traffic is what all links of a hub carried so far.
type Traffic struct{ SentBytes, SentFrames, ReceivedBytes, ReceivedFrames uint64 }

// Traffic counts frames and their bytes, without the headers of TCP and IP.
func (h *Hub) Traffic() Traffic {
	return Traffic{h.sentBytes.Load(), h.sentFrames.Load(), h.receivedBytes.Load(), h.receivedFrames.Load()}
}

// Links is how many there are: dialled and accepted.
func (h *Hub) Links() (dialled, accepted int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links), len(h.taken)
}

// NewHub makes a hub. most bounds the bytes of the calls that it takes, one or all together.
func NewHub(self Hello, start time.Time, most int, log *logrus.Logger) *Hub {
	self.Version = version
	h := &Hub{Log: log, self: self, start: start, most: most, links: map[string]*Link{}, taken: map[*Link]bool{},
		serve: map[uint64]func(*IncomingCall){}, dialer: dialTCP}
	go h.watch()
	return h
}

// Now is the process's steady clock.
func (h *Hub) Now() time.Duration { return time.Since(h.start) }

// Self is how this process greets others.
func (h *Hub) Self() Hello { return h.self }

func (h *Hub) room(n int) bool { return n <= h.most }

// OnLost has f called, without locks, when a link that this process dialled ends, unless it was closed here as idle.
func (h *Hub) OnLost(f func(address, why string)) { h.lost = f }

// DialBy has links dialled by f in place of TCP. It is called before the hub sends anything.
func (h *Hub) DialBy(f func(address string) (net.Conn, error)) { h.dialer = f }

// Serve has f called for each call of a method, on the link's reader: it must not block.
func (h *Hub) Serve(method uint64, f func(*IncomingCall)) {
	h.serveMu.Lock()
	defer h.serveMu.Unlock()
	h.serve[method] = f
}

// Handle declares a method by its function; the function may block. A message that can't be read ends the link, with its
// cause in the log.
func Handle[Q, A any, PQ interface {
	*Q
	codec.Message
}, PA interface {
	*A
	codec.Message
}](h *Hub, method uint64, f func(ctx context.Context, from *Hello, q *Q) *A) {
	h.Serve(method, func(c *IncomingCall) {
		var q Q
		if err := codec.Read(c.Body, PQ(&q)); err != nil {
			h.Log.WithField("peer", c.link.peer).WithField("method", method).Warn("transport: " + err.Error())
			c.link.fail(err.Error())
			return
		}
		go func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if a := f(ctx, c.From, &q); a != nil {
				c.Answer(PA(a))
			} else {
				c.AnswerBytes(nil)
			}
		}()
	})
}

// Send calls a method of the process at an address; done is called once, never before Send returns. expire is on this process's clock, 0 for never: the
// other side does not begin later.
func (h *Hub) Send(address string, method uint64, body []byte, expire time.Duration,
	done func(body []byte, err error)) *PendingCall {
	a := &PendingCall{method: method, body: body, expire: expire, done: done}
	for !h.link(address).call(a) { // it was closed as idle just now
	}
	return a
}

// Request calls a method of the process at an address and waits for the reply.
func Request[A any, PA interface {
	*A
	codec.Message
}](ctx context.Context, h *Hub, address string, method uint64, q codec.Message) (*A, error) {
	type result struct {
		body []byte
		err  error
	}
	ch := make(chan result, 1)
	a := h.Send(address, method, codec.Write(nil, q), 0, func(body []byte, err error) { ch <- result{body, err} })
	select {
	case r := <-ch:
		if r.err != nil {
			return nil, r.err
		}
		var m A
		if err := codec.Read(r.body, PA(&m)); err != nil {
			return nil, trace.Wrap(err, "answer of %s to method %d", address, method)
		}
		return &m, nil
	case <-ctx.Done():
		a.Withdraw()
		return nil, ctx.Err()
	}
}

// link is the link to an address, dialled if there is none.
func (h *Hub) link(address string) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.links[address]; l != nil {
		return l
	}
	l := newLink(h, address)
	l.dialled = true
	h.links[address] = l
	go h.dial(l)
	return l
}

func dialTCP(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialMost, KeepAlive: -1}
	return d.Dial("tcp4", address)
}

func (h *Hub) dial(l *Link) {
	conn, err := h.dialer(l.peer)
	if err != nil {
		l.fail(err.Error())
		return
	}
	h.run(l, conn)
}

// run starts a link on its connection.
func (h *Hub) run(l *Link, conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(bufferBytes)
	}
	l.mu.Lock()
	l.conn = conn
	l.urgent.PushFront(envelope{kind: uint64(helloFrame), body: codec.Write(nil, &h.self)})
	l.heard, l.connected = h.Now(), h.Now()
	dead := l.dead
	l.mu.Unlock()
	if dead {
		conn.Close()
		return
	}
	l.wakeWriter()
	go l.write()
	l.read()
}

// Listen takes links from others until the listener is closed. Another error of the listener, such as that the process has no file
// descriptors left, passes: links that are up go on meanwhile.
func (h *Hub) Listen(n net.Listener) error {
	h.mu.Lock()
	h.accept = append(h.accept, n)
	h.mu.Unlock()
	pause := acceptPauseMin
	for {
		conn, err := n.Accept()
		switch {
		case err != nil && h.isClosing():
			return nil
		case errors.Is(err, net.ErrClosed):
			return trace.Wrap(err)
		case err != nil:
			h.Log.WithError(err).Warn("transport: a link can't be accepted")
			time.Sleep(pause)
			pause = min(2*pause, acceptPauseMax)
			continue
		}
		pause = acceptPauseMin
		l := newLink(h, conn.RemoteAddr().String())
		h.mu.Lock()
		h.taken[l] = true
		h.mu.Unlock()
		go h.run(l, conn)
	}
}

func (h *Hub) isClosing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closing
}

func (h *Hub) gone(l *Link, why string) {
	h.mu.Lock()
	mine := h.links[l.peer] == l
	if mine {
		delete(h.links, l.peer)
	}
	delete(h.taken, l)
	closing := h.closing
	h.mu.Unlock()
	if mine && !closing && h.lost != nil {
		h.lost(l.peer, why)
	}
}

// rest closes a dialled link that nobody has used for long. The next call dials anew.
func (h *Hub) rest(l *Link, now time.Duration) bool {
	h.mu.Lock()
	l.mu.Lock()
	idle := h.links[l.peer] == l && l.peerGreeted && !l.dead && len(l.pending) == 0 && now-l.used > idleMost
	if idle {
		delete(h.links, l.peer)
		l.dead, l.retired, l.why = true, true, "idle"
	}
	l.mu.Unlock()
	h.mu.Unlock()
	if idle {
		l.conn.Close()
		l.wakeWriter()
	}
	return idle
}

func (h *Hub) handle(c *IncomingCall) {
	h.serveMu.RLock()
	f := h.serve[c.method]
	h.serveMu.RUnlock()
	if f != nil {
		f(c)
		return
	}
	c.AnswerBytes(nil) // of a later version: the zero answer, which says nothing
}

// watch looks after the silence of all links.
func (h *Hub) watch() {
	for range time.Tick(checkInterval) {
		now := h.Now()
		h.mu.Lock()
		all := h.every()
		closing := h.closing
		h.mu.Unlock()
		if closing {
			return
		}
		for _, l := range all {
			if !h.rest(l, now) {
				l.checkSilence(now)
			}
		}
	}
}

// Drain ends all links in order, at the given time at the latest: it takes no more links, tells each peer that this process leaves, and
// waits until the peers have their answers and have closed their links. So no call is lost on its way here.
func (h *Hub) Drain(until time.Duration) {
	h.mu.Lock()
	h.closing = true
	for _, n := range h.accept {
		n.Close()
	}
	h.mu.Unlock()
	for h.Now() < until && !h.drained() {
		time.Sleep(drainInterval)
	}
	h.Close()
}

// drained has each link that was accepted end after its last answer, and tells whether all have ended.
func (h *Hub) drained() bool {
	h.mu.Lock()
	links := h.every()
	h.mu.Unlock()
	left := 0
	for _, l := range links {
		if !l.dialled && !l.drain(h.Now()) {
			left++
		}
	}
	return left == 0
}

// retire keeps a dialled link for the calls that are under way on it only: its peer is about to end.
func (h *Hub) retire(l *Link) {
	h.mu.Lock()
	l.mu.Lock()
	mine := h.links[l.peer] == l && !l.dead
	if mine {
		delete(h.links, l.peer)
		h.taken[l] = true
		l.retired = true
	}
	closing := h.closing
	l.mu.Unlock()
	h.mu.Unlock()
	if mine && !closing && h.lost != nil {
		h.lost(l.peer, "leaving")
	}
	l.endIfRetired()
}

// every is all links; the lock is held.
func (h *Hub) every() []*Link {
	out := make([]*Link, 0, len(h.links)+len(h.taken))
	for _, l := range h.links {
		out = append(out, l)
	}
	for l := range h.taken {
		out = append(out, l)
	}
	return out
}

// Close ends all links.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closing = true
	all := h.every()
	h.mu.Unlock()
	for _, l := range all {
		l.fail("closed")
	}
}
