package outbound_test

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// network is an in-memory network for tests in virtual time. Its connections can be reset at any byte, drop all bytes, or be suspended
// along with the node at one of their ends.
type network struct {
	mu        sync.Mutex
	random    *rand.Rand
	listeners map[string]*listener
	nodes     map[string]*node
	faulty    bool
}

// node is a machine whose processes can be suspended.
type node struct {
	mu          sync.Mutex
	frozenUntil time.Time
}

func (n *node) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil = time.Now().Add(d)
}

// wait waits until the node is not frozen.
func (n *node) wait() {
	for {
		n.mu.Lock()
		left := time.Until(n.frozenUntil)
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

// draw returns a random number from 0 to below-1.
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
	l := &listener{address: address, incoming: make(chan net.Conn, 256), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// listenerAt returns the listener at an address; nil for none.
func (n *network) listenerAt(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[address]
}

// dialLocal connects to an endpoint on the same node, without faults.
func (n *network) dialLocal(address string) (net.Conn, error) {
	listener := n.listenerAt(address)
	if listener == nil {
		return nil, errNoListener
	}
	near, far := net.Pipe()
	listener.incoming <- far
	return near, nil
}

// connectClient opens a client's connection to a node's sidecar, without faults.
func (n *network) connectClient(node string) net.Conn {
	near, far := net.Pipe()
	n.listenerAt(node + clientPort).incoming <- far
	return near
}

// dial connects two nodes. address is the name of the second node with a port. A faulty network may give the connection a random fault.
func (n *network) dial(from, address string) (net.Conn, error) {
	listener := n.listenerAt(address)
	if listener == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	connection := &wire{ends: [2]net.Conn{near, far}, bytesLeft: -1}
	if n.faulty {
		n.drawFault(connection)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	select {
	case listener.incoming <- &wireEnd{Conn: far, wire: connection, node: n.node(host)}:
		return &wireEnd{Conn: near, wire: connection, node: n.node(from)}, nil
	case <-listener.closed:
		return nil, syscall.ECONNREFUSED
	}
}

// drawFault gives a wire a random fault, or none.
func (n *network) drawFault(w *wire) {
	switch x := n.draw(100); {
	case x < 25:
		w.bytesLeft = n.draw(3000)
	case x < 45:
		w.bytesLeft = n.draw(300_000)
	case x < 55:
		w.droppedFrom = time.Now().Add(time.Duration(n.draw(1500)) * time.Millisecond)
	}
}

// wire is a connection between two nodes, with its faults.
type wire struct {
	ends        [2]net.Conn
	mu          sync.Mutex
	bytesLeft   int       // number of bytes until the connection is reset; negative for never
	droppedFrom time.Time // time from which all bytes are dropped; zero for never
}

// pass accounts for n bytes to be sent. It returns how many of them may be sent, and whether they are dropped on the way.
func (w *wire) pass(n int) (passed int, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.droppedFrom.IsZero() && time.Now().After(w.droppedFrom) {
		return n, true
	}
	if w.bytesLeft >= 0 {
		n = min(n, w.bytesLeft)
		w.bytesLeft -= n
	}
	return n, false
}

func (w *wire) reset() {
	for _, end := range w.ends {
		closeQuietly(end)
	}
}

// wireEnd is one end of a wire, on a node.
type wireEnd struct {
	net.Conn
	wire *wire
	node *node
}

func (w *wireEnd) Write(b []byte) (int, error) {
	w.node.wait()
	passing, lost := w.wire.pass(len(b))
	if lost {
		return len(b), nil
	}
	written, err := w.Conn.Write(b[:passing])
	if err == nil && passing < len(b) {
		w.wire.reset()
		return written, syscall.ECONNRESET
	}
	return written, err
}

func (w *wireEnd) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	w.node.wait()
	return n, err
}

// listener accepts connections to an address of the network.
type listener struct {
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

var errListenerClosed = errors.New("listener is closed")

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, errListenerClosed
	}
}

func (l *listener) close() { l.once.Do(func() { close(l.closed) }) }

// Close closes the listener. It may be called more than once.
func (l *listener) Close() error {
	l.close()
	return nil
}

func (l *listener) Addr() net.Addr  { return l }
func (l *listener) Network() string { return "memory" }
func (l *listener) String() string  { return l.address }
