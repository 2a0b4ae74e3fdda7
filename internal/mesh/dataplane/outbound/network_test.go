package outbound_test

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// network carries connections in memory, for tests in virtual time: they can be reset at any byte, fall silent, and stand still
// with the node at one of their ends.
type network struct {
	mu        sync.Mutex
	random    *rand.Rand
	listeners map[string]*listener
	nodes     map[string]*node
	faulty    bool
}

// node is a machine whose processes may stand still.
type node struct {
	mu    sync.Mutex
	thaws time.Time
}

func (n *node) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thaws = time.Now().Add(d)
}

func (n *node) wait() {
	for {
		n.mu.Lock()
		left := time.Until(n.thaws)
		n.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func newNetwork(seed uint64, faulty bool) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 1)), listeners: map[string]*listener{}, nodes: map[string]*node{}, faulty: faulty}
}

// draw returns a number below n.
func (n *network) draw(below int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(below)
}

func (n *network) node(name string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[name] == nil {
		n.nodes[name] = &node{}
	}
	return n.nodes[name]
}

func (n *network) listen(address string) *listener {
	l := &listener{address: address, come: make(chan net.Conn, 256), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial connects two nodes; an address is a node's name with a port.
func (n *network) dial(from, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	w := &wire{ends: [2]net.Conn{near, far}, left: -1}
	if n.faulty {
		switch x := n.draw(100); {
		case x < 25:
			w.left = n.draw(3000)
		case x < 45:
			w.left = n.draw(300_000)
		case x < 55:
			w.silent = time.Now().Add(time.Duration(n.draw(1500)) * time.Millisecond)
		}
	}
	host, _, _ := net.SplitHostPort(address)
	select {
	case l.come <- &wireEnd{Conn: far, wire: w, node: n.node(host)}:
		return &wireEnd{Conn: near, wire: w, node: n.node(from)}, nil
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	}
}

// wire is one connection with its faults.
type wire struct {
	ends   [2]net.Conn
	mu     sync.Mutex
	left   int       // bytes until it is reset; negative for never
	silent time.Time // from then on nothing passes; zero for never
}

// pass says how many of some bytes may pass now, and whether they get there.
func (w *wire) pass(n int) (passed int, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.silent.IsZero() && time.Now().After(w.silent) {
		return n, true
	}
	if w.left >= 0 {
		n = min(n, w.left)
		w.left -= n
	}
	return n, false
}

func (w *wire) reset() {
	w.ends[0].Close()
	w.ends[1].Close()
}

type wireEnd struct {
	net.Conn
	wire *wire
	node *node
}

func (w *wireEnd) Write(b []byte) (int, error) {
	w.node.wait()
	n, lost := w.wire.pass(len(b))
	if lost {
		return len(b), nil
	}
	wrote, err := w.Conn.Write(b[:n])
	if err == nil && n < len(b) {
		w.wire.reset()
		return wrote, syscall.ECONNRESET
	}
	return wrote, err
}

func (w *wireEnd) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	w.node.wait()
	return n, err
}

type listener struct {
	address string
	come    chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.come:
		return c, nil
	case <-l.done:
		return nil, errors.New("closed")
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr  { return l }
func (l *listener) Network() string { return "memory" }
func (l *listener) String() string  { return l.address }
