package standalone

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// A hedged request is two requests to the Balancer: the primary, which the caller sent, and the secondary, a copy of it that goes to
// another endpoint and counts towards all limits like any other. This file ties them together: the caller gets the first response of
// either, and the other one is cancelled. Without a response the caller gets the answer of the primary, once both have ended.

// secondaryIDSuffix is the end of the id of a secondary. It has a byte that cannot be in an id of a caller, which is a header value.
const secondaryIDSuffix = "\x00copy"

// hedge ties a primary to its secondary. Each request has one; the fields that do not apply to it are zero.
type hedge struct {
	primary       *request  // of a secondary
	secondary     *request  // of a primary, until the secondary has ended
	pendingAnswer *answer   // of a primary that has ended without a response, while its secondary may have one
	secondarySent bool      // of a primary: an attempt of its secondary was sent
	firstSentAt   time.Time // of a primary: when its first attempt was sent
}

// mayHedge reports whether a request may be hedged. A request of a class that is not idempotent may not: each attempt has an effect.
func (c *Config) mayHedge(r *request) bool {
	if !c.Settings.HedgedRequests || r.route == nil || r.route.Settings.HedgeQuantile <= 0 {
		return false
	}
	return c.Settings.Classes[r.Class].Idempotency != balancer.NonIdempotent &&
		tighterLimit(r.route.Settings.MaxAttempts, c.Settings.MaxAttempts) != 1
}

// tighterLimit returns the lower of two limits, of which 0 is none.
func tighterLimit(a, b int) int {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// scheduleHedge schedules the secondary of a request, for when its first attempt has been in flight for the delay of its route.
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

// sendHedge hedges the request of an attempt, if that is still in flight and the budget of the route covers it.
func (l *loop) sendHedge(inFlight *attempt) {
	primary := inFlight.request
	if primary.answered || primary.inFlight != inFlight || primary.hedge.secondary != nil || !primary.route.TakeHedge() {
		return
	}
	secondary := &request{
		Request:  primary.Request,
		Inbound:  primary.Inbound,
		deadline: primary.deadline,
		answer:   make(chan answer, 1),
		hedge:    hedge{primary: primary},
	}
	secondary.ID += secondaryIDSuffix
	secondary.TimeLeft = time.Until(primary.deadline)
	secondary.MaxAttempts = 1
	secondary.Exclude = &inFlight.Endpoint.ID
	if l.idempotency(primary) == balancer.IdempotentWithKey {
		// Only the cell that got the first attempt recognises the key.
		secondary.Prior = balancer.PriorAttempt{
			MayHaveRun: true, Zone: l.endpoints.zones.index(inFlight.Endpoint.Zone), Cell: inFlight.Endpoint.Cell,
			SentAt: l.now() - time.Since(primary.hedge.firstSentAt),
		}
	}
	primary.hedge.secondary = secondary
	l.requests[secondary.ID] = secondary
	l.balancer.HandleRequest(l.now(), secondary.Request)
}

// idempotency returns whether a request may run more than once, by its class.
func (l *loop) idempotency(r *request) balancer.Idempotency {
	return l.config.Settings.Classes[r.Class].Idempotency
}

// awaitHedge is called with the final answer of a request. It reports whether the answer must not be delivered, because it is that
// of a secondary, which endSecondary handles, or because the secondary may still have a response. It changes a rejection into a
// failure if the secondary may have run. The Balancer may be the caller, so it must not be called here.
func (l *loop) awaitHedge(req *request, final *answer) bool {
	if req.hedge.primary != nil {
		l.endSecondary(req, final)
		return true
	}
	if final.response != nil {
		return false
	}
	if req.hedge.secondary != nil {
		req.hedge.pendingAnswer = final
		return true
	}
	if req.hedge.secondarySent {
		req.hedge.pendingAnswer = final
		*final = req.hedge.mergedAnswer(l.idempotency(req))
	}
	return false
}

// endSecondary handles the final answer of a secondary: a response is delivered to the caller, as is the answer of a primary that
// has ended before.
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

// mergedAnswer returns the answer to a hedged request without a response: that of the primary, unless the secondary may have run.
// Then it is a failure, because a rejection would promise that the request has not run, except where that makes no difference.
func (h *hedge) mergedAnswer(idempotency balancer.Idempotency) answer {
	if h.secondarySent && idempotency != balancer.Idempotent {
		return answer{}
	}
	return *h.pendingAnswer
}

// cancelOther cancels the secondary of a primary that has a response, or the other way round. It calls the Balancer, so the Balancer
// must not be the caller.
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

// recordLatency records the latency of a response, which determines the delay after which later requests are hedged.
func (l *loop) recordLatency(a *attempt, result exchange.Result) {
	r := a.request
	if r.route == nil || r.hedge.primary != nil || r.answered || result.Status != balancer.StatusOK {
		return
	}
	r.route.RecordLatency(result.Elapsed)
}
