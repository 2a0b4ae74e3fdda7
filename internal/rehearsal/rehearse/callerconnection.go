package rehearse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// callerConnection is a connection from a caller to a sidecar, with at most one request in flight. One goroutine reads the responses.
type callerConnection struct {
	net.Conn
	sidecar *sidecar
	answers chan callerAnswer // response to the request in flight; buffer size 1
	closed  chan struct{}     // closed when the connection has ended

	mu      sync.Mutex
	pending *callerRequest // request in flight; nil if there is none
}

const (
	dialTimeout         = time.Second
	maxAnswerBytes      = 1 << 20
	maxUnsolicitedShown = 40 // number of unsolicited bytes shown in the event
)

// connect opens a caller connection to the sidecar.
func (s *sidecar) connect() (*callerConnection, error) {
	conn, err := s.rehearsal.dial(s.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &callerConnection{Conn: conn, sidecar: s, answers: make(chan callerAnswer, 1), closed: make(chan struct{})}
	go c.read()
	return c, nil
}

// read reads responses until the connection ends. It records bytes that arrive while no request is in flight as unsolicited, and
// closes the connection.
func (c *callerConnection) read() {
	defer close(c.closed)
	defer closeConn(c)
	reader := bufio.NewReader(c.Conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		c.mu.Lock()
		request := c.pending
		c.mu.Unlock()
		if request == nil {
			c.recordUnsolicited(reader)
			return
		}
		answer, last, err := c.readAnswer(reader, request)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.pending = nil
		c.mu.Unlock()
		c.answers <- answer
		if last {
			return
		}
	}
}

// readAnswer reads and records the response to a request; last reports whether the sidecar closes the connection after it. It fails if
// the response is malformed or incomplete.
func (c *callerConnection) readAnswer(reader *bufio.Reader, request *callerRequest) (answer callerAnswer, last bool, err error) {
	response, err := http.ReadResponse(reader, nil) //nolint:bodyclose // closing the connection is enough
	if err != nil {
		return callerAnswer{}, false, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return callerAnswer{}, false, err
	}
	answer = callerAnswer{status: response.StatusCode, authentic: bytes.HasPrefix(body, []byte("served "+request.request+" "))}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		answer.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	rehearsal := c.sidecar.rehearsal
	rehearsal.record(audit.Event{
		At: rehearsal.now(), Kind: audit.AnswerReceived, Request: request.request, Status: answer.status,
		Duration: answer.retryAfter, Authentic: answer.authentic,
		Sidecar: c.sidecar.index, Server: -1, Origin: request.origin, CallerAttempt: request.callerAttempt,
	})
	return answer, response.Close, nil
}

// recordUnsolicited records that bytes arrived while no request was in flight.
func (c *callerConnection) recordUnsolicited(reader *bufio.Reader) {
	unsolicited, _ := reader.Peek(min(reader.Buffered(), maxUnsolicitedShown))
	rehearsal := c.sidecar.rehearsal
	rehearsal.record(audit.Event{
		At: rehearsal.now(), Kind: audit.UnsolicitedBytes, Sidecar: c.sidecar.index, Server: -1, Origin: -1,
		Text: strconv.Quote(string(unsolicited)),
	})
}

// send writes a request, with the time left until its deadline.
func (c *callerConnection) send(request *callerRequest, left time.Duration) {
	c.mu.Lock()
	c.pending = request
	c.mu.Unlock()
	sent := c.event(audit.RequestSent, request)
	sent.Duration = left
	rehearsal := c.sidecar.rehearsal
	rehearsal.record(sent)
	_, _ = c.Write(encodeRequest(rehearsal.plan.Classes[request.class], request, left)) // if it fails, read sees the connection end
}

// giveUp records that the caller abandoned a request, because it timed out or was canceled, and closes the connection.
func (c *callerConnection) giveUp(request *callerRequest) {
	c.sidecar.rehearsal.record(c.event(audit.CallerTimedOut, request))
	closeConn(c)
}

// event returns an event of a request on the connection, with the current time.
func (c *callerConnection) event(kind audit.Kind, request *callerRequest) audit.Event {
	return audit.Event{
		At: c.sidecar.rehearsal.now(), Kind: kind, Request: request.request, Sidecar: c.sidecar.index, Server: -1, Origin: request.origin,
		CallerAttempt: request.callerAttempt, Class: request.class,
	}
}

// encodeRequest returns a request as HTTP/1.1 text, with the time left until its deadline in X-Remaining.
func encodeRequest(class *scenario.Class, request *callerRequest, left time.Duration) []byte {
	method, body := http.MethodPost, "trip=dialysis\n"
	if class.Idempotency == balancer.Idempotent {
		method, body = http.MethodGet, ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /trips HTTP/1.1\r\nHost: api.internal\r\n", method)
	fmt.Fprintf(&b, "X-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %du\r\n", request.request, class.Name, left.Microseconds())
	if class.Idempotency == balancer.IdempotentWithKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", request.key)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return []byte(b.String())
}

// connectionPool holds idle connections. External callers share one pool for all sidecars of the first tier: open connections stay in
// use even after the rotation has removed their sidecar.
type connectionPool struct {
	mu   sync.Mutex
	idle []*callerConnection
}

// take removes and returns a random idle connection, so that the load is even over the sidecars. It returns nil if there is none.
func (p *connectionPool) take() *callerConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n-- {
		i := rand.IntN(n)
		c := p.idle[i]
		p.idle[i] = p.idle[n-1]
		p.idle = p.idle[:n-1]
		select {
		case <-c.closed:
		default:
			return c
		}
	}
	return nil
}

// put adds an idle connection to the pool.
func (p *connectionPool) put(c *callerConnection) {
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// close closes all idle connections.
func (p *connectionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		closeConn(c)
	}
	p.idle = nil
}
