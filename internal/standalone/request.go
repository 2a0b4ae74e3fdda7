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

	deadline      time.Time // when its attempts end, so that the last byte of its answer is out in time
	attempts      int       // that were made so far
	inFlight      *attempt  // nil while none is
	answered      bool
	route         *route.Route // that it takes; nil for none
	retryReserved bool         // a retry was taken out of that route's budget, and not made yet
	hedge         hedge
	answer        chan answer // holds one, so that the loop never waits for a handler
}

// answer is the final answer to a request: an endpoint's response, or a rejection or failure of our own.
type answer struct {
	response   *exchange.Response // nil unless served
	rejected   bool               // a repeat is harmless
	retryAfter time.Duration      // 0 for nothing said
}

// handleArrival takes a request from its handler.
func (l *loop) handleArrival(r *request, received time.Time) {
	if immediate, admitted := l.admit(r); !admitted {
		r.answer <- immediate
		return
	}
	r.deadline = received.Add(r.TimeLeft - l.config.Settings.GraceToAnswer)
	r.TimeLeft = time.Until(r.deadline) // also where this sidecar ends before: the Balancer knows
	r.capDeadline(l.shutdownAt)
	l.requests[r.ID] = r
	l.balancer.HandleRequest(l.now(), r.Request)
}

// admit lets a request in, or gives the answer that it gets at once.
func (l *loop) admit(r *request) (immediate answer, admitted bool) {
	switch limit := l.config.Settings.OpenCap; {
	case l.requests[r.ID] != nil || l.recentIDs.has(r.ID, l.now()):
		return answer{}, false // the id is taken: nothing may be promised of it
	case limit > 0 && len(l.requests) >= limit:
		return answer{rejected: true}, false
	}
	if l.memory != nil && l.memory.rejects(l.now(), r) {
		return answer{rejected: true, retryAfter: time.Second}, false
	}
	if r.route != nil && !r.route.Admit() {
		// A rejection says that a repeat is harmless, which is not so of what may have run.
		return answer{rejected: !r.Prior.MayHaveRun, retryAfter: r.route.Settings.RetryAfter}, false
	}
	return answer{}, true
}

// shutDownAt has everything answered by a given time. What is in flight then is cancelled.
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

// capDeadline cuts the time of a request's further attempts; a zero time leaves it.
func (r *request) capDeadline(end time.Time) {
	if !end.IsZero() && end.Before(r.deadline) {
		r.deadline = end
	}
}

// handleClientGone takes the word that a client has gone.
func (l *loop) handleClientGone(r *request) {
	if l.requests[r.ID] == r && !r.answered {
		l.abandon(r)
		return
	}
	select {
	case a := <-r.answer: // it was on its way when the client went
		l.releaseResponse(a.response)
	default:
	}
}

// abandon ends a request that nobody waits for any more, and its hedged copy. Only between events of the Balancer.
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

// deliver gives a request its answer, unless it has one or its hedged copy may still have a better one.
func (l *loop) deliver(r *request, a answer) {
	if r.answered || l.awaitHedge(r, &a) {
		return
	}
	r.answered = true
	r.answer <- a
}

// endRequest ends a request by the Balancer's word.
func (l *loop) endRequest(id balancer.RequestID, a answer) {
	if r := l.requests[id]; r != nil {
		l.deliver(r, a)
		l.forget(r)
	}
}

// forget drops a request that is answered and has no attempt in flight.
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

// releaseResponse gives the space of a response's body back; nil is none.
func (l *loop) releaseResponse(r *exchange.Response) {
	if r != nil {
		l.bodyBudget.Release(len(r.Body))
	}
}
