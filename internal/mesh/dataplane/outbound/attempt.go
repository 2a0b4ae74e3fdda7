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
	to         balancer.EndpointID
	number     int
	at         time.Duration
	superseded bool
	quit       bool // withdrawn at its endpoint
	withdraw   func()
}

// outstanding tells whether any attempt of a request has not ended.
func (r *request) outstanding() bool { return r.out != nil || len(r.superseded) > 0 }

// withdrawAll withdraws what is out of a request. The lock is held.
func (c *serviceBalancer) withdrawAll(r *request) {
	for _, a := range r.superseded {
		c.withdraw(a)
	}
	if r.out != nil {
		c.withdraw(r.out)
	}
}

// withdraw withdraws an attempt at its endpoint; its end says how far it had come. The lock is held.
func (c *serviceBalancer) withdraw(a *attempt) {
	if a.quit || a.withdraw == nil {
		return
	}
	a.quit = true
	c.proxy.later(func(time.Duration) { a.withdraw() })
}

// Cancel gives an attempt up, of a request that the module wants to send elsewhere or that has no client any more (balancer.Host).
func (c *serviceBalancer) Cancel(id balancer.RequestID, number int) {
	r := c.requests[id]
	if r == nil || r.out == nil || r.out.number != number {
		return
	}
	if r.lapsed || r.done {
		c.withdraw(r.out)
		return
	}
	c.supersede(r)
}

// supersede lets another attempt take the place of the one that is out. That one is not withdrawn before a client has its answer:
// its endpoint may be at work, and the other may never be served. Where the route or the budget of repeats allows no other, nothing
// changes, and the module hears how the attempt ends.
func (c *serviceBalancer) supersede(r *request) {
	if r.attempts >= triesMost || !c.mayArriveAgain(c.proxy.Now(), r, 1) {
		return
	}
	a := r.out
	a.superseded, r.out = true, nil
	r.superseded = append(r.superseded, a)
	c.proxy.later(func(now time.Duration) {
		c.balancer.Outcome(now, balancer.Outcome{ID: r.id, Endpoint: a.to, Attempt: a.number, Elapsed: now - a.at, Status: balancer.Cancelled})
	})
}

// ended takes the end of an attempt.
func (c *serviceBalancer) ended(now time.Duration, a *attempt, o *inbound.Outcome) {
	r := a.request
	if r.out == a {
		r.out = nil
	}
	r.superseded = slices.DeleteFunc(r.superseded, func(x *attempt) bool { return x == a })
	r.note(o)
	next := o.Kind.Next(o.Status, r.route.Kind.IsIdempotent())
	final := r.done || next == outcome.Deliver
	if next == outcome.Deliver {
		c.proxy.answer(r, result{kind: outcome.Answered, outcome: o})
	}
	if r.lapsed && !r.done && !r.outstanding() {
		c.proxy.close(r)
	}
	switch {
	case a.superseded:
		c.endedSuperseded(now, r)
	default:
		c.balancer.Outcome(now, balancer.Outcome{ID: r.id, Endpoint: a.to, Attempt: a.number, Final: final,
			Elapsed: now - a.at, Status: status(o, a.quit), Last: c.isLast(now, r, o, next, final)})
	}
	if r.done {
		c.withdrawAll(r)
	}
	c.forget(r)
}

// isLast tells whether no further attempt may follow one that ended so.
func (c *serviceBalancer) isLast(now time.Duration, r *request, o *inbound.Outcome, next outcome.Next, final bool) bool {
	switch {
	case r.lapsed || next == outcome.Stop || r.mayRun && !r.route.Kind.IsIdempotent():
		return true
	case final:
		return false
	}
	return r.attempts >= triesMost || o.Arrived && !c.mayArriveAgain(now, r, 0)
}

// endedSuperseded goes on after a superseded attempt has ended. With its answer the module need not go on; without one the request
// waits for the others, or has the module's word, which came before.
func (c *serviceBalancer) endedSuperseded(now time.Duration, r *request) {
	switch {
	case r.done:
		c.balancer.Lapsed(now, r.id)
	case r.finished && !r.outstanding():
		c.finish(r)
	}
}

// note remembers what an attempt's end says of its request.
func (r *request) note(o *inbound.Outcome) {
	if !o.Kind.NotRun() {
		r.mayRun = true
	}
	if o.Arrived {
		r.arrivals++
	}
	if o.Kind != outcome.Withdrawn {
		r.last = o
	}
	if o.Kind == outcome.Answered {
		r.failure = o
	}
}

// mayArriveAgain tells whether a request that has reached an endpoint may be sent to one more: by its route, and by the fleet's budget
// of repeats, out of which it takes one. An attempt that is out counts as one that arrives: more is how many there are beside
// those that are superseded.
func (c *serviceBalancer) mayArriveAgain(now time.Duration, r *request, more int) bool {
	bounds := &c.proxy.o.Bounds
	return r.arrivals+len(r.superseded)+more < max(r.route.MaxAttempts, 1) &&
		c.repeats.Acquire(now, bounds.RetryBudgetRatio, bounds.RetryBudgetSlack, c.proxy.sidecars)
}

// Refuse is the module's final answer: nobody serves it (balancer.Host).
func (c *serviceBalancer) Refuse(id balancer.RequestID, retryAfter time.Duration) {
	c.conclude(id, retryAfter)
}

// Fail is its final answer, promising nothing (balancer.Host).
func (c *serviceBalancer) Fail(id balancer.RequestID) { c.conclude(id, 0) }

// conclude takes the module's final answer. While a superseded attempt is out, its endpoint may still answer.
func (c *serviceBalancer) conclude(id balancer.RequestID, back time.Duration) {
	r := c.requests[id]
	if r == nil || r.done {
		return
	}
	r.finished, r.back = true, back
	if len(r.superseded) == 0 {
		c.finish(r)
	}
}

// finish answers by what is known of the request's attempts: the module's word alone is no promise.
func (c *serviceBalancer) finish(r *request) {
	res := result{kind: outcome.Overloaded, back: r.back}
	switch {
	case r.failure != nil:
		res = result{kind: outcome.Answered, outcome: r.failure}
	case r.mayRun && r.last != nil && !r.last.Kind.NotRun():
		res.kind = r.last.Kind
	case r.mayRun || r.out != nil:
		res.kind = outcome.Silent
	case r.last != nil:
		res.kind = r.last.Kind
	}
	if res.kind.NotRun() {
		res.back = max(res.back, res.kind.Back())
	}
	c.proxy.answer(r, res)
	c.forget(r)
}

// forget drops a request that is answered and of which nothing is out. The lock is held.
func (c *serviceBalancer) forget(r *request) {
	if r.done && !r.outstanding() {
		delete(c.requests, r.id)
	}
}
