package rehearse

import (
	"net/http"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// callerRequest is one request to a sidecar.
type callerRequest struct {
	request       string // X-Txn
	class         int
	key           string // Idempotency-Key
	timeLeft      time.Duration
	origin        int // the arrival that it is for
	callerAttempt int // from 1; 0 for the call of a server
}

// callerAnswer is the answer to a request.
type callerAnswer struct {
	status     int // 0 if there was none
	retryAfter time.Duration
	authentic  bool // a server made it for this request
}

// route is where a request goes: a connection that is idle, or a new one to the sidecar that pick returns, nil if there is none.
type route struct {
	idle *connectionPool
	pick func() *sidecar
}

// connect opens a connection; nil if there is no sidecar, or it cannot be reached.
func (r *route) connect() *callerConnection {
	s := r.pick()
	if s == nil {
		return nil
	}
	c, err := s.connect()
	if err != nil {
		return nil
	}
	return c
}

// sendRequest sends a request, and waits for the answer until the request's time is up or gone is closed. It is sent once more, on a
// new connection, if a connection that was used before ends without an answer: the sidecar closed it between requests.
func (r *rehearsal) sendRequest(request callerRequest, to route, gone <-chan struct{}) callerAnswer {
	deadline := time.NewTimer(request.timeLeft + 2*r.plan.Rules.Slack)
	defer deadline.Stop()
	began := r.now()
	conn := to.idle.take()
	for used := conn != nil; ; used = false {
		if conn == nil {
			if conn = to.connect(); conn == nil {
				return callerAnswer{}
			}
		}
		left := request.timeLeft - (r.now() - began)
		if left <= 0 {
			to.idle.put(conn)
			return callerAnswer{}
		}
		conn.send(&request, left)
		select {
		case answer := <-conn.answers:
			to.idle.put(conn)
			return answer
		case <-deadline.C:
			conn.giveUp(&request)
			return callerAnswer{}
		case <-gone:
			conn.giveUp(&request)
			return callerAnswer{}
		case <-conn.closed:
		}
		select {
		case answer := <-conn.answers: // the last on its connection
			return answer
		default:
		}
		r.record(conn.event(audit.ConnectionClosed, &request))
		if !used {
			return callerAnswer{}
		}
		conn = nil
	}
}

// callThrough makes the call of a server through its own sidecar, and reports whether it was served.
func (r *rehearsal) callThrough(server int, request callerRequest, gone <-chan struct{}) bool {
	s := r.sidecarOf[server]
	if s == nil {
		return false
	}
	answer := r.sendRequest(request, route{idle: &s.idle, pick: func() *sidecar { return s }}, gone)
	return answer.status == http.StatusOK && answer.authentic
}

// playArrival plays one arrival: the caller's attempts, with backoffs between them, until one is served or the caller gives up.
func (r *rehearsal) playArrival(n int) {
	caller := r.plan.Caller(n, r.now())
	class := r.plan.Arrivals[n].Class
	r.counters.requests.Add(1)
	lastStatus, prefersFirst := 0, r.plan.PrefersFirstSidecar(n)
	for {
		attempt, left, ok := caller.NextAttempt(r.now())
		if !ok {
			break
		}
		request := callerRequest{
			request: scenario.RequestID(n, attempt), class: class, key: scenario.IdempotencyKey(n), timeLeft: left,
			origin: n, callerAttempt: attempt,
		}
		answer := r.sendRequest(request, r.routeOf(prefersFirst), r.ctx.Done())
		lastStatus = answer.status
		backoff, ok := caller.RetryAfter(r.now(), answer.status, answer.retryAfter)
		if !ok {
			break
		}
		select {
		case <-time.After(backoff):
		case <-r.ctx.Done():
			return
		}
	}
	r.counters.count(lastStatus)
}

// routeOf returns the route of a caller from outside: to the first sidecar if the caller prefers it and it serves, else by rotation.
func (r *rehearsal) routeOf(prefersFirst bool) route {
	first := r.sidecars[0]
	if prefersFirst && r.rotation.ifServing(first) != nil {
		return route{idle: &first.idle, pick: func() *sidecar { return r.rotation.ifServing(first) }}
	}
	return route{idle: &r.rotation.idle, pick: r.rotation.pick}
}

// count counts the end of an arrival by the status of its last answer.
func (c *counters) count(status int) {
	switch {
	case status == http.StatusOK:
		c.served.Add(1)
	case scenario.IsRejected(status):
		c.rejected.Add(1)
	default:
		c.failed.Add(1)
	}
}
