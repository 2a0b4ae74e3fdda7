package rehearse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
)

// callerRequest is one request to a sidecar.
type callerRequest struct {
	request       string
	class         int
	key           string
	timeLeft      time.Duration
	origin        int
	callerAttempt int // 0 for the call of a server
}

// callerAnswer is what came of it.
type callerAnswer struct {
	status     int // 0 if none
	retryAfter time.Duration
	authentic  bool
}

// callerConnection is a caller's connection to a sidecar. One goroutine reads it, and knows what is owed on it.
type callerConnection struct {
	net.Conn
	sidecar *sidecar
	answers chan callerAnswer // of the request that is out
	closed  chan struct{}     // closed when it has ended
	mu      sync.Mutex
	pending *callerRequest // that is out on it
}

const dialTimeout = time.Second

// connect opens a connection of callers to the sidecar.
func (s *sidecar) connect() (*callerConnection, error) {
	c, err := s.rehearsal.dial(s.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	l := &callerConnection{Conn: c, sidecar: s, answers: make(chan callerAnswer, 1), closed: make(chan struct{})}
	go l.read()
	return l, nil
}

// connectionPool is connections on which no request is out. Callers from outside share one over all sidecars of the first tier:
// they go on using the connections that they have for as long as these stay open, whatever the front does with new ones.
type connectionPool struct {
	mu   sync.Mutex
	idle []*callerConnection
}

// handle is an idle connection, drawn at random so that all sidecars are used alike; nil if there is none.
func (c *connectionPool) take() *callerConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle); n > 0; n-- {
		i := rand.IntN(n)
		l := c.idle[i]
		c.idle[i] = c.idle[n-1]
		c.idle = c.idle[:n-1]
		select {
		case <-l.closed:
		default:
			return l
		}
	}
	return nil
}

// put gives back a connection on which no request is out.
func (c *connectionPool) put(l *callerConnection) {
	c.mu.Lock()
	c.idle = append(c.idle, l)
	c.mu.Unlock()
}

// close closes all connections that are idle.
func (c *connectionPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle {
		closeConn(l)
	}
	c.idle = nil
}

// read takes answers until the connection ends. What comes while nothing is owed is noted: nobody asked for it.
func (c *callerConnection) read() {
	defer close(c.closed)
	defer closeConn(c)
	r := bufio.NewReader(c.Conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.mu.Lock()
		out := c.pending
		c.mu.Unlock()
		if out == nil {
			some, _ := r.Peek(min(r.Buffered(), 40))
			c.sidecar.rehearsal.record(audit.Event{At: c.sidecar.rehearsal.now(), Kind: audit.UnsolicitedBytes, Sidecar: c.sidecar.index, Server: -1, Origin: -1, Text: strconv.Quote(string(some))})
			return
		}
		answer, err := http.ReadResponse(r, nil) //nolint:bodyclose // the connection is read to its end, and closed
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
		if err != nil {
			return
		}
		var after time.Duration
		if f, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
			after = time.Duration(f * float64(time.Second))
		}
		good := bytes.HasPrefix(body, []byte("served "+out.request+" "))
		c.sidecar.rehearsal.record(audit.Event{
			At: c.sidecar.rehearsal.now(), Kind: audit.AnswerReceived, Request: out.request, Status: answer.StatusCode, Duration: after, Authentic: good,
			Sidecar: c.sidecar.index, Server: -1, Origin: out.origin, CallerAttempt: out.callerAttempt,
		})
		c.mu.Lock()
		c.pending = nil
		c.mu.Unlock()
		c.answers <- callerAnswer{answer.StatusCode, after, good}
		if answer.Close {
			return
		}
	}
}

// sendRequest sends a request, and waits for the answer until the request's time is up or nobody wants it any more. It is sent once
// more on a new connection where the one before, used already, ends without an answer: the sidecar closed it between requests. pick
// returns the sidecar for a new connection, nil where there is none.
func (w *rehearsal) sendRequest(request callerRequest, idle *connectionPool, pick func() *sidecar, gone <-chan struct{}) callerAnswer {
	deadline := time.NewTimer(request.timeLeft + 2*w.plan.Rules.Slack)
	defer deadline.Stop()
	began := w.now()
	c := idle.take()
	for used := c != nil; ; used = false {
		if c == nil {
			if c = connectTo(pick()); c == nil {
				return callerAnswer{}
			}
		}
		left := request.timeLeft - (w.now() - began)
		if left <= 0 {
			idle.put(c)
			return callerAnswer{}
		}
		c.send(&request, left)
		select {
		case answer := <-c.answers:
			idle.put(c)
			return answer
		case <-deadline.C:
			c.giveUp(&request)
			return callerAnswer{}
		case <-gone:
			c.giveUp(&request)
			return callerAnswer{}
		case <-c.closed:
		}
		select {
		case answer := <-c.answers: // the last on its connection
			return answer
		default:
		}
		w.record(c.event(audit.ConnectionClosed, &request))
		if !used {
			return callerAnswer{}
		}
		c = nil
	}
}

// connectTo opens a connection to a sidecar; nil if there is none, or it can't be reached.
func connectTo(s *sidecar) *callerConnection {
	if s == nil {
		return nil
	}
	c, err := s.connect()
	if err != nil {
		return nil
	}
	return c
}

// event returns what happens to a request on the connection now.
func (c *callerConnection) event(kind audit.Kind, r *callerRequest) audit.Event {
	return audit.Event{
		At: c.sidecar.rehearsal.now(), Kind: kind, Request: r.request, Sidecar: c.sidecar.index, Server: -1, Origin: r.origin,
		CallerAttempt: r.callerAttempt, Class: r.class,
	}
}

