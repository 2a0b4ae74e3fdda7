package standalone

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// A hedged request's second copy is a request of its own to the Balancer, which says where it goes and limits it like
// any other. What makes them one is here: the first answer of either is the caller's, and the other is cancelled.
// Without any answer the caller gets the first's end, once the copy has ended too.

// secondaryIDSuffix ends the id of a second copy. No caller's does: those are header values.
const secondaryIDSuffix = "\x00copy"

// hedge ties a request, the primary, to its second copy, the secondary.
type hedge struct {
	primary       *request  // of a secondary
	secondary     *request  // of a primary, while its copy has not ended
	pendingAnswer *answer   // of a primary that has ended without a response, while its copy may have one
	secondarySent bool      // a copy of it went out
	firstSentAt   time.Time // of a primary: when its first attempt went to the transport
}

// mayHedge reports whether a request may be hedged. Unsafe ones never are: each attempt has an effect.
func (c *Config) mayHedge(r *request) bool {
	if !c.Settings.HedgedRequests || r.route == nil || r.route.Settings.HedgeQuantile <= 0 {
		return false
	}
	return c.Settings.Classes[r.Class].Idempotency != balancer.NonIdempotent &&
		tighterLimit(r.route.Settings.MaxAttempts, c.Settings.MaxAttempts) != 1
}

// tighterLimit is the least of the limits that are set; 0 is none.
func tighterLimit(a, b int) int {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// scheduleHedge has a request hedged when its first attempt has been in flight for as long as its route says.
func (l *loop) scheduleHedge(a *attempt) {
	r := a.request
	if a.number > 0 || r.hedge.primary != nil || !l.config.mayHedge(r) {
		return
	}
	r.hedge.firstSentAt = time.Now()
	if after, ok := r.route.HedgeDelay(); ok && time.Now().Add(after).Before(r.deadline) {
		time.AfterFunc(after, func() { l.post(func() { l.sendHedge(a) }) })
	}
}

// sendHedge makes the second copy of the request of an attempt that is still in flight.
func (l *loop) sendHedge(a *attempt) {
	r := a.request
	if r.answered || r.inFlight != a || r.hedge.secondary != nil || !r.route.TakeHedge() {
		return
	}
	c := &request{Request: r.Request, Inbound: r.Inbound, deadline: r.deadline, answer: make(chan answer, 1), hedge: hedge{primary: r}}
	c.ID += secondaryIDSuffix
	c.TimeLeft = time.Until(r.deadline)
	c.MaxAttempts = 1
	c.Exclude = &a.Endpoint.ID
	if l.idempotency(r) == balancer.IdempotentWithKey {
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

// idempotency is what a repeat of a request does, by its class.
func (l *loop) idempotency(r *request) balancer.Idempotency {
	return l.config.Settings.Classes[r.Class].Idempotency
}

// awaitHedge takes the answer of a request or its copy, and reports whether it kept it because the other may still have one.
// It changes an answer that the copy's end makes worse. The Balancer may be calling.
func (l *loop) awaitHedge(r *request, a *answer) bool {
	if r.hedge.primary != nil {
		l.endSecondary(r, a)
		return true
	}
	if a.response != nil {
		return false
	}
	if r.hedge.secondary != nil {
		r.hedge.pendingAnswer = a
		return true
	}
	if r.hedge.secondarySent {
		r.hedge.pendingAnswer = a
		*a = r.hedge.mergedAnswer(l.idempotency(r))
	}
	return false
}

// endSecondary passes the answer of a second copy on to its primary, which may have waited for it.
func (l *loop) endSecondary(r *request, a *answer) {
	primary := r.hedge.primary
	r.answered = true
	primary.hedge.secondary = nil
	primary.hedge.secondarySent = r.attempts > 0
	if a.response != nil {
		l.deliver(primary, *a)
		return
	}
	if primary.hedge.pendingAnswer != nil {
		l.deliver(primary, primary.hedge.mergedAnswer(l.idempotency(primary)))
		l.forget(primary)
	}
}

// mergedAnswer is the answer to a request whose copy went out and had no response either: nothing may be promised of it but
// where any number of repeats is harmless.
func (h *hedge) mergedAnswer(effect balancer.Idempotency) answer {
	if h.secondarySent && effect != balancer.Idempotent {
		return answer{}
	}
	return *h.pendingAnswer
}

// cancelOther cancels the other one when a request or its copy was answered. Only between events of the Balancer.
func (l *loop) cancelOther(r *request) {
	if primary := r.hedge.primary; primary != nil {
		if primary.inFlight != nil {
			primary.route.RecordLatency(time.Since(primary.hedge.firstSentAt))
			primary.inFlight.cancel()
		}
		l.balancer.HandleClientGone(l.now(), primary.ID)
		l.forget(primary)
		return
	}
	if secondary := r.hedge.secondary; secondary != nil && !secondary.answered {
		l.abandon(secondary)
	}
}

// recordLatency notes how long a first attempt took, for when the next requests are hedged.
func (l *loop) recordLatency(a *attempt, result exchange.Result) {
	r := a.request
	if r.route == nil || r.hedge.primary != nil || r.answered || result.Status != balancer.StatusOK {
		return
	}
	r.route.RecordLatency(result.Elapsed)
}
