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
	reader   *bufio.Reader // reads by way of Read, within its bound
	readable int           // bytes that may still be read of the present answer

	// Set while the connection is idle.
	idleSince time.Time
	endpoint  *exchange.Endpoint
	element   *list.Element // in pool.idleOrder
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReader(c)
	return c
}

// Read reads at most readable bytes in all, then returns exchange.ErrBodyTooLarge: an endpoint may send without end.
func (c *conn) Read(b []byte) (int, error) {
	if c.readable <= 0 {
		return 0, exchange.ErrBodyTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readable)])
	c.readable -= n
	return n, err
}

// discard closes a connection without an attempt. Nothing can be lost by an error.
func (c *conn) discard() { _ = c.Close() }

// alive reports whether an idle connection can carry a request: the endpoint has neither closed it nor sent anything unasked.
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

// peekByte looks for a byte to read, without consuming it and without blocking. It returns 1 if there is one, 0 at the end of the stream
// and -1 with an error; EAGAIN means that there is nothing to read.
func peekByte(raw syscall.RawConn) (n int, err error) {
	n = -1
	// Not raw.Read, which would wait until another goroutine's Read ends.
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return -1, controlErr
	}
	return n, err
}
