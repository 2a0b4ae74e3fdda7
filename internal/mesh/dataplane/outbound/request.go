package outbound

import (
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

// request is one client's request. Once it is submitted, the dispatcher's lock guards it.
type request struct {
	id             balancer.RequestID
	route          *configuration.Route
	balancer       *serviceBalancer       // balancer that the request was submitted to; nil before
	forward        inbound.ForwardRequest // the part of the message that is the same in every attempt
	targetDeadline time.Duration          // time at which the latency target is missed; a later answer has little value
	deadline       time.Duration          // time after which an answer has no value
	attempts       attempts
	concluded      bool          // whether the balancer has given up the request
	retryAfter     time.Duration // time after which the client should retry a concluded request, according to the balancer
	answered       bool          // whether the result was sent on results
	expired        bool          // whether the request ended because its deadline was near, its client disconnected or this process shut down
	results        chan result   // channel for the request's only result, with a buffer for it

	bodyBytes       int64         // bytes of the request's body that are reserved in Options.BodyMemory
	quotaRetryAfter time.Duration // time after which the client should retry if the tenant's rate limit is reached; else 0
}

// result is how a request ended. The client's answer is derived from it.
type result struct {
	kind       outcome.Kind
	response   *inbound.ForwardResponse // the endpoint's answer; used only for outcome.Answered
	retryAfter time.Duration            // lower bound on the Retry-After of a rejection; 0 to use the one in package outcome's table
}

// attempts is the state of a request's attempts.
type attempts struct {
	sent            int        // number of attempts that were started, whether or not they reached an endpoint
	reached         int        // number of attempts that have ended and had reached an endpoint
	active          *attempt   // the attempt in flight that the balancer tracks; nil for none
	superseded      []*attempt // other attempts in flight, which the balancer considers cancelled
	mayHaveExecuted bool       // whether an endpoint has executed the request, or may have

	last            *inbound.ForwardResponse // response to the attempt that ended last, not counting cancelled ones; nil for none
	endpointFailure *inbound.ForwardResponse // an endpoint's own failure, sent to the client if no later attempt is served; nil for none
}

// outstanding reports whether any attempt has not ended.
func (a *attempts) outstanding() bool { return a.inFlight() > 0 }

// inFlight returns the number of attempts that have not ended.
func (a *attempts) inFlight() int {
	if a.active == nil {
		return len(a.superseded)
	}
	return len(a.superseded) + 1
}

// supersede makes the active attempt a superseded one. The balancer will start another attempt.
func (a *attempts) supersede() {
	a.active.superseded = true
	a.superseded = append(a.superseded, a.active)
	a.active = nil
}

// end removes an attempt that has ended, and records what its response means for the request.
func (a *attempts) end(ended *attempt, response *inbound.ForwardResponse) {
	if a.active == ended {
		a.active = nil
	}
	a.superseded = slices.DeleteFunc(a.superseded, func(other *attempt) bool { return other == ended })
	if !response.Kind.NotExecuted() {
		a.mayHaveExecuted = true
	}
	if response.ReachedEndpoint {
		a.reached++
	}
	if response.Kind != outcome.Cancelled {
		a.last = response
	}
	if response.Kind == outcome.Answered {
		a.endpointFailure = response // may also be a success, but then the request is answered with it right away
	}
}

// kindOnExpiry returns the outcome of a request that has expired.
func (a *attempts) kindOnExpiry() outcome.Kind {
	switch {
	case a.endpointFailure != nil:
		return outcome.Answered
	case a.mayHaveExecuted || a.outstanding():
		return outcome.TimedOut
	}
	return outcome.Expired
}

// kindOnConclusion returns the outcome of a request that the balancer has given up. The outcome promises that the request was not executed
// only if no attempt of it may have been executed.
func (a *attempts) kindOnConclusion() outcome.Kind {
	switch {
	case a.endpointFailure != nil:
		return outcome.Answered
	case a.mayHaveExecuted && a.last != nil && !a.last.Kind.NotExecuted():
		return a.last.Kind
	case a.mayHaveExecuted || a.active != nil:
		return outcome.TimedOut
	case a.last != nil:
		return a.last.Kind
	}
	return outcome.Overloaded
}

// answer sends the request's result unless one was sent already. The caller holds the dispatcher's lock.
func (r *request) answer(res result) {
	if r.answered {
		return
	}
	r.answered = true
	r.results <- res
}

// answerExpired answers a request that has expired. The caller holds the dispatcher's lock.
func (r *request) answerExpired() {
	kind := r.attempts.kindOnExpiry()
	r.answer(result{kind: kind, response: r.attempts.endpointFailure, retryAfter: kind.RetryAfter()})
	r.balancer.forget(r)
}

// answerConcluded answers a request that the balancer has given up. The caller holds the dispatcher's lock.
func (r *request) answerConcluded() {
	kind := r.attempts.kindOnConclusion()
	retryAfter := r.retryAfter
	if kind.NotExecuted() {
		retryAfter = max(retryAfter, kind.RetryAfter())
	}
	r.answer(result{kind: kind, response: r.attempts.endpointFailure, retryAfter: retryAfter})
	r.balancer.forget(r)
}
