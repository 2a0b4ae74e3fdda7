package outbound

import (
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

// attempt is one sending of a request. The decision module knows one at a time; one that it has withdrawn in favour of another is
// superseded: it goes on until one of them is answered, as its endpoint may be at work.
type attempt struct {
	request    *request
	endpoint   balancer.EndpointID
	number     int
	sentAt     time.Duration
	superseded bool
	cancelled  bool // withdrawn at its endpoint
	cancel     func()
}

// outstanding tells whether any attempt of a request has not ended.
func (r *request) outstanding() bool { return r.active != nil || len(r.superseded) > 0 }

// cancelAttempts withdraws what is out of a request. The lock is held.
func (s *serviceBalancer) cancelAttempts(r *request) {
	for _, a := range r.superseded {
		s.cancelAttempt(a)
	}
	if r.active != nil {
		s.cancelAttempt(r.active)
	}
}

// cancelAttempt withdraws an attempt at its endpoint; its end says how far it had come. The lock is held.
func (s *serviceBalancer) cancelAttempt(a *attempt) {
	if a.cancelled || a.cancel == nil {
		return
	}
	a.cancelled = true
	s.proxy.deferLocked(func(time.Duration) { a.cancel() })
}

// Cancel gives an attempt up, of a request that the module wants to send elsewhere or that has no client any more (balancer.Host).
func (s *serviceBalancer) Cancel(id balancer.RequestID, number int) {
	r := s.requests[id]
	if r == nil || r.active == nil || r.active.number != number {
		return
	}
	if r.expired || r.answered {
		s.cancelAttempt(r.active)
		return
	}
	s.supersede(r)
}

// supersede lets another attempt take the place of the one that is out. That one is not withdrawn before a client has its answer:
// its endpoint may be at work, and the other may never be served. Where the route or the budget of repeats allows no other, nothing
// changes, and the module hears how the attempt ends.
func (s *serviceBalancer) supersede(r *request) {
	if r.sentAttempts >= maxAttempts || !s.mayRetry(s.proxy.Now(), r, 1) {
		return
	}
	a := r.active
	a.superseded, r.active = true, nil
	r.superseded = append(r.superseded, a)
	s.proxy.deferLocked(func(now time.Duration) {
		s.balancer.HandleOutcome(now, balancer.Outcome{ID: r.id, Endpoint: a.endpoint, Attempt: a.number, Elapsed: now - a.sentAt, Status: balancer.StatusCancelled})
	})
}

// shouldClose takes the end of an attempt.
func (s *serviceBalancer) attemptEnded(now time.Duration, a *attempt, o *inbound.ForwardResponse) {
	r := a.request
	if r.active == a {
		r.active = nil
	}
	r.superseded = slices.DeleteFunc(r.superseded, func(x *attempt) bool { return x == a })
	r.record(o)
	next := o.Kind.Next(o.Status, r.route.Kind.IsIdempotent())
	final := r.answered || next == outcome.Deliver
	if next == outcome.Deliver {
		s.proxy.answer(r, result{kind: outcome.Answered, response: o})
	}
	if r.expired && !r.answered && !r.outstanding() {
		s.proxy.finishExpired(r)
	}
	switch {
	case a.superseded:
		s.supersededEnded(now, r)
	default:
		s.balancer.HandleOutcome(now, balancer.Outcome{
			ID: r.id, Endpoint: a.endpoint, Attempt: a.number, Final: final,
			Elapsed: now - a.sentAt, Status: balancerStatus(o, a.cancelled), NoRetry: s.isFinalAttempt(now, r, o, next, final),
		})
	}
	if r.answered {
		s.cancelAttempts(r)
	}
	s.forget(r)
}

// isFinalAttempt tells whether no further attempt may follow one that ended so.
func (s *serviceBalancer) isFinalAttempt(now time.Duration, r *request, o *inbound.ForwardResponse, next outcome.Next, final bool) bool {
	switch {
	case r.expired || next == outcome.Stop || r.mayHaveExecuted && !r.route.Kind.IsIdempotent():
		return true
	case final:
		return false
	}
	return r.sentAttempts >= maxAttempts || o.ReachedEndpoint && !s.mayRetry(now, r, 0)
}

// supersededEnded goes on after a superseded attempt has ended. With its answer the module need not go on; without one the request
// waits for the others, or has the module's word, which came before.
func (s *serviceBalancer) supersededEnded(now time.Duration, r *request) {
	switch {
	case r.answered:
		s.balancer.HandleClientGone(now, r.id)
	case r.concluded && !r.outstanding():
		s.answerConcluded(r)
	}
}

// record remembers what an attempt's end says of its request.
func (r *request) record(o *inbound.ForwardResponse) {
	if !o.Kind.NotExecuted() {
		r.mayHaveExecuted = true
	}
	if o.ReachedEndpoint {
		r.reachedAttempts++
	}
	if o.Kind != outcome.Cancelled {
		r.lastResponse = o
	}
	if o.Kind == outcome.Answered {
		r.endpointFailure = o
	}
}

// mayRetry tells whether a request that has reached an endpoint may be sent to one more: by its route, and by the fleet's budget
// of repeats, out of which it takes one. An attempt that is out counts as one that arrives: more is how many there are beside
// those that are superseded.
func (s *serviceBalancer) mayRetry(now time.Duration, r *request, more int) bool {
	bounds := &s.proxy.options.Bounds
	return r.reachedAttempts+len(r.superseded)+more < max(r.route.MaxAttempts, 1) &&
		s.retryBudget.Acquire(now, bounds.RetryBudgetRatio, bounds.RetryBudgetSlack, s.proxy.sidecarCount)
}

// RejectNewRequests is the module's final answer: nobody serves it (balancer.Host).
func (s *serviceBalancer) Reject(id balancer.RequestID, retryAfter time.Duration) {
	s.conclude(id, retryAfter)
}

// Fail is its final answer, promising nothing (balancer.Host).
func (s *serviceBalancer) Fail(id balancer.RequestID) { s.conclude(id, 0) }

// conclude takes the module's final answer. While a superseded attempt is out, its endpoint may still answer.
func (s *serviceBalancer) conclude(id balancer.RequestID, back time.Duration) {
	r := s.requests[id]
	if r == nil || r.answered {
		return
	}
	r.concluded, r.retryAfter = true, back
	if len(r.superseded) == 0 {
		s.answerConcluded(r)
	}
}

// answerConcluded answers by what is known of the request's attempts: the module's word alone is no promise.
func (s *serviceBalancer) answerConcluded(r *request) {
	res := result{kind: outcome.Overloaded, retryAfter: r.retryAfter}
	switch {
	case r.endpointFailure != nil:
		res = result{kind: outcome.Answered, response: r.endpointFailure}
	case r.mayHaveExecuted && r.lastResponse != nil && !r.lastResponse.Kind.NotExecuted():
		res.kind = r.lastResponse.Kind
	case r.mayHaveExecuted || r.active != nil:
		res.kind = outcome.TimedOut
	case r.lastResponse != nil:
		res.kind = r.lastResponse.Kind
	}
	if res.kind.NotExecuted() {
		res.retryAfter = max(res.retryAfter, res.kind.RetryAfter())
	}
	s.proxy.answer(r, res)
	s.forget(r)
}

// forget drops a request that is answered and of which nothing is out. The lock is held.
func (s *serviceBalancer) forget(r *request) {
	if r.answered && !r.outstanding() {
		delete(s.requests, r.id)
	}
}
