package standalone

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/route"
	"quincegap/internal/network/exchange"
)

// request is one request from its arrival until it is answered and its last attempt has ended.
type request struct {
	balancer.Request
	exchange.Inbound

	deadline      time.Time    // of its attempts, early enough to write the answer in time
	attempts      int          // how many were sent so far
	inFlight      *attempt     // nil while none is
	answered      bool         // the caller has its final answer, or has gone
	route         *route.Route // nil for none
	retryReserved bool         // a retry was taken out of the route's budget and has not been sent
	hedge         hedge
	answer        chan answer // buffered, so that the loop never waits for a handler
}

// answer is the final answer to a request: an endpoint's response, a rejection, or else a failure.
type answer struct {
	response   *exchange.Response // nil for a rejection or failure
	rejected   bool               // the request has not run and may be repeated
	retryAfter time.Duration      // 0 for no Retry-After
}

// handleArrival handles a request that its handler has read at a time: it is passed to the Balancer, or answered at once.
func (l *loop) handleArrival(r *request, received time.Time) {
	if immediate, admitted := l.admit(r); !admitted {
		r.answer <- immediate
		return
	}
	r.deadline = received.Add(r.TimeLeft - l.config.Settings.GraceToAnswer)
	r.TimeLeft = time.Until(r.deadline) // regardless of a shutdown, of which the Balancer knows
	r.capDeadline(l.shutdownAt)
	l.requests[r.ID] = r
	l.balancer.HandleRequest(l.now(), r.Request)
}

// admit decides whether a request is admitted, and returns its answer if it is not.
func (l *loop) admit(r *request) (immediate answer, admitted bool) {
	switch limit := l.config.Settings.OpenCap; {
	case l.requests[r.ID] != nil || l.recentIDs.has(r.ID, l.now()):
		return answer{}, false // a duplicate: the request with this id may have run
	case limit > 0 && len(l.requests) >= limit:
		return answer{rejected: true}, false
	}
	if l.memory != nil && l.memory.rejects(l.now(), r) {
		return answer{rejected: true, retryAfter: time.Second}, false
	}
	if r.route != nil && !r.route.Admit() {
		// A rejection would promise that the request has not run.
		return answer{rejected: !r.Prior.MayHaveRun, retryAfter: r.route.Settings.RetryAfter}, false
	}
	return answer{}, true
}

// shutDownAt has all requests answered by a time. Attempts that are in flight then are cancelled.
func (l *loop) shutDownAt(end time.Time) {
	l.shutdownAt = end
	for _, r := range l.requests {
		r.capDeadline(end)
	}
	l.balancer.ShutDownAt(l.now(), end.Sub(l.origin))
	time.AfterFunc(time.Until(end), func() {
		l.post(func() {
			for _, r := range l.requests {
				if r.inFlight != nil {
					r.inFlight.cancel()
				}
			}
		})
	})
}

// capDeadline limits the deadline of a request's further attempts. A zero time changes nothing.
func (r *request) capDeadline(end time.Time) {
	if !end.IsZero() && end.Before(r.deadline) {
		r.deadline = end
	}
}

// handleClientGone handles that the caller of a request has disconnected.
func (l *loop) handleClientGone(r *request) {
	if l.requests[r.ID] == r && !r.answered {
		l.abandon(r)
		return
	}
	select {
	case a := <-r.answer: // it was sent just before the caller disconnected
		l.releaseResponse(a.response)
	default:
	}
}

// abandon ends a request whose caller has gone, and its secondary. It calls the Balancer, so the Balancer must not be the caller.
func (l *loop) abandon(r *request) {
	r.answered = true
	if r.inFlight != nil {
		r.inFlight.cancel() // its outcome follows
	}
	l.balancer.HandleClientGone(l.now(), r.ID)
	l.forget(r)
	if other := r.hedge.secondary; other != nil && !other.answered {
		l.abandon(other)
	}
}

// deliver sends the final answer of a request to its handler, unless it has one or has to wait for its secondary.
func (l *loop) deliver(r *request, a answer) {
	if r.answered || l.awaitHedge(r, &a) {
		return
	}
	r.answered = true
	r.answer <- a
}

// endRequest ends a request with an answer that the Balancer decided on.
func (l *loop) endRequest(id balancer.RequestID, a answer) {
	if r := l.requests[id]; r != nil {
		l.deliver(r, a)
		l.forget(r)
	}
}

// forget deletes a request if it is answered and has no attempt in flight.
func (l *loop) forget(r *request) {
	if !r.answered || r.inFlight != nil || l.requests[r.ID] != r {
		return
	}
	delete(l.requests, r.ID)
	l.recentIDs.add(r.ID, l.now())
	if r.retryReserved {
		r.route.ReturnRetry()
	}
	if r.route != nil {
		r.route.Done()
	}
}

// releaseResponse returns the bytes of a response's body to the budget. The response may be nil.
func (l *loop) releaseResponse(r *exchange.Response) {
	if r != nil {
		l.bodyBudget.Release(len(r.Body))
	}
}
