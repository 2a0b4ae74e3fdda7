package inbound

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"quincegap/internal/mesh/transport/membudget"
)

// Bounds on a connection to the endpoint.
const (
	// defaultIdleTime is how long a connection may stay idle if the endpoint announces no idle timeout.
	defaultIdleTime = 4 * time.Second
	// idleMargin is how long before the announced idle timeout a connection is no longer reused: a request that is sent while the endpoint
	// closes the connection would be lost.
	idleMargin = 1500 * time.Millisecond
	// maxAnnouncedIdle bounds the timeout in an endpoint's Keep-Alive, in seconds; a timeout that is as long or longer is ignored.
	maxAnnouncedIdle = 3600
	// maxRejections is the number of rejected requests above which a connection is no longer reused.
	maxRejections = 8
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// connection is a connection to the endpoint. It carries one request at a time.
type connection struct {
	net.Conn
	source    *limitedSource
	reader    *bufio.Reader // reads from source
	idleUntil time.Duration // time until which the connection may be reused, on the proxy's clock
	used      bool          // whether the connection has carried a request
	unusable  bool          // whether the connection must not carry another request
	// rejectedIDs are the attempt IDs of the requests that the endpoint has rejected on this connection. An endpoint may send a rejection
	// twice, and the second one would be read in place of the next answer; so a request with one of these IDs is not sent on the connection.
	rejectedIDs []string
	memory      answerMemory
	cancel      context.CancelFunc // ends memory.closed
}

// newConnection returns a connection that reserves the memory of its answers in a pool.
func newConnection(conn net.Conn, answers *membudget.Pool) *connection {
	closed, cancel := context.WithCancel(context.Background())
	source := &limitedSource{conn: conn}
	return &connection{
		Conn:   conn,
		source: source,
		reader: bufio.NewReaderSize(source, readBufferBytes),
		memory: answerMemory{pool: answers, closed: closed},
		cancel: cancel,
	}
}

// discard closes the connection. An error of Close is ignored, as nothing more is sent or read.
func (c *connection) discard() {
	c.cancel()
	_ = c.Close()
}

// setDeadline bounds the time for a request and its answer.
func (c *connection) setDeadline(deadline time.Time) {
	c.memory.deadline = deadline
	_ = c.SetDeadline(deadline) // fails only on a closed connection, where the write fails too
}

// mayCarry reports whether a request with an attempt ID may be sent on the connection. It may not if an earlier attempt with the same ID
// was rejected there, as a second copy of that rejection could be read as the answer.
func (c *connection) mayCarry(attemptID string) bool {
	return !slices.Contains(c.rejectedIDs, attemptID)
}

// reusable reports whether an idle connection may carry another request: idleUntil has not passed, no unread byte has been received, and
// the endpoint has not closed the connection.
func (c *connection) reusable(now time.Duration) bool {
	if now >= c.idleUntil || c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok { // a connection that is not a socket, as in tests, can't be checked
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	nothingReceived := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingReceived = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingReceived
}

// updateKeepAlive determines after an answer whether the connection may be reused, and until when.
func (c *connection) updateKeepAlive(answer *endpointAnswer, now time.Duration) {
	if answer.closes || c.reader.Buffered() > 0 || len(c.rejectedIDs) > maxRejections {
		c.unusable = true
		return
	}
	c.used = true
	c.idleUntil = now + defaultIdleTime
	if announced, ok := parseKeepAlive(answer.header.Get(headerKeepAlive)); ok {
		c.idleUntil = now + max(announced-idleMargin, 0)
	}
}

// parseKeepAlive returns the timeout of a Keep-Alive header field, such as "timeout=5, max=100". If there are several valid timeouts it
// returns the last one; ok reports whether there is one.
func parseKeepAlive(value string) (timeout time.Duration, ok bool) {
	for _, parameter := range strings.Split(value, ",") {
		name, text, found := strings.Cut(textproto.TrimString(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil || seconds < 0 || seconds >= maxAnnouncedIdle {
			continue
		}
		timeout = time.Duration(seconds) * time.Second
		ok = true
	}
	return timeout, ok
}
