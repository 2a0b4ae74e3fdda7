package transport

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/mesh/transport/membudget"
)

// checkConserved checks that a closed hub holds nothing: no link, no stream, no slot of the shaper and no memory of a pool.
func checkConserved(tb testing.TB, h *Hub) {
	tb.Helper()
	if active, other := h.LinkCounts(); active+other > 0 {
		tb.Errorf("%s: %d active and %d other links are left, want none", h.self.Name, active, other)
	}
	if count, bytes := h.QueuedTransfers(); count != 0 || bytes != 0 {
		tb.Errorf("%s: the shaper has %d transfers and %d bytes left, want none", h.self.Name, count, bytes)
	}
	for name, pool := range map[string]*membudget.Pool{"calls": h.callMemory, "replies": h.replyMemory} {
		if pool != nil && pool.Used() != 0 {
			tb.Errorf("%s: %d bytes of %s are still reserved, want none", h.self.Name, pool.Used(), name)
		}
	}
}

// checkLinkEmpty checks that a link that has ended has no streams, buffers or queued messages.
func checkLinkEmpty(tb testing.TB, l *Link) {
	tb.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.pending) + len(l.incoming) + len(l.incomplete) + l.queue.len(); n > 0 {
		tb.Errorf("link to %s: %d pending, %d incoming, %d incomplete calls and %d queued messages are left, want none",
			l.peer, len(l.pending), len(l.incoming), len(l.incomplete), l.queue.len())
	}
}

// order is a sequence of steps between a client and a server, one byte each.
type order struct {
	tb      testing.TB
	client  *Hub
	server  *Hub
	address string
	calls   []*orderedCall
	links   []*Link // all links of the client
	held    chan *IncomingCall
	conns   []*pausableConn
	connsMu sync.Mutex
}

// pausableConn is a connection from which nothing is read while it is paused.
type pausableConn struct {
	*net.TCPConn
	mu     sync.Mutex
	resume chan struct{} // closed by resumeReading; nil while the connection is not paused
	closed chan struct{}
	once   sync.Once
}

func (p *pausableConn) pauseReading() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

func (p *pausableConn) resumeReading() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// Read implements net.Conn.
func (p *pausableConn) Read(b []byte) (int, error) {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		select {
		case <-resume:
		case <-p.closed:
		}
	}
	return p.TCPConn.Read(b)
}

// Close implements net.Conn.
func (p *pausableConn) Close() error {
	p.once.Do(func() { close(p.closed) })
	return p.TCPConn.Close()
}

// orderedCall is a call of an order, and how often it has ended.
type orderedCall struct {
	pending *PendingCall
	ended   atomic.Int32
}

// bodySizes are sizes below, at and above those of a chunk, a message that needs memory, and a pool.
var bodySizes = [...]int{0, 1, maxChunkBytes, maxChunkBytes + 1, 5 * maxChunkBytes, 300_000, 1_500_000}

const orderPoolBytes = 1 << 20

// newOrder starts a client and a server on loopback. The server replies to a third of the calls at once, to a third when a step says so,
// and to the others never.
func newOrder(tb testing.TB, rate float64) *order {
	tb.Helper()
	o := &order{tb: tb, held: make(chan *IncomingCall, 1000)}
	var address string
	o.server, address = newOrderHub(tb, "server")
	o.client, _ = newOrderHub(tb, "client")
	o.address = address
	o.client.LimitRate(rate)
	o.server.LimitRate(rate)
	o.client.SetDialer(func(_ context.Context, address string, _ time.Duration) (net.Conn, error) {
		conn, err := net.Dial("tcp4", address) //nolint:noctx // on loopback
		if err != nil {
			return nil, err
		}
		pausable := &pausableConn{TCPConn: conn.(*net.TCPConn), closed: make(chan struct{})}
		o.connsMu.Lock()
		o.conns = append(o.conns, pausable)
		o.connsMu.Unlock()
		return pausable, nil
	})
	o.server.HandleRaw(1, func(c *IncomingCall) {
		switch c.Body.Len() % 3 {
		case 0:
			c.ReplyBytes(c.Body)
		case 1:
			o.held <- c
		}
	})
	return o
}