// send writes a request, with the time that is left for it.
func (c *callerConnection) send(r *callerRequest, left time.Duration) {
	c.mu.Lock()
	c.pending = r
	c.mu.Unlock()
	sent := c.event(audit.RequestSent, r)
	sent.Duration = left
	c.sidecar.rehearsal.record(sent)
	_, _ = c.Write(encodeRequest(c.sidecar.rehearsal.plan.Classes[r.class], r, left)) // what can't be written ends the connection
}

// giveUp ends the connection of a request whose time is up, or that nobody wants any more.
func (c *callerConnection) giveUp(r *callerRequest) {
	c.sidecar.rehearsal.record(c.event(audit.CallerTimedOut, r))
	closeConn(c)
}

// encodeRequest is a request as it goes out.
func encodeRequest(class *scenario.Class, a *callerRequest, left time.Duration) []byte {
	method, body := "POST", "trip=dialysis\n"
	if class.Idempotency == balancer.Idempotent {
		method, body = "GET", ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /trips HTTP/1.1\r\nHost: api.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %du\r\n", method, a.request, class.Name, left.Microseconds())
	if class.Idempotency == balancer.IdempotentWithKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.key)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return []byte(b.String())
}

// callThrough is the call of a server through its own sidecar; false if it was not served.
func (w *rehearsal) callThrough(box int, a callerRequest, gone <-chan struct{}) bool {
	s := w.sidecarOf[box]
	if s == nil {
		return false
	}
	r := w.sendRequest(a, &s.idle, func() *sidecar { return s }, gone)
	return r.status == http.StatusOK && r.authentic
}

// rotation deals callers out among the sidecars of the first tier. It notices only after a while that one has died.
type rotation struct {
	idle    connectionPool
	mu      sync.Mutex
	serving []*sidecar
	next    int
}

// failureNotice is how long the front goes on sending to a sidecar that has died.
const failureNotice = 2 * time.Second

func (r *rotation) add(s *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(s)
	r.serving = append(r.serving, s)
}

func (r *rotation) remove(s *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(s)
}

func (r *rotation) removeLocked(s *sidecar) {
	kept := r.serving[:0:0]
	for _, o := range r.serving {
		if o != s {
			kept = append(kept, o)
		}
	}
	r.serving = kept
}

func (r *rotation) pick() *sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.serving) == 0 {
		return nil
	}
	r.next++
	return r.serving[r.next%len(r.serving)]
}

// firstIfServing is the first sidecar, if it is in the front.
func (r *rotation) firstIfServing(of *sidecar) *sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.serving, of) {
		return nil
	}
	return of
}

// playArrival plays one arrival: its tries, with waits between them, until it is served or gives up.
func (w *rehearsal) playArrival(n int) {
	caller := w.plan.Caller(n, w.now())
	class := w.plan.Arrivals[n].Class
	w.counters.requests.Add(1)
	last, toFirst := 0, w.plan.PrefersFirstSidecar(n)
	for {
		try, left, ok := caller.NextAttempt(w.now())
		if !ok {
			break
		}
		idle, pick := &w.rotation.idle, w.rotation.pick
		if to := w.sidecars[0]; toFirst && w.rotation.firstIfServing(to) != nil {
			idle, pick = &to.idle, func() *sidecar { return w.rotation.firstIfServing(to) }
		}
		r := w.sendRequest(callerRequest{request: scenario.RequestID(n, try), class: class, key: scenario.IdempotencyKey(n), timeLeft: left, origin: n, callerAttempt: try}, idle, pick, w.ctx.Done())
		last = r.status
		wait, ok := caller.RetryAfter(w.now(), r.status, r.retryAfter)
		if !ok {
			break
		}
		select {
		case <-time.After(wait):
		case <-w.ctx.Done():
			return
		}
	}
	switch {
	case last == http.StatusOK:
		w.counters.served.Add(1)
	case scenario.IsRejected(last):
		w.counters.rejected.Add(1)
	default:
		w.counters.failed.Add(1)
	}
}

// Rude callers send what cannot be read, half of it, or nothing. faultyCallerTimeout is what a sidecar has to answer or close.
const faultyCallerTimeout = 8 * time.Second

const faultyRequestCount = 10

var faultyRequests = [faultyRequestCount]string{
	"", "\x16\x03\x01\x02\x00\x01\x00", "GET / HTTP/1.1\r\n", "POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
	"POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"POST /trips HTTP/1.1\r\nHost: a\r\nX-Txn: x\r\nContent-Length: 50\r\n\r\nhalf",
	"POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\nX-Txn: y\r\nX-Lane: no-such-class\r\nX-Remaining: 1000m\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\nX-Lane: book-trip\r\nX-Remaining: soon\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X-Long: "+strings.Repeat("a", 1000)+"\r\n", 40) + "\r\n",
}

// runFaultyCaller plays one faulty caller until it is not wanted any more.
func (w *rehearsal) runFaultyCaller(i int) {
	random := rand.New(emulator.RandomSource(w.plan.Seed, fmt.Sprint("rude ", i)))
	for w.ctx.Err() == nil && int64(i) < w.faultyCallers.Load() {
		s := w.rotation.pick()
		if s == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c, err := w.dial(s.address, dialTimeout)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		how := random.IntN(len(faultyRequests))
		_, _ = io.WriteString(c, faultyRequests[how])              // a sidecar that has closed has done what it should
		_ = c.SetReadDeadline(time.Now().Add(faultyCallerTimeout)) // likewise
		if n, err := io.Copy(io.Discard, io.LimitReader(c, 1<<20)); err != nil && n == 0 {
			if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() && w.ctx.Err() == nil && s.serving() {
				w.unanswered[how].Add(1)
			}
		}
		closeConn(c)
		time.Sleep(time.Duration(10+random.IntN(40)) * time.Millisecond)
	}
}
