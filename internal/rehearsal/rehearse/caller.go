package rehearse

import (
	"net/http"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// callerRequest is one request that a caller or a server sends to a sidecar.
type callerRequest struct {
	request       string        // value of the X-Txn header
	class         int           // index of the request's class
	key           string        // value of the Idempotency-Key header
	timeLeft      time.Duration // time until the request's deadline
	origin        int           // index of the arrival that caused the request
	callerAttempt int           // number of the caller's attempt, from 1; 0 for a call by a server
}

// callerAnswer is the response to a callerRequest.
type callerAnswer struct {
	status     int           // HTTP status; 0 if there was no response
	retryAfter time.Duration // delay from the Retry-After header; 0 if absent
	authentic  bool          // whether a server produced the response for this request
}

// route selects the connection for a request: an idle one from the pool, or a new one to the sidecar that pick returns. pick returns nil
// if no sidecar is available.
type route struct {
	idle *connectionPool
	pick func() *sidecar
}

// connect opens a new connection. It returns nil if no sidecar is available or the sidecar cannot be reached.
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

// sendRequest sends a request and waits for the response until the request times out or canceled is closed. If a reused connection ends
// without a response, the request is sent once more on a new connection, because the sidecar may have closed the idle connection.
func (r *rehearsal) sendRequest(request callerRequest, route route, canceled <-chan struct{}) callerAnswer {
	deadline := time.NewTimer(request.timeLeft + 2*r.plan.Rules.Slack)
	defer deadline.Stop()
	began := r.now()
	conn := route.idle.take()
	for reused := conn != nil; ; reused = false {
		if conn == nil {
			if conn = route.connect(); conn == nil {
				return callerAnswer{}
			}
		}
		left := request.timeLeft - (r.now() - began)
		if left <= 0 {
			route.idle.put(conn)
			return callerAnswer{}
		}
		conn.send(&request, left)
		select {
		case answer := <-conn.answers:
			route.idle.put(conn)
			return answer
		case <-deadline.C:
			conn.giveUp(&request)
			return callerAnswer{}
		case <-canceled:
			conn.giveUp(&request)
			return callerAnswer{}
		case <-conn.closed:
		}
		select {
		case answer := <-conn.answers: // the sidecar closed the connection after this response
			return answer
		default:
		}
		r.record(conn.event(audit.ConnectionClosed, &request))
		if !reused {
			return callerAnswer{}
		}
		conn = nil
	}
}

// callThrough sends a server's request through the sidecar of that server, and reports whether the request was served. It returns false
// early if canceled is closed.
func (r *rehearsal) callThrough(server int, request callerRequest, canceled <-chan struct{}) bool {
	s := r.sidecarOf[server]
	if s == nil {
		return false
	}
	answer := r.sendRequest(request, route{idle: &s.idle, pick: func() *sidecar { return s }}, canceled)
	return answer.status == http.StatusOK && answer.authentic
}

// playArrival plays the n-th arrival: the caller's attempts, with backoffs between them, until one is served or the caller gives up.
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

// routeOf returns the route of an external caller: to the first sidecar if the caller prefers it and the rotation includes it, otherwise
// to the sidecar whose turn it is in the rotation.
func (r *rehearsal) routeOf(prefersFirst bool) route {
	first := r.sidecars[0]
	if prefersFirst && r.rotation.ifServing(first) != nil {
		return route{idle: &first.idle, pick: func() *sidecar { return r.rotation.ifServing(first) }}
	}
	return route{idle: &r.rotation.idle, pick: r.rotation.pick}
}

// count counts a completed arrival by the status of its last response.
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
