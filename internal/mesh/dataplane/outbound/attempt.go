package outbound

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// maxAttempts bounds the attempts of one request, those too that reached no endpoint: these cost nothing of the retry budget, and would
// else go on until the deadline.
const maxAttempts = 8

// attempt is one sending of a request. The balancer knows one at a time; one that it has cancelled in favour of another is superseded:
// it goes on until one of them is answered, as its endpoint may be executing it.
type attempt struct {
	request    *request
	endpoint   balancer.EndpointID
	number     int // of the request's attempts, from 0
	sentAt     time.Duration
	superseded bool
	cancelled  bool   // at its endpoint
	cancel     func() // cancels it at its endpoint; nil if it was not sent
}

// startAttempt makes an attempt of a request and sends it, if it can be sent.
func (b *serviceBalancer) startAttempt(r *request, to balancer.EndpointID) {
	a := &attempt{request: r, endpoint: to, number: r.attempts.sent, sentAt: b.dispatcher.now()}
	r.attempts.sent++
	r.attempts.active = a
	endpoint := b.endpoints.byNumber[to]
	switch {
	case endpoint == nil: // it left between two events
		b.endUnsent(a, outcome.Misdirected)
	case r.attempts.mayHaveExecuted && !r.route.Kind.IsIdempotent(): // the balancer never does so; this guards against a fault of it
		b.dispatcher.options.Log.WithField("attempt", r.forward.AttemptID).Error("outbound: retry suppressed of a request that may have been executed")
		b.endUnsent(a, outcome.Cancelled)
	default:
		b.send(a, endpoint)
	}
}

// endUnsent ends an attempt that is not sent.
func (b *serviceBalancer) endUnsent(a *attempt, kind outcome.Kind) {
	b.dispatcher.deferLocked(func(now time.Duration) { b.attemptEnded(now, a, &inbound.ForwardResponse{Kind: kind}) })
}

// send sends an attempt to its endpoint: directly if the endpoint is beside this sidecar, else through its own sidecar.
func (b *serviceBalancer) send(a *attempt, endpoint *knownEndpoint) {
	r := a.request
	forward := r.forward
	forward.EndpointID = endpoint.ID
	forward.TimeRemaining = r.deadline - a.sentAt
	forward.TargetRemaining = r.targetDeadline - a.sentAt
	done := func(response *inbound.ForwardResponse) {
		b.dispatcher.runLocked(func(now time.Duration) { b.attemptEnded(now, a, response) })
	}
	hub := b.dispatcher.options.Hub
	if endpoint.SidecarAddress == hub.Self().Address {
		a.cancel = b.dispatcher.options.Inbound.Forward(&forward, r.targetDeadline, r.deadline, done)
		return
	}
	call := hub.Send(endpoint.SidecarAddress, inbound.MethodForward, codec.MarshalAppend(nil, &forward), r.deadline,
		func(body []byte, err error) { done(parseResponse(body, err)) })
	a.cancel = call.Cancel
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

// cancelAttempt cancels an attempt at its endpoint; its outcome says how far it had come.
func (b *serviceBalancer) cancelAttempt(a *attempt) {
	if a.cancelled || a.cancel == nil {
		return
	}
	a.cancelled = true
	b.dispatcher.deferLocked(func(time.Duration) { a.cancel() })
}

// supersede lets a hedged attempt take the place of the active one. That one is not cancelled before the client has its answer: its
// endpoint may be executing it, and the other may never be served. Where the route or the retry budget allows no other, nothing
// changes, and the balancer hears how the attempt ends.
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

// attemptEnded takes how an attempt ended: it answers the request if that is decided, and has the balancer go on if not.
func (b *serviceBalancer) attemptEnded(now time.Duration, a *attempt, response *inbound.ForwardResponse) {
	r := a.request
	r.attempts.end(a, response)
	next := response.Kind.Next(response.Status, r.route.Kind.IsIdempotent())
	final := r.answered || next == outcome.Deliver
	if next == outcome.Deliver {
		r.answer(result{kind: outcome.Answered, response: response})
	}
	if r.expired && !r.answered && !r.attempts.outstanding() {
		r.answerExpired()
	}
	if a.superseded {
		b.supersededEnded(now, r)
	} else {
		b.balancer.HandleOutcome(now, balancer.Outcome{
			ID:       r.id,
			Endpoint: a.endpoint,
			Attempt:  a.number,
			Final:    final,
			Elapsed:  now - a.sentAt,
			Status:   balancerStatus(response, a.cancelled),
			NoRetry:  !b.allowNextAttempt(now, r, response, next, final),
		})
	}
	if r.answered {
		b.cancelAttempts(r)
	}
	b.forget(r)
}

// supersededEnded goes on after a superseded attempt has ended, of which the balancer knows nothing any more. With its answer the
// balancer need not go on; without one the request waits for the other attempts, or is answered if the balancer has given it up.
func (b *serviceBalancer) supersededEnded(now time.Duration, r *request) {
	switch {
	case r.answered:
		b.balancer.HandleClientGone(now, r.id)
	case r.concluded && !r.attempts.outstanding():
		r.answerConcluded()
	}
}
