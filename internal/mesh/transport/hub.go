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
	drainPollInterval = 10 * time.Millisecond // between two looks at links that end
	minAcceptBackoff  = 5 * time.Millisecond  // after a connection could not be accepted; it doubles while that goes on
	maxAcceptBackoff  = 500 * time.Millisecond
)

// Hub holds a process's links: those that it dialled, by address, and those that it accepted.
type Hub struct {
	Log           *logrus.Logger
	self          Hello
	startedAt     time.Time
	maxCallBytes  int // bytes of calls that this process has room for
	shaper        shaper
	reservedBytes atomic.Int64 // bytes of calls that are not answered, and of replies that are not whole
	mu            sync.Mutex
	links         map[string]*Link
	accepted      map[*Link]bool // accepted, and those that were dialled and are retired
	handlersMu    sync.RWMutex   // methods may be declared while links are up
	handlers      map[uint64]func(*IncomingCall)
	onLinkLost    func(address, why string)
	dialConn      func(address string) (net.Conn, error)
	closing       bool
	listeners     []net.Listener

	sentBytes, sentFrames, receivedBytes, receivedFrames atomic.Uint64
}

// Traffic is what all links of a hub carried so far.
type Traffic struct{ SentBytes, SentFrames, ReceivedBytes, ReceivedFrames uint64 }

// Traffic counts frames and their bytes, without the headers of TCP and IP.
func (h *Hub) Traffic() Traffic {
	return Traffic{h.sentBytes.Load(), h.sentFrames.Load(), h.receivedBytes.Load(), h.receivedFrames.Load()}
}

// LinkCounts is how many there are: dialled and accepted.
func (h *Hub) LinkCounts() (dialled, accepted int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links), len(h.accepted)
}

// NewHub makes a hub. most bounds the bytes of the calls that it takes, one or all together.
func NewHub(self Hello, start time.Time, most int, log *logrus.Logger) *Hub {
	self.Version = protocolVersion
	h := &Hub{
		Log: log, self: self, startedAt: start, maxCallBytes: most, links: map[string]*Link{}, accepted: map[*Link]bool{},
		handlers: map[uint64]func(*IncomingCall){}, dialConn: dialTCP,
	}
	go h.monitorLinks()
	return h
}

// Now is the process's steady clock.
func (h *Hub) Now() time.Duration { return time.Since(h.startedAt) }

// Self is how this process greets others.
func (h *Hub) Self() Hello { return h.self }

func (h *Hub) fits(n int) bool { return n <= h.maxCallBytes }

// OnLinkLost has f called, without locks, when a link that this process dialled ends, unless it was closed here as idle.
func (h *Hub) OnLinkLost(f func(address, why string)) { h.onLinkLost = f }

// SetDialer has links dialled by f in place of TCP. It is called before the hub sends anything.
func (h *Hub) SetDialer(f func(address string) (net.Conn, error)) { h.dialConn = f }

// HandleRaw has f called for each call of a method, on the link's reader: it must not block.
func (h *Hub) HandleRaw(method uint64, f func(*IncomingCall)) {
	h.handlersMu.Lock()
	defer h.handlersMu.Unlock()
	h.handlers[method] = f
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
	h.HandleRaw(method, func(c *IncomingCall) {
		var q Q
		if err := codec.Unmarshal(c.Body, PQ(&q)); err != nil {
			h.Log.WithField("peer", c.link.peer).WithField("method", method).Warn("transport: " + err.Error())
			c.link.fail(err.Error())
			return
		}
		go func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if a := f(ctx, c.From, &q); a != nil {
				c.Reply(PA(a))
			} else {
				c.ReplyBytes(nil)
			}
		}()
	})
}

// Send calls a method of the process at an address; done is called once, never before Send returns. expire is on this process's clock, 0 for never: the
// other side does not begin later.
func (h *Hub) Send(address string, method uint64, body []byte, expire time.Duration,
	done func(body []byte, err error),
) *PendingCall {
	a := &PendingCall{method: method, body: body, expiresAt: expire, done: done}
	for !h.linkTo(address).startCall(a) { // it was closed as idle just now
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
	a := h.Send(address, method, codec.MarshalAppend(nil, q), 0, func(body []byte, err error) { ch <- result{body, err} })
	select {
	case r := <-ch:
		if r.err != nil {
			return nil, r.err
		}
		var m A
		if err := codec.Unmarshal(r.body, PA(&m)); err != nil {
			return nil, trace.Wrap(err, "answer of %s to method %d", address, method)
		}
		return &m, nil
	case <-ctx.Done():
		a.Cancel()
		return nil, ctx.Err()
	}
}

// linkTo is the link to an address, dialled if there is none.
func (h *Hub) linkTo(address string) *Link {
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
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return d.Dial("tcp4", address)
}

func (h *Hub) dial(l *Link) {
	conn, err := h.dialConn(l.peer)
	if err != nil {
		l.fail(err.Error())
		return
	}
	h.runLink(l, conn)
}

// runLink starts a link on its connection.
func (h *Hub) runLink(l *Link, conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(socketBufferBytes)
	}
	l.mu.Lock()
	l.conn = conn
	l.controlFrames.PushFront(envelope{kind: uint64(helloFrame), body: codec.MarshalAppend(nil, &h.self)})
	l.lastReceivedAt, l.connectedAt = h.Now(), h.Now()
	dead := l.closed
	l.mu.Unlock()
	if dead {
		conn.Close()
		return
	}
	l.wakeWriter()
	go l.writeLoop()
	l.readLoop()
}

