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
	reader   *bufio.Reader // of what Read gives
	readable int           // bytes that may still be read

	// Of an idle connection.
	idleSince time.Time
	endpoint  *exchange.Endpoint
	element   *list.Element // in the pool's order
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReader(c)
	return c
}

// Read never brings more than was allowed: an endpoint may send without end.
func (c *conn) Read(b []byte) (int, error) {
	if c.readable <= 0 {
		return 0, exchange.ErrBodyTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readable)])
	c.readable -= n
	return n, err
}

// discard closes a connection that carries no attempt any more: an error could lose nothing.
func (c *conn) discard() { _ = c.Close() }

// alive tells whether an idle connection can carry a request: its peer has neither closed it nor sent what nobody asked for.
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

// peekByte looks for a byte to read, without taking it or waiting. It returns 0 at the end of a stream, and -1 with an error.
func peekByte(raw syscall.RawConn) (n int, err error) {
	n = -1
	// Not raw.Read: that would wait for another goroutine's Read to end.
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return -1, controlErr
	}
	return n, err
}
