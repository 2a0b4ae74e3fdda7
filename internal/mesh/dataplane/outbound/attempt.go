package outbound

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// maxAttempts bounds the attempts of one request, including those that reached no endpoint: they are not charged to the retry budget, and
// would otherwise be repeated until the deadline.
const maxAttempts = 8

// attempt is one attempt to have a request executed. The balancer knows of one at a time. An attempt that it has cancelled in favour of
// another is superseded, and goes on until either is answered, as its endpoint may be executing the request.
type attempt struct {
	request    *request
	endpoint   balancer.EndpointID
	number     int // of the request's attempts, from 0
	sentAt     time.Duration
	superseded bool
	cancelled  bool   // cancel was called, or will be
	cancel     func() // cancels the attempt at its endpoint; nil if it was not sent
}

// startAttempt starts an attempt of a request. One that can't be sent ends at once, after the current event.
func (b *serviceBalancer) startAttempt(r *request, to balancer.EndpointID) {
	a := &attempt{request: r, endpoint: to, number: r.attempts.sent, sentAt: b.dispatcher.now()}
	r.attempts.sent++
	r.attempts.active = a
	endpoint := b.endpoints.byNumber[to]
	switch {
	case endpoint == nil: // removed between two events
		b.endUnsent(a, outcome.Misdirected)
	case r.attempts.mayHaveExecuted && !r.route.Kind.IsIdempotent(): // the balancer makes no such attempt; a safeguard against its faults
		b.dispatcher.options.Log.WithField("attempt", r.forward.AttemptID).
			Error("outbound: retry suppressed of a request that may have been executed")
		b.endUnsent(a, outcome.Cancelled)
	default:
		b.send(a, endpoint)
	}
}

// endUnsent ends an attempt that is not sent.
func (b *serviceBalancer) endUnsent(a *attempt, kind outcome.Kind) {
	b.dispatcher.deferLocked(func(now time.Duration) { b.attemptEnded(now, a, &inbound.ForwardResponse{Kind: kind}) })
}

// send sends an attempt to its endpoint: directly if the endpoint is beside this sidecar, else through the endpoint's sidecar.
func (b *serviceBalancer) send(attempt *attempt, endpoint *knownEndpoint) {
	pending := attempt.request
	forward := pending.forward
	forward.EndpointID = endpoint.ID
	forward.TimeRemaining = pending.deadline - attempt.sentAt
	forward.TargetRemaining = pending.targetDeadline - attempt.sentAt
	done := func(response *inbound.ForwardResponse) {
		b.dispatcher.runLocked(func(now time.Duration) { b.attemptEnded(now, attempt, response) })
	}
	hub := b.dispatcher.options.Hub
	if endpoint.SidecarAddress == hub.Self().Address {
		attempt.cancel = b.dispatcher.options.Inbound.Forward(&forward, pending.targetDeadline, pending.deadline, done)
		return
	}
	call := hub.Send(endpoint.SidecarAddress, inbound.MethodForward, codec.MarshalAppend(nil, &forward), pending.deadline,
		func(body []byte, err error) { done(parseResponse(body, err)) })
	attempt.cancel = call.Cancel
}

// cancelAttempts cancels all attempts of a request that have not ended.
func (b *serviceBalancer) cancelAttempts(r *request) {
	for _, a := range r.attempts.superseded {
		b.cancelAttempt(a)
	}
	if r.attempts.active != nil {
		b.cancelAttempt(r.attempts.active)
	}
}

// cancelAttempt cancels an attempt at its endpoint. Its outcome is still reported.
func (b *serviceBalancer) cancelAttempt(a *attempt) {
	if a.cancelled || a.cancel == nil {
		return
	}
	a.cancelled = true
	b.dispatcher.deferLocked(func(time.Duration) { a.cancel() })
}

// supersede makes the active attempt a superseded one, and reports it to the balancer as cancelled, so that it starts another one for the
// request. The attempt itself goes on until the client has an answer: its endpoint may be executing it, and the next attempt may never be
// served. If the route or the retry budget allows no further attempt nothing changes, and the balancer gets the attempt's own outcome.
func (b *serviceBalancer) supersede(r *request) {
	if r.attempts.sent >= maxAttempts || !b.acquireRetry(b.dispatcher.now(), r) {
		return
	}
	a := r.attempts.active
	r.attempts.supersede()
	b.dispatcher.deferLocked(func(now time.Duration) {
		b.balancer.HandleOutcome(now, balancer.Outcome{
			ID:       r.id,
			Endpoint: a.endpoint,
			Attempt:  a.number,
			Elapsed:  now - a.sentAt,
			Status:   balancer.StatusCancelled,
		})
	})
}

// attemptEnded handles the response to an attempt. It answers the request if the response is final, and reports the outcome to the
// balancer, which may start another attempt if not.
func (b *serviceBalancer) attemptEnded(now time.Duration, ended *attempt, response *inbound.ForwardResponse) {
	pending := ended.request
	pending.attempts.end(ended, response)
	next := response.Kind.Next(response.Status, pending.route.Kind.IsIdempotent())
	final := pending.answered || next == outcome.Deliver
	if next == outcome.Deliver {
		pending.answer(result{kind: outcome.Answered, response: response})
	}
	if pending.expired && !pending.answered && !pending.attempts.outstanding() {
		pending.answerExpired()
	}
	if ended.superseded {
		b.supersededEnded(now, pending)
	} else {
		b.balancer.HandleOutcome(now, balancer.Outcome{
			ID:       pending.id,
			Endpoint: ended.endpoint,
			Attempt:  ended.number,
			Final:    final,
			Elapsed:  now - ended.sentAt,
			Status:   balancerStatus(response, ended.cancelled),
			NoRetry:  !b.allowNextAttempt(now, pending, response, next, final),
		})
	}
	if pending.answered {
		b.cancelAttempts(pending)
	}
	b.forget(pending)
}

// supersededEnded handles the end of a superseded attempt, which the balancer has forgotten. If it has answered the request, the balancer
// is notified as if the client had gone; if not, and the balancer has given the request up, the last attempt to end answers it.
func (b *serviceBalancer) supersededEnded(now time.Duration, r *request) {
	switch {
	case r.answered:
		b.balancer.HandleClientGone(now, r.id)
	case r.concluded && !r.attempts.outstanding():
		r.answerConcluded()
	}
}
