package http1

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"

	"quincegap/internal/network/exchange"
)

// conn is a connection to an endpoint; it carries one attempt at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader // reads through conn.Read, which enforces readable
	readable int           // number of bytes that may still be read of the current response

	// The fields below are set while the connection is idle.
	idleSince time.Time
	endpoint  *exchange.Endpoint
	element   *list.Element // list element in pool.idleOrder
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReader(c)
	return c
}

// Read reads from the connection and decreases readable. Once readable is 0 it returns exchange.ErrBodyTooLarge: an endpoint may send an
// endless response.
func (c *conn) Read(b []byte) (int, error) {
	if c.readable <= 0 {
		return 0, exchange.ErrBodyTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readable)])
	c.readable -= n
	return n, err
}

// discard closes the connection. An error of Close is ignored, since no response is expected any more.
func (c *conn) discard() { _ = c.Close() }

// alive reports whether an idle connection can be used for a request: the endpoint has neither closed it nor sent unsolicited bytes.
func (c *conn) alive() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	n, err := peekByte(raw)
	return n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
}

// peekByte checks whether there is a byte to read, without consuming it or blocking. It returns 1 if there is one, 0 at the end of the
// stream, and -1 with an error otherwise; EAGAIN means that no byte has been received.
func peekByte(raw syscall.RawConn) (n int, err error) {
	n = -1
	// raw.Read is not used because it would wait for a Read of another goroutine to end.
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return -1, controlErr
	}
	return n, err
}
