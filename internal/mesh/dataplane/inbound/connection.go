package inbound

import (
	"bufio"
	"errors"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds on a connection to the endpoint.
const (
	// defaultIdleTime is how long a connection may stay idle if the endpoint announces no time-out.
	defaultIdleTime = 4 * time.Second
	// idleMargin is how long before the announced time-out a connection is given up: a request that is sent while the endpoint closes
	// the connection would be lost.
	idleMargin = 1500 * time.Millisecond
	// maxAnnouncedIdle bounds the seconds of an endpoint's Keep-Alive; a header with as many or more is ignored.
	maxAnnouncedIdle = 3600
	// maxRejections is how many requests the endpoint may reject on a connection before it is not used any more.
	maxRejections = 8
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// connection is a connection to the endpoint. It carries one request at a time.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil time.Duration // on the proxy's clock: until then it may be reused
	used      bool          // it has carried a request
	unusable  bool          // it must not carry another one
	// rejectedIDs are the attempt IDs of the requests that the endpoint has rejected on this connection. An endpoint may send a rejection
	// twice, and the second one would be read in place of the next answer; so no request with the same ID is sent on it again.
	rejectedIDs []string
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// discard closes the connection. Its error is ignored, as nothing more is sent or read.
func (c *connection) discard() { _ = c.Close() }

// mayCarry reports whether a request may be sent on the connection: no second rejection of an earlier attempt with its ID can be read.
func (c *connection) mayCarry(attemptID string) bool {
	return !slices.Contains(c.rejectedIDs, attemptID)
}

// reusable reports whether an idle connection may carry another request: its time is not over, no byte has been received on it, and the
// endpoint has not closed it.
func (c *connection) reusable(now time.Duration) bool {
	if now >= c.idleUntil || c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok { // not a socket, as in tests: it can't be checked
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
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

// parseKeepAlive returns the time-out of a Keep-Alive header field, such as "timeout=5, max=100". The last valid one counts; ok reports
// whether there is one.
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
