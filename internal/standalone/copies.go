package standalone

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// A second copy of a request is a request of its own to the Balancer, which says where it goes and holds it down like
// any other. What makes them one is here: the first answer of either is the caller's, and the other is called off.
// Without any answer the caller gets the first's end, once the copy has ended too.

// hedge ties a request to its second copy.
type hedge struct {
	primary       *request  // of a copy: the request
	secondary     *request  // of a request: its copy, while that has not ended
	pendingAnswer *answer   // of a request that has ended without an answer: what it came to, while its copy may have one
	secondarySent bool      // a copy of it went out
	firstSentAt   time.Time // of a request: when its first attempt went to the transport
}

// mayHedge tells whether second copies may be made of a request. Unsafe ones never are: each attempt has an effect.
func (c *Config) mayHedge(r *request) bool {
	return c.Settings.HedgedRequests && r.route != nil && r.route.Settings.CopyAfter > 0 &&
		c.Settings.Classes[r.Class].Idempotency != balancer.NonIdempotent && tighterLimit(r.route.Settings.Attempts, c.Settings.MaxAttempts) != 1
}

// tighterLimit is the least of the bounds that are set; 0 for none.
func tighterLimit(a, b int) int {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// scheduleHedge has a first attempt looked at again when it has been out for as long as its route says.
func (l *loop) scheduleHedge(a *attempt) {
	r := a.request
	if a.number > 0 || r.hedge.primary != nil || !l.config.mayHedge(r) {
		return
	}
	r.hedge.firstSentAt = time.Now()
	if after, ok := r.route.CopyAfter(); ok && time.Now().Add(after).Before(r.deadline) {
		time.AfterFunc(after, func() { l.post(func() { l.sendHedge(a) }) })
	}
}

// secondary makes a second copy of the request of an attempt that is still out.
func (l *loop) sendHedge(a *attempt) {
	r := a.request
	if r.answered || r.inFlight != a || r.hedge.secondary != nil || !r.route.Copy() {
		return
	}
	c := &request{Request: r.Request, Inbound: r.Inbound, deadline: r.deadline, answer: make(chan answer, 1), hedge: hedge{primary: r}}
	c.ID += "\x00copy" // no caller's: those are header values
	c.TimeLeft, c.MaxAttempts, c.Exclude = time.Until(r.deadline), 1, &a.Endpoint.ID
	if l.config.Settings.Classes[r.Class].Idempotency == balancer.IdempotentWithKey {
		// Its effect happens once only where its first attempt is known.
		c.Prior = balancer.PriorAttempt{
			MayHaveRun: true, Zone: l.endpoints.zones.index(a.Endpoint.Zone), Cell: a.Endpoint.Cell,
			SentAt: l.now() - time.Since(r.hedge.firstSentAt),
		}
	}
	r.hedge.secondary = c
	l.requests[c.ID] = c
	l.balancer.HandleRequest(l.now(), c.Request)
}

// awaitHedge takes an end that is no answer, of a request or its copy, where the other may still have one, and tells
// whether it did. It may be called by the Balancer.
func (l *loop) awaitHedge(r *request, a *answer) bool {
	switch {
	case r.hedge.primary != nil:
		p := r.hedge.primary
		r.answered = true
		p.hedge.secondary, p.hedge.secondarySent = nil, r.attempts > 0
		if a.response != nil {
			l.deliver(p, *a)
		} else if p.hedge.pendingAnswer != nil {
			l.deliver(p, p.hedge.mergedAnswer(l.config.Settings.Classes[p.Class].Idempotency))
			l.forget(p)
		}
		return true
	case a.response == nil && r.hedge.secondary != nil:
		r.hedge.pendingAnswer = a
		return true
	case a.response == nil && r.hedge.secondarySent:
		r.hedge.pendingAnswer = a
		*a = r.hedge.mergedAnswer(l.config.Settings.Classes[r.Class].Idempotency)
	}
	return false
}

// mergedAnswer is what a request came to whose copy went out and had no answer either: nothing may be promised of it but
// where any number of repeats is harmless.
func (p *hedge) mergedAnswer(effect balancer.Idempotency) answer {
	if p.secondarySent && effect != balancer.Idempotent {
		return answer{}
	}
	return *p.pendingAnswer
}

// cancelOther calls off the other one when one was answered. Only between events of the Balancer.
func (l *loop) cancelOther(r *request) {
	if p := r.hedge.primary; p != nil {
		if p.inFlight != nil {
			p.route.Took(time.Since(p.hedge.firstSentAt))
			p.inFlight.cancel()
		}
		l.balancer.HandleClientGone(l.now(), p.ID)
		l.forget(p)
		return
	}
	if c := r.hedge.secondary; c != nil && !c.answered {
		l.abandon(c)
	}
}

// recordLatency notes how long a first attempt took, for when the next copies are made.
func (l *loop) recordLatency(a *attempt, res exchange.Result) {
	if r := a.request; r.route != nil && r.hedge.primary == nil && res.Status == balancer.StatusOK && !r.answered {
		r.route.Took(res.Elapsed)
	}
}
