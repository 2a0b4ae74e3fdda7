package outbound

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// maxAttempts bounds the attempts of one request, including those that reached no endpoint: such attempts are not charged to the retry
// budget, and would otherwise be repeated until the deadline.
const maxAttempts = 8

// attempt is one attempt to have a request executed. The balancer tracks one attempt of a request at a time. An attempt that the balancer
// has cancelled in favour of another is superseded: it continues until the request is answered, as its endpoint may be executing it.
type attempt struct {
	request    *request
	endpoint   balancer.EndpointID
	number     int // position among the request's attempts, counted from 0
	sentAt     time.Duration
	superseded bool
	cancelled  bool   // whether cancel was called or is scheduled
	cancel     func() // cancels the attempt at its endpoint; nil if the attempt was not sent
}

// startAttempt starts an attempt of a request. An attempt that can't be sent ends right after the current event.
func (b *serviceBalancer) startAttempt(pending *request, to balancer.EndpointID) {
	started := &attempt{request: pending, endpoint: to, number: pending.attempts.sent, sentAt: b.dispatcher.now()}
	pending.attempts.sent++
	pending.attempts.active = started
	endpoint := b.endpoints.byNumber[to]
	switch {
	case endpoint == nil: // the endpoint was removed between two events
		b.endUnsent(started, outcome.Misdirected)
	case pending.attempts.mayHaveExecuted && !pending.route.Kind.IsIdempotent(): // a safeguard: the balancer should start no such attempt
		b.dispatcher.options.Log.WithField("attempt", pending.forward.AttemptID).
			Error("outbound: suppressed the retry of a non-idempotent request that may have been executed")
		b.endUnsent(started, outcome.Cancelled)
	default:
		b.send(started, endpoint)
	}
}

// endUnsent ends an attempt without sending it.
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
	call := hub.Send(endpoint.SidecarAddress, inbound.MethodForward, codec.Marshal(&forward), pending.deadline,
		func(body codec.Buffers, err error) { done(parseResponse(body, err)) })
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

// cancelAttempt cancels an attempt at its endpoint. The attempt's outcome is still reported to attemptEnded.
func (b *serviceBalancer) cancelAttempt(a *attempt) {
	if a.cancelled || a.cancel == nil {
		return
	}
	a.cancelled = true
	b.dispatcher.deferLocked(func(time.Duration) { a.cancel() })
}

// supersede makes the active attempt a superseded one, and reports it to the balancer as cancelled, so that the balancer starts another
// attempt of the request. The superseded attempt continues until the client has an answer: its endpoint may be executing it, and the next
// attempt may never be served. If the route or the retry budget allows no further attempt, supersede does nothing and the balancer gets the
// outcome of the active attempt when it ends.
func (b *serviceBalancer) supersede(r *request) {
	if r.attempts.sent >= maxAttempts || !b.acquireRetry(b.dispatcher.now(), r) {
		return
	}
	previous := r.attempts.active
	r.attempts.supersede()
	b.dispatcher.deferLocked(func(now time.Duration) {
		b.balancer.HandleOutcome(now, balancer.Outcome{
			ID:       r.id,
			Endpoint: previous.endpoint,
			Attempt:  previous.number,
			Elapsed:  now - previous.sentAt,
			Status:   balancer.StatusCancelled,
		})
	})
}

// attemptEnded handles the response to an attempt. It answers the request if the response is final, and reports the outcome to the
// balancer, which may start another attempt if the response is not final.
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

// supersededEnded handles the end of a superseded attempt, which the balancer no longer tracks. If the request is answered, the balancer is
// notified as if the client had disconnected. If it is not answered, and the balancer has given it up, it is answered when its last attempt
// has ended.
func (b *serviceBalancer) supersededEnded(now time.Duration, r *request) {
	switch {
	case r.answered:
		b.balancer.HandleClientGone(now, r.id)
	case r.concluded && !r.attempts.outstanding():
		r.answerConcluded()
	}
}
