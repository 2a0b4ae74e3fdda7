package outbound

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quincegap/internal/mesh/transport/membudget"
)

const (
	// connectionBytes is the memory of a client's connection with a header of up to smallHeaderBytes.
	connectionBytes = 12 << 10
	// smallHeaderBytes is the size of a header up to which only connectionBytes are charged for a connection.
	smallHeaderBytes = 4 << 10
	// headerFactor is the memory of a larger header, as a multiple of its size.
	headerFactor = 2
)

// errHeaderMemory is returned to the server for a header that does not fit into Options.ConnectionMemory. It closes the connection.
var errHeaderMemory = errors.New("headers of requests exceed their total size limit")

// clientListener accepts clients' connections, on which each request's header must be complete within a time that may change while the
// server runs. The server's own ReadHeaderTimeout is fixed when it starts.
type clientListener struct {
	net.Listener
	headerTimeout func() time.Duration
	maxHeader     func() int64 // size of the largest header that the configuration allows
	memory        *membudget.Pool
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.memory.Charge(connectionBytes)
	return &clientConn{Conn: conn, listener: l}, nil
}

// headerPhase is the progress of a connection within one request.
type headerPhase int32

const (
	awaitingHeader headerPhase = iota // no byte of the next header was read from the connection
	readingHeader                     // a part of the header was read
	headerComplete                    // the header was read; the request is being served
)

// clientConn is a client's connection. From the first byte of a header on, it limits the server's read deadlines to headerTimeout, until
// the server removes the deadline because the header is complete.
//
// The server reads ahead while it serves a request. If a client has sent a part of the next header by then, no first byte is seen, and
// maxHeaderTime applies to that header.
type clientConn struct {
	net.Conn
	listener clientListener

	phase          atomic.Int32 // a headerPhase
	mu             sync.Mutex
	headerDeadline time.Time // set in readingHeader
	headerBytes    int64     // number of bytes of the header that were read
	heldBytes      int64     // memory of the header that is charged or reserved
	closed         bool
}

// Read implements net.Conn.
func (c *clientConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && c.phase.CompareAndSwap(int32(awaitingHeader), int32(readingHeader)) {
		c.startHeader()
	}
	if headerPhase(c.phase.Load()) == readingHeader && !c.holdHeader(int64(n)) {
		return 0, errHeaderMemory
	}
	return n, err
}

// holdHeader counts n bytes of a header, and reports whether there is memory for them. A header that the configuration allows is never
// rejected, but the memory that it takes is not left for bodies.
func (c *clientConn) holdHeader(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerBytes += n
	needed := headerFactor*(c.headerBytes-smallHeaderBytes) - c.heldBytes
	switch {
	case needed <= 0 || c.closed:
		return true
	case c.headerBytes <= c.listener.maxHeader():
		c.listener.memory.Charge(needed)
	case !c.listener.memory.Reserve(needed):
		return false
	}
	c.heldBytes += needed
	return true
}

// releaseHeader releases the memory of a header. The caller holds the lock.
func (c *clientConn) releaseHeader() {
	c.listener.memory.Release(c.heldBytes)
	c.heldBytes = 0
	c.headerBytes = 0
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.releaseHeader()
		c.listener.memory.Release(connectionBytes)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// startHeader sets the deadline for the rest of a header.
func (c *clientConn) startHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerDeadline = time.Now().Add(c.listener.headerTimeout())
	_ = c.Conn.SetReadDeadline(c.headerDeadline) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn. The server removes the deadline (the zero time) once a header is complete.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if deadline.IsZero() {
		c.phase.Store(int32(headerComplete))
	} else if headerPhase(c.phase.Load()) == readingHeader && deadline.After(c.headerDeadline) {
		deadline = c.headerDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// awaitHeader prepares the connection for the next request, once the server has answered one.
func (c *clientConn) awaitHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHeader()
	c.phase.Store(int32(awaitingHeader))
}

// CloseWrite closes the sending half of the connection. The server calls it so that a client can read the answer to a request that was
// not read completely.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
