package sockets

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quincegap/internal/mesh/transport/membudget"
)

// bufferFactor is the memory that a connection's receive buffer may take, as a multiple of the size that is set: the kernel doubles that
// size (socket(7)).
const bufferFactor = 2

// minAcceptQueue is the smallest number of connections that may wait to be accepted.
const minAcceptQueue = 16

// Options are the limits of a group of connections. The zero value sets none.
type Options struct {
	ReceiveBytes    int             // size of a receive buffer
	MinReceiveBytes int             // size of a receive buffer while Memory is used up
	Memory          *membudget.Pool // pool that counts the receive buffers
	AcceptBytes     int64           // memory for the connections that wait to be accepted by a listener; 0 for the kernel's default
}

// Group is a group of open TCP connections of a process. It is safe for concurrent use.
type Group struct {
	options Options
	mu      sync.Mutex
	open    map[*conn]struct{}
}

// NewGroup returns a group without connections.
func NewGroup(options Options) *Group { return &Group{options: options, open: map[*conn]struct{}{}} }

// Usage is what the open connections of a group take.
type Usage struct {
	Connections int
	UnreadBytes int64 // bytes that have arrived and were not read yet, without those of connections that were not accepted yet
}

// Usage returns the current usage. It makes a system call for each connection.
func (g *Group) Usage() Usage {
	connections := g.connections()
	usage := Usage{Connections: len(connections)}
	for _, c := range connections {
		usage.UnreadBytes += c.unreadBytes()
	}
	return usage
}

// connections returns the open connections.
func (g *Group) connections() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.open))
}

// Listen returns a listener on a TCP address (IPv4).
func (g *Group) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: g.setReceiveBuffer}
	tcp, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	g.limitAcceptQueue(tcp.(*net.TCPListener))
	return listener{tcp, g}, nil
}

// Dial connects to a TCP address (IPv4), without TCP keepalives. It fails after a timeout, or when ctx ends.
func (g *Group) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: g.setReceiveBuffer}
	tcp, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return g.add(tcp.(*net.TCPConn)), nil
}

// setReceiveBuffer sets the size of a socket's receive buffer before it listens or connects. Accepted connections inherit it. If that fails,
// the socket works with the kernel's default.
func (g *Group) setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	if g.options.ReceiveBytes > 0 {
		_ = controlSocket(raw, func(descriptor int) error {
			return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, g.options.ReceiveBytes)
		})
	}
	return nil
}

// limitAcceptQueue bounds the number of connections that wait to be accepted. Beyond it the kernel ignores the openings of connections,
// which their clients repeat. If that fails, the kernel's default remains.
func (g *Group) limitAcceptQueue(tcp *net.TCPListener) {
	raw, err := tcp.SyscallConn()
	if g.options.AcceptBytes == 0 || err != nil {
		return
	}
	connections := max(int(g.options.AcceptBytes/g.memoryOf(g.options.ReceiveBytes)), minAcceptQueue)
	_ = controlSocket(raw, func(descriptor int) error { return unix.Listen(descriptor, connections) })
}

// controlSocket calls a function with the file descriptor of a socket, and returns its error.
func controlSocket(raw syscall.RawConn, apply func(descriptor int) error) error {
	var failure error
	if err := raw.Control(func(descriptor uintptr) { failure = apply(int(descriptor)) }); err != nil {
		return err
	}
	return failure
}

// memoryOf returns the memory of a receive buffer of a size.
func (g *Group) memoryOf(receiveBytes int) int64 { return bufferFactor * int64(receiveBytes) }

// holdBuffer counts the receive buffer of a new connection in the pool, and returns its size: ReceiveBytes, or less if the pool has not
// enough memory left.
func (g *Group) holdBuffer() (receiveBytes int) {
	for receiveBytes = g.options.ReceiveBytes; receiveBytes > g.options.MinReceiveBytes; receiveBytes /= 2 {
		if g.options.Memory.Reserve(g.memoryOf(receiveBytes)) {
			return receiveBytes
		}
	}
	g.options.Memory.Charge(g.memoryOf(g.options.MinReceiveBytes))
	return g.options.MinReceiveBytes
}

// add adds a connection to the group until it is closed.
func (g *Group) add(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, group: g, receiveBytes: g.holdBuffer()}
	if c.receiveBytes < g.options.ReceiveBytes {
		_ = tcp.SetReadBuffer(c.receiveBytes) // fails only on a closed connection
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[c] = struct{}{}
	return c
}

// remove removes a connection, unless that was done before.
func (g *Group) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.open[c]; !ok {
		return
	}
	delete(g.open, c)
	g.options.Memory.Release(g.memoryOf(c.receiveBytes))
}

// listener accepts the connections of a group.
type listener struct {
	net.Listener
	group *Group
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	tcp, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.group.add(tcp.(*net.TCPConn)), nil
}
