package standalone

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// The Balancer handles a hedged request as two requests: the primary, which the caller sent, and the secondary, a copy of it that goes
// to another endpoint and counts towards all limits like any other request. This file links them: the caller gets the first response,
// and the other request is cancelled. If neither has a response, the caller gets the answer of the primary once both have ended.

// secondaryIDSuffix is appended to the id of a primary to form that of its secondary. It contains a byte that cannot occur in an id from
// a caller, which is a header value.
const secondaryIDSuffix = "\x00copy"

// hedge links a primary and its secondary. Each request has one; fields that do not apply to the request are zero.
type hedge struct {
	primary       *request  // for a secondary: its primary
	secondary     *request  // for a primary: its secondary, until that has ended
	pendingAnswer *answer   // for a primary that ended without a response: its answer, withheld while the secondary may get a response
	secondarySent bool      // for a primary: an attempt of its secondary was sent
	firstSentAt   time.Time // for a primary: time at which its first attempt was sent
}

// mayHedge reports whether a request may be hedged. A request of a class that is not idempotent may not, because each attempt has an
// effect.
func (c *Config) mayHedge(r *request) bool {
	if !c.Settings.HedgedRequests || r.route == nil || r.route.Settings.HedgeQuantile <= 0 {
		return false
	}
	return c.Settings.Classes[r.Class].Idempotency != balancer.NonIdempotent &&
		tighterLimit(r.route.Settings.MaxAttempts, c.Settings.MaxAttempts) != 1
}

// tighterLimit returns the lower of two limits, where 0 means no limit.
func tighterLimit(a, b int) int {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// scheduleHedge schedules the secondary of a request to be sent once its first attempt has been in flight for its route's hedge delay.
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

// sendHedge hedges the request of an attempt if the attempt is still in flight and the hedging budget of the route is not used up.
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

// idempotency returns the idempotency of a request's class: whether the request may run more than once.
func (l *loop) idempotency(r *request) balancer.Idempotency {
	return l.config.Settings.Classes[r.Class].Idempotency
}

// withholdAnswer is called with the final answer of a request. It reports whether the answer must not be delivered, either because it
// is the answer of a secondary, which endSecondary handles, or because the secondary may still get a response. It changes a rejection
// into a failure if the secondary may have run. The Balancer may be the caller, so this method must not call the Balancer.
func (l *loop) withholdAnswer(req *request, final *answer) bool {
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

// endSecondary handles the final answer of a secondary. A response is delivered to the caller. Without one, the answer of the primary
// is delivered if the primary has already ended.
func (l *loop) endSecondary(secondary *request, final *answer) {
	primary := secondary.hedge.primary
	secondary.answered = true
	primary.hedge.secondary = nil
	primary.hedge.secondarySent = secondary.attempts > 0
	if final.response != nil {
		l.deliver(primary, *final)
		return
	}
	if primary.hedge.pendingAnswer != nil {
		l.deliver(primary, primary.hedge.mergedAnswer(l.idempotency(primary)))
		l.forget(primary)
	}
}

// mergedAnswer returns the answer to a hedged request that got no response. That is the answer of the primary, or a failure if the
// secondary may have run: a rejection would promise that the request has not run. For an idempotent request this does not matter.
func (h *hedge) mergedAnswer(idempotency balancer.Idempotency) answer {
	if h.secondarySent && idempotency != balancer.Idempotent {
		return answer{}
	}
	return *h.pendingAnswer
}

// cancelOther cancels the secondary of a primary that has a response, or the primary of such a secondary. It calls the Balancer, so the
// Balancer must not be the caller.
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

// recordLatency records the latency of a response. The recorded latencies determine the delay after which later requests are hedged.
func (l *loop) recordLatency(a *attempt, result exchange.Result) {
	r := a.request
	if r.route == nil || r.hedge.primary != nil || r.answered || result.Status != balancer.StatusOK {
		return
	}
	r.route.RecordLatency(result.Elapsed)
}
