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

// connection is an HTTP/1.1 connection from a sidecar to a server.
type connection struct {
	net.Conn
	server      *server
	incarnation int      // the server's incarnation when it accepted the connection
	current     *attempt // attempt in flight, nil if there is none; guarded by server.mu
}

const (
	maxBodyBytes = 64 << 10
	// answerTimeout bounds the time to write a response.
	answerTimeout = time.Second
	// healthCheckWork is the server work that one health check costs.
	healthCheckWork = 30 * time.Microsecond
)

// accept accepts and serves connections until the listener is closed or its deadline has passed.
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

// serve reads and handles requests until the connection ends, and then cancels the attempt in flight.
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

// handle answers a health check or begins an attempt. It returns false if the connection must be closed. The caller holds server.mu.
func (c *connection) handle(firstByteAt time.Duration, request *http.Request) bool {
	server := c.server
	if request.URL.Path == "/health" && request.Header.Get("X-Txn") == "" {
		if !server.silent {
			server.addOverhead(healthCheckWork)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // the sidecar may have closed the connection
		}
		return true
	}
	if c.current != nil {
		return false // no sidecar pipelines requests on one connection
	}
	attempt := server.newAttempt(c, c.incarnation, request.Header)
	c.current = attempt
	return server.beginAttempt(attempt, firstByteAt)
}

// recordTruncated records an attempt that never ran, because its request was incomplete or its body too large.
func (c *connection) recordTruncated(firstByteAt time.Duration, request *http.Request) {
	server := c.server
	id := server.rehearsal.attempts.Add(1)
	event := audit.Event{
		At: server.rehearsal.now(), FirstByteAt: firstByteAt, Kind: audit.AttemptReceived, Request: request.Header.Get("X-Txn"), AttemptID: id,
		Server: server.index, Sidecar: -1, Origin: -1,
	}
	if event.Request == "" {
		return
	}
	server.rehearsal.record(event)
	event.Kind, event.Result = audit.AttemptEnded, audit.Truncated
	server.rehearsal.record(event)
}

// answer writes a response; load is the value of the X-Pressure header, empty for no header. Write errors are ignored, because the
// sidecar may have closed the connection.
func (c *connection) answer(status int, rejected bool, load, body string) {
	extra := ""
	if load != "" {
		extra = "X-Pressure: " + load + "\r\n"
	}
	if rejected {
		extra += "X-Turned-Away: 1\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout)) // if it fails, the connection is closed and the write fails too
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), extra, body)
}

// garble writes a response head that cannot be parsed, and no body.
func (c *connection) garble() {
	_, _ = io.WriteString(c, "HTTP/1.1 2oo \x00\x01 fine\r\nContent-Length: -7\r\n\r\n") // the sidecar may have closed the connection
}

func (c *connection) reset() { reset(c.Conn) }

func (c *connection) release(attempt *attempt) {
	if c.current == attempt {
		c.current = nil
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the connection is already closed
	}
	closeConn(c)
}

// closeConn closes a connection. The error is ignored: the connection may be closed already, and no written data is pending.
func closeConn(c net.Conn) { _ = c.Close() }
