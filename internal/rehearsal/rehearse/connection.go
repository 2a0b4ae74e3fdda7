package rehearse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"quincegap/internal/rehearsal/audit"
)

// connection is a connection of HTTP/1.1 from a sidecar to a server.
type connection struct {
	net.Conn
	server      *server
	incarnation int      // of the server when it was accepted
	current     *attempt // that is in flight on it, nil if none is; server.mu guards it
}

const (
	maxBodyBytes = 64 << 10
	// answerTimeout is how long writing an answer may take.
	answerTimeout = time.Second
	// healthCheckWork is the work of a health check.
	healthCheckWork = 30 * time.Microsecond
)

// accept serves the connections of a listener until it is closed, or its deadline is over.
func (s *server) accept(listener *net.TCPListener, incarnation int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.incarnation != incarnation || s.silent {
			s.mu.Unlock()
			closeConn(conn)
			return
		}
		c := &connection{Conn: conn, server: s, incarnation: incarnation}
		full := s.spec.Spec.Connections > 0 && len(s.connections) >= s.spec.Spec.Connections
		if !full {
			s.connections[c] = true
			s.addOverhead(s.spec.Spec.HandshakeWork)
		}
		s.mu.Unlock()
		if full {
			reset(conn)
			continue
		}
		go c.serve()
	}
}

// serve reads requests until the connection ends. An attempt in flight is canceled then.
func (c *connection) serve() {
	server := c.server
	defer closeConn(c)
	defer func() {
		server.mu.Lock()
		defer server.mu.Unlock()
		delete(server.connections, c)
		if c.current != nil {
			server.cancel(c.current)
		}
	}()
	reader := bufio.NewReader(c.Conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := server.rehearsal.now()
		request, err := http.ReadRequest(reader)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(io.LimitReader(request.Body, maxBodyBytes+1))
		}
		if err != nil || len(body) > maxBodyBytes {
			if request != nil && !errors.Is(err, io.EOF) {
				c.recordTruncated(firstByteAt, request)
			}
			return
		}
		server.mu.Lock()
		keep := c.handle(firstByteAt, request)
		server.mu.Unlock()
		if !keep {
			return
		}
	}
}

// handle answers a health check, or begins an attempt. It returns false if the connection is to end. server.mu is held.
func (c *connection) handle(firstByteAt time.Duration, request *http.Request) bool {
	server := c.server
	if request.URL.Path == "/health" && request.Header.Get("X-Txn") == "" {
		if !server.silent {
			server.addOverhead(healthCheckWork)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // the sidecar may have gone
		}
		return true
	}
	if c.current != nil {
		return false // two at once on one connection: no sidecar does that
	}
	attempt := server.newAttempt(c, c.incarnation, request.Header)
	c.current = attempt
	return server.beginAttempt(attempt, firstByteAt)
}

// recordTruncated records an attempt whose request was not sent to its end: it never ran.
func (c *connection) recordTruncated(firstByteAt time.Duration, request *http.Request) {
	server := c.server
	id := server.rehearsal.attempts.Add(1)
	e := audit.Event{
		At: server.rehearsal.now(), FirstByteAt: firstByteAt, Kind: audit.AttemptReceived, Request: request.Header.Get("X-Txn"), AttemptID: id,
		Server: server.index, Sidecar: -1, Origin: -1,
	}
	if e.Request == "" {
		return
	}
	server.rehearsal.record(e)
	e.Kind, e.Result = audit.AttemptEnded, audit.Truncated
	server.rehearsal.record(e)
}

// answer writes an answer; load is the value of X-Pressure, empty for none. A sidecar that has gone misses it.
func (c *connection) answer(status int, rejected bool, load, body string) {
	extra := ""
	if load != "" {
		extra = "X-Pressure: " + load + "\r\n"
	}
	if rejected {
		extra += "X-Turned-Away: 1\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout)) // on a connection that is closed, writing fails as well
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), extra, body)
}

// garble writes a head that cannot be parsed, and nothing behind it.
func (c *connection) garble() {
	_, _ = io.WriteString(c, "HTTP/1.1 2oo \x00\x01 fine\r\nContent-Length: -7\r\n\r\n") // the sidecar may have gone
}

func (c *connection) reset() { reset(c.Conn) }

func (c *connection) release(attempt *attempt) {
	if c.current == attempt {
		c.current = nil
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails where the connection is closed already
	}
	closeConn(c)
}

// closeConn closes a connection that may be closed already: nothing is waiting to be written on it.
func closeConn(c net.Conn) { _ = c.Close() }
