package standalone

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// A second copy of a request is a request of its own to the Balancer, which says where it goes and holds it down like
// any other. What makes them one is here: the first answer of either is the caller's, and the other is called off.
// Without any answer the caller gets the first's end, once the copy has ended too.

// pair ties a request to its second copy.
type pair struct {
	of      *request  // of a copy: the request
	copy    *request  // of a request: its copy, while that has not ended
	verdict *answer   // of a request that has ended without an answer: what it came to, while its copy may have one
	sent    bool      // a copy of it went out
	since   time.Time // of a request: when its first attempt went to the transport
}

// copies tells whether second copies may be made of a request. Unsafe ones never are: each attempt has an effect.
func (c *Config) copies(r *request) bool {
	return c.Settings.HedgedRequests && r.route != nil && r.route.Settings.CopyAfter > 0 &&
		c.Settings.Classes[r.Class].Idempotency != balancer.NonIdempotent && least(r.route.Settings.Attempts, c.Settings.MaxAttempts) != 1
}

// least is the least of the bounds that are set; 0 for none.
func least(a, b int) int {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// armCopy has a first attempt looked at again when it has been out for as long as its route says.
func (l *loop) armCopy(a *attempt) {
	r := a.request
	if a.number > 0 || r.pair.of != nil || !l.config.copies(r) {
		return
	}
	r.pair.since = time.Now()
	if after, ok := r.route.CopyAfter(); ok && time.Now().Add(after).Before(r.deadline) {
		time.AfterFunc(after, func() { l.post(func() { l.copy(a) }) })
	}
}

// copy makes a second copy of the request of an attempt that is still out.
func (l *loop) copy(a *attempt) {
	r := a.request
	if r.answered || r.out != a || r.pair.copy != nil || !r.route.Copy() {
		return
	}
	c := &request{Request: r.Request, Inbound: r.Inbound, deadline: r.deadline, answer: make(chan answer, 1), pair: pair{of: r}}
	c.ID += "\x00copy" // no caller's: those are header values
	c.TimeLeft, c.MaxAttempts, c.Exclude = time.Until(r.deadline), 1, &a.Endpoint.ID
	if l.config.Settings.Classes[r.Class].Idempotency == balancer.IdempotentWithKey {
		// Its effect happens once only where its first attempt is known.
		c.Prior = balancer.PriorAttempt{
			MayHaveRun: true, Zone: l.endpoints.zones.index(a.Endpoint.Zone), Cell: a.Endpoint.Cell,
			SentAt: l.now() - time.Since(r.pair.since),
		}
	}
	r.pair.copy = c
	l.requests[c.ID] = c
	l.balancer.HandleRequest(l.now(), c.Request)
}

// waitsForPair takes an end that is no answer, of a request or its copy, where the other may still have one, and tells
// whether it did. It may be called by the Balancer.
func (l *loop) waitsForPair(r *request, a *answer) bool {
	switch {
	case r.pair.of != nil:
		p := r.pair.of
		r.answered = true
		p.pair.copy, p.pair.sent = nil, r.attempts > 0
		if a.response != nil {
			l.finish(p, *a)
		} else if p.pair.verdict != nil {
			l.finish(p, p.pair.merged(l.config.Settings.Classes[p.Class].Idempotency))
			l.forget(p)
		}
		return true
	case a.response == nil && r.pair.copy != nil:
		r.pair.verdict = a
		return true
	case a.response == nil && r.pair.sent:
		r.pair.verdict = a
		*a = r.pair.merged(l.config.Settings.Classes[r.Class].Idempotency)
	}
	return false
}

// merged is what a request came to whose copy went out and had no answer either: nothing may be promised of it but
// where any number of repeats is harmless.
func (p *pair) merged(effect balancer.Idempotency) answer {
	if p.sent && effect != balancer.Idempotent {
		return answer{}
	}
	return *p.verdict
}

// endPair calls off the other one when one was answered. Only between events of the Balancer.
func (l *loop) endPair(r *request) {
	if p := r.pair.of; p != nil {
		if p.out != nil {
			p.route.Took(time.Since(p.pair.since))
			p.out.cancel()
		}
		l.balancer.HandleClientGone(l.now(), p.ID)
		l.forget(p)
		return
	}
	if c := r.pair.copy; c != nil && !c.answered {
		l.giveUp(c)
	}
}

// timed notes how long a first attempt took, for when the next copies are made.
func (l *loop) timed(a *attempt, res exchange.Result) {
	if r := a.request; r.route != nil && r.pair.of == nil && res.Status == balancer.StatusOK && !r.answered {
		r.route.Took(res.Took)
	}
}
