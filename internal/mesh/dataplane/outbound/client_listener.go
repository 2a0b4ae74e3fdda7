package outbound

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// clientListener accepts clients' connections, on which each request's header must be complete within a time that may change while the
// server runs. The server's own ReadHeaderTimeout is fixed when it starts.
type clientListener struct {
	net.Listener
	headerTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, headerTimeout: l.headerTimeout}, nil
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
	headerTimeout func() time.Duration

	phase          atomic.Int32 // a headerPhase
	mu             sync.Mutex
	headerDeadline time.Time // set in readingHeader
}

// Read implements net.Conn.
func (c *clientConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && c.phase.CompareAndSwap(int32(awaitingHeader), int32(readingHeader)) {
		c.startHeader()
	}
	return n, err
}

// startHeader sets the deadline for the rest of a header.
func (c *clientConn) startHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerDeadline = time.Now().Add(c.headerTimeout())
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
func (c *clientConn) awaitHeader() { c.phase.Store(int32(awaitingHeader)) }

// CloseWrite closes the sending half of the connection. The server calls it so that a client can read the answer to a request that was
// not read completely.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