// Listen takes links from others until the listener is closed. Another error of the listener, such as that the process has no file
// descriptors left, passes: links that are up go on meanwhile.
func (h *Hub) Listen(n net.Listener) error {
	h.mu.Lock()
	h.listeners = append(h.listeners, n)
	h.mu.Unlock()
	pause := minAcceptBackoff
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
			pause = min(2*pause, maxAcceptBackoff)
			continue
		}
		pause = minAcceptBackoff
		l := newLink(h, conn.RemoteAddr().String())
		h.mu.Lock()
		h.accepted[l] = true
		h.mu.Unlock()
		go h.runLink(l, conn)
	}
}

func (h *Hub) isClosing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closing
}

func (h *Hub) removeLink(l *Link, why string) {
	h.mu.Lock()
	mine := h.links[l.peer] == l
	if mine {
		delete(h.links, l.peer)
	}
	delete(h.accepted, l)
	closing := h.closing
	h.mu.Unlock()
	if mine && !closing && h.onLinkLost != nil {
		h.onLinkLost(l.peer, why)
	}
}

// closeIfIdle closes a dialled link that nobody has used for long. The next call dials anew.
func (h *Hub) closeIfIdle(l *Link, now time.Duration) bool {
	h.mu.Lock()
	l.mu.Lock()
	idle := h.links[l.peer] == l && l.peerGreeted && !l.closed && len(l.pending) == 0 && now-l.lastCallAt > idleTimeout
	if idle {
		delete(h.links, l.peer)
		l.closed, l.retired, l.closeReason = true, true, "idle"
	}
	l.mu.Unlock()
	h.mu.Unlock()
	if idle {
		l.conn.Close()
		l.wakeWriter()
	}
	return idle
}

func (h *Hub) dispatch(c *IncomingCall) {
	h.handlersMu.RLock()
	f := h.handlers[c.method]
	h.handlersMu.RUnlock()
	if f != nil {
		f(c)
		return
	}
	c.ReplyBytes(nil) // of a later version: the zero answer, which says nothing
}

// monitorLinks looks after the silence of all links.
func (h *Hub) monitorLinks() {
	for range time.Tick(checkInterval) {
		now := h.Now()
		h.mu.Lock()
		all := h.allLinks()
		closing := h.closing
		h.mu.Unlock()
		if closing {
			return
		}
		for _, l := range all {
			if !h.closeIfIdle(l, now) {
				l.checkLiveness(now)
			}
		}
	}
}

// Drain ends all links in order, at the given time at the latest: it takes no more links, tells each peer that this process leaves, and
// waits until the peers have their answers and have closed their links. So no call is lost on its way here.
func (h *Hub) Drain(until time.Duration) {
	h.mu.Lock()
	h.closing = true
	for _, n := range h.listeners {
		n.Close()
	}
	h.mu.Unlock()
	for h.Now() < until && !h.drainLinks() {
		time.Sleep(drainPollInterval)
	}
	h.Close()
}

// drainLinks has each link that was accepted end after its last answer, and tells whether all have ended.
func (h *Hub) drainLinks() bool {
	h.mu.Lock()
	links := h.allLinks()
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
	mine := h.links[l.peer] == l && !l.closed
	if mine {
		delete(h.links, l.peer)
		h.accepted[l] = true
		l.retired = true
	}
	closing := h.closing
	l.mu.Unlock()
	h.mu.Unlock()
	if mine && !closing && h.onLinkLost != nil {
		h.onLinkLost(l.peer, "leaving")
	}
	l.endIfRetired()
}

// allLinks is all links; the lock is held.
func (h *Hub) allLinks() []*Link {
	out := make([]*Link, 0, len(h.links)+len(h.accepted))
	for _, l := range h.links {
		out = append(out, l)
	}
	for l := range h.accepted {
		out = append(out, l)
	}
	return out
}

// Close ends all links.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closing = true
	all := h.allLinks()
	h.mu.Unlock()
	for _, l := range all {
		l.fail("closed")
	}
}