func newOrderHub(tb testing.TB, name string) (*Hub, string) {
	tb.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // on loopback
	if err != nil {
		tb.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHub(Hello{Incarnation: 7, Address: listener.Addr().String(), Name: name}, time.Now(), 8<<20, log)
	h.SetMemory(membudget.NewPool(orderPoolBytes), membudget.NewPool(orderPoolBytes))
	go func() { _ = h.Listen(listener) }() // it ends with the hub or the listener
	return h, listener.Addr().String()
}

// step makes one step.
func (o *order) step(b byte) {
	argument := int(b >> 3)
	switch b & 7 {
	case 0, 1, 2:
		o.send(bodySizes[argument%len(bodySizes)], 0)
	case 3:
		o.send(bodySizes[argument%len(bodySizes)], o.client.Now()+time.Duration(argument)*time.Millisecond)
	case 4:
		if len(o.calls) > 0 {
			o.calls[argument%len(o.calls)].pending.Cancel()
		}
	case 5:
		select {
		case c := <-o.held:
			c.ReplyBytes(codec.BuffersOf(make([]byte, bodySizes[argument%len(bodySizes)])))
		default:
		}
	case 6:
		time.Sleep(time.Duration(argument) * 100 * time.Microsecond)
	case 7:
		o.changeConn(argument)
	}
}

func (o *order) send(size int, expiresAt time.Duration) {
	call := &orderedCall{}
	call.pending = o.client.Send(o.address, 1, codec.BuffersOf(make([]byte, size)), expiresAt, func(codec.Buffers, error) { call.ended.Add(1) })
	o.calls = append(o.calls, call)
	if call.pending.link != nil {
		o.links = append(o.links, call.pending.link)
	}
}

// changeConn closes one of the client's connections, as if its peer had died, or makes the client pause or resume reading from it.
func (o *order) changeConn(argument int) {
	o.connsMu.Lock()
	defer o.connsMu.Unlock()
	if len(o.conns) == 0 {
		return
	}
	conn := o.conns[argument/3%len(o.conns)]
	switch argument % 3 {
	case 0:
		_ = conn.Close() // it may be closed already
	case 1:
		conn.pauseReading()
	case 2:
		conn.resumeReading()
	}
}

// finish closes both hubs, in one of both orders, and checks that every call has ended once and nothing is left.
func (o *order) finish(serverFirst bool) {
	o.tb.Helper()
	hubs := []*Hub{o.client, o.server}
	if serverFirst {
		hubs = []*Hub{o.server, o.client}
	}
	for _, h := range hubs {
		h.Close()
	}
	for end := time.Now().Add(10 * time.Second); !o.allEnded() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for i, call := range o.calls {
		if n := call.ended.Load(); n != 1 {
			o.tb.Errorf("call %d of %d has ended %d times, want once", i, len(o.calls), n)
		}
	}
	for _, h := range hubs {
		checkConserved(o.tb, h)
	}
	for _, l := range o.links {
		checkLinkEmpty(o.tb, l)
	}
}

func (o *order) allEnded() bool {
	for _, call := range o.calls {
		if call.ended.Load() == 0 {
			return false
		}
	}
	return true
}

// playOrder plays the steps. The first byte selects the rate of the uplinks and which hub closes first.
func playOrder(tb testing.TB, steps []byte) {
	tb.Helper()
	if len(steps) == 0 {
		return
	}
	rates := [...]float64{0, 20e6, 400e6}
	o := newOrder(tb, rates[int(steps[0]>>1)%len(rates)])
	for _, step := range steps[1:min(len(steps), 100)] {
		o.step(step)
	}
	o.finish(steps[0]&1 == 1)
}

// Slots of the shaper, streams and buffers are conserved, and each call ends once, in any order of calls, cancellations, expiries, replies,
// broken connections and closing.
func TestNothingIsLeftAfterRandomOrders(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 58))
		steps := make([]byte, 10+random.IntN(60))
		for i := range steps {
			steps[i] = byte(random.Uint32())
		}
		playOrder(t, steps)
		if t.Failed() {
			t.Fatalf("seed %d, steps %x", seed, steps)
		}
	}
}

// FuzzOrders is TestNothingIsLeftAfterRandomOrders over any sequence of steps.
func FuzzOrders(f *testing.F) {
	f.Add([]byte{2, 48, 48, 48, 48, 4, 12, 20, 28, 54, 40})          // large calls that are cancelled while they are sent
	f.Add([]byte{1, 40, 40, 246, 7, 40, 246, 15, 40, 5})             // connections that break amid large calls
	f.Add([]byte{4, 35, 43, 51, 246, 246, 48, 45, 45, 53, 53})       // calls that expire, and late replies
	f.Add([]byte{0, 8, 246, 15, 8, 16, 40, 40, 16, 8, 246, 23, 246}) // a client that does not read for a while
	f.Fuzz(func(t *testing.T, steps []byte) { playOrder(t, steps) })
}
