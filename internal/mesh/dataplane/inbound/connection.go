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

// Bounds of one connection to the endpoint.
const (
	// defaultIdleTime is how long a connection may stay idle where the endpoint does not say how long it keeps it.
	defaultIdleTime = 4 * time.Second
	// idleMargin is how much earlier than the endpoint a connection is given up: a request that crosses the close would be lost.
	idleMargin = 1500 * time.Millisecond
	// maxAnnouncedIdle bounds the seconds of an endpoint's Keep-Alive that are taken seriously.
	maxAnnouncedIdle = 3600
	// maxRejections is how many requests the endpoint may reject on one connection before it is given up.
	maxRejections = 8
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// connection is one to the endpoint; it carries one request at a time.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil time.Duration // it may be used again until then
	used      bool          // it has carried a request
	unusable  bool          // it is not to carry another one
	// rejectedIDs are the Attempt-Ids of the requests that the endpoint rejected on it. A rejection may come twice, the second time in
	// the place of the next answer; so a request with the same ID never goes out on this connection again.
	rejectedIDs []string
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// discard closes the connection. An error of Close has nothing to say: nothing more is sent or read.
func (c *connection) discard() { _ = c.Close() }

// mayCarry reports whether a request may go out on the connection: no late rejection of an earlier attempt with its ID can come here.
func (c *connection) mayCarry(attemptID string) bool {
	return !slices.Contains(c.rejectedIDs, attemptID)
}

// reusable reports whether an idle connection may carry one more request: its time is not up, nothing has come on it, and it is not
// closed.
func (c *connection) reusable(now time.Duration) bool {
	if now >= c.idleUntil || c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok { // not a socket, as in tests: there is no way to look
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

// updateKeepAlive notes after an answer whether, and for how long, the connection may be kept.
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

// parseKeepAlive returns the time-out of a Keep-Alive header field, such as "timeout=5, max=100"; the last one that is valid counts.
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
