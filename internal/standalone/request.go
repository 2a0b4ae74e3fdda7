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

	deadline      time.Time    // deadline of its attempts, early enough for the answer to be written in time
	attempts      int          // number of attempts sent so far
	inFlight      *attempt     // attempt that is in flight; nil for none
	answered      bool         // the final answer was delivered, or the caller has disconnected
	route         *route.Route // route of the request; nil for none
	retryReserved bool         // a retry was taken out of the route's budget and has not been sent yet
	hedge         hedge
	answer        chan answer // receives the final answer; buffered, so that the loop never waits for a handler
}

// answer is the final answer to a request: an endpoint's response, a rejection, or a failure, which is the zero value.
type answer struct {
	response   *exchange.Response // nil for a rejection or failure
	rejected   bool               // the request has not run and may be repeated
	retryAfter time.Duration      // value of Retry-After; 0 for no such header
}

// handleArrival handles a request that its handler has completely received at a time. It passes the request to the Balancer, or answers
// it immediately if it is not admitted.
func (l *loop) handleArrival(r *request, received time.Time) {
	if immediate, admitted := l.admit(r); !admitted {
		r.answer <- immediate
		return
	}
	r.deadline = received.Add(r.TimeLeft - l.config.Settings.GraceToAnswer)
	r.TimeLeft = time.Until(r.deadline) // not shortened by a shutdown, which the Balancer accounts for itself
	r.capDeadline(l.shutdownAt)
	l.requests[r.ID] = r
	l.balancer.HandleRequest(l.now(), r.Request)
}

// admit reports whether a request is admitted, and returns the answer to it if it is not.
func (l *loop) admit(r *request) (immediate answer, admitted bool) {
	switch limit := l.config.Settings.OpenCap; {
	case l.requests[r.ID] != nil || l.recentIDs.has(r.ID, l.now()):
		return answer{}, false // a duplicate: the earlier request with this id may have run
	case limit > 0 && len(l.requests) >= limit:
		return answer{rejected: true}, false
	}
	if l.memory != nil && l.memory.mustReject(l.now(), r) {
		return answer{rejected: true, retryAfter: time.Second}, false
	}
	if r.route != nil && !r.route.Admit() {
		// A rejection would promise that the request has not run.
		return answer{rejected: !r.Prior.MayHaveRun, retryAfter: r.route.Settings.RetryAfter}, false
	}
	return answer{}, true
}

// scheduleShutdown limits all requests, present and future, to a deadline. Attempts that are in flight at that time are cancelled.
func (l *loop) scheduleShutdown(end time.Time) {
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

// capDeadline limits the deadline of the request's further attempts to a time. A zero time has no effect.
func (r *request) capDeadline(end time.Time) {
	if !end.IsZero() && end.Before(r.deadline) {
		r.deadline = end
	}
}

// handleClientGone handles the disconnection of the caller of a request.
func (l *loop) handleClientGone(r *request) {
	if l.requests[r.ID] == r && !r.answered {
		l.abandon(r)
		return
	}
	select {
	case a := <-r.answer: // the loop answered just before the caller disconnected
		l.releaseResponse(a.response)
	default:
	}
}

// abandon ends a request whose answer is no longer needed, and its secondary. It calls the Balancer, so the Balancer must not be the
// caller.
func (l *loop) abandon(r *request) {
	r.answered = true
	if r.inFlight != nil {
		r.inFlight.cancel() // handleAttemptEnd handles the attempt's outcome
	}
	l.balancer.HandleClientGone(l.now(), r.ID)
	l.forget(r)
	if other := r.hedge.secondary; other != nil && !other.answered {
		l.abandon(other)
	}
}

// deliver sends the final answer of a request to its handler, unless the request is already answered or the answer is withheld because
// of its hedge.
func (l *loop) deliver(r *request, a answer) {
	if r.answered || l.withholdAnswer(r, &a) {
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

// releaseResponse returns the bytes of a response's body to the body budget. The response may be nil.
func (l *loop) releaseResponse(r *exchange.Response) {
	if r != nil {
		l.bodyBudget.Release(len(r.Body))
	}
}
