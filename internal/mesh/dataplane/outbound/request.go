package outbound

import (
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

// request is one client's request. From submit on the dispatcher's lock guards it.
type request struct {
	id             balancer.RequestID
	route          *configuration.Route
	balancer       *serviceBalancer       // nil until it is submitted
	forward        inbound.ForwardRequest // what every attempt sends
	targetDeadline time.Duration          // by which the latency target is met; a later answer has little value
	deadline       time.Duration          // a later answer has no value
	attempts       attempts
	concluded      bool          // the balancer has given it up
	retryAfter     time.Duration // of a concluded request: when the client is to retry, by the balancer
	answered       bool          // its result was sent
	expired        bool          // its deadline was near, its client had gone or the process was shutting down
	results        chan result   // buffered, for its one result

	bodyBytes       int64         // bytes of its body that are counted in Proxy.bodyBytes
	quotaRetryAfter time.Duration // when the client is to retry, if its tenant's rate limit is reached; else 0
}

// result is how a request ended, from which its answer is written.
type result struct {
	kind       outcome.Kind
	response   *inbound.ForwardResponse // the endpoint's answer, for outcome.Answered
	retryAfter time.Duration            // the least for the Retry-After of a rejection; 0 for that of package outcome's table
}

// attempts is the state of a request's attempts.
type attempts struct {
	sent            int        // attempts that were started, whether or not they reached an endpoint
	reached         int        // attempts that have ended and had reached an endpoint
	active          *attempt   // the attempt in flight that the balancer knows of; nil for none
	superseded      []*attempt // other attempts in flight; to the balancer they were cancelled
	mayHaveExecuted bool       // an endpoint has executed the request, or may have

	last            *inbound.ForwardResponse // of the attempt that ended last, but for cancelled ones; nil for none
	endpointFailure *inbound.ForwardResponse // an endpoint's own failure: the answer, unless a later attempt is served; nil for none
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

// supersede makes the active attempt a superseded one; the balancer will start another.
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
		a.endpointFailure = response // unless it is a success, which answers the request anyway
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

// kindOnConclusion returns the outcome of a request that the balancer has given up. It promises that the request was not executed only
// where no attempt may have been.
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

// answer sends the request's result, once. The dispatcher's lock is held.
func (r *request) answer(res result) {
	if r.answered {
		return
	}
	r.answered = true
	r.results <- res
}

// answerExpired answers a request that has expired. The dispatcher's lock is held.
func (r *request) answerExpired() {
	kind := r.attempts.kindOnExpiry()
	r.answer(result{kind: kind, response: r.attempts.endpointFailure, retryAfter: kind.RetryAfter()})
	r.balancer.forget(r)
}

// answerConcluded answers a request that the balancer has given up. The dispatcher's lock is held.
func (r *request) answerConcluded() {
	kind := r.attempts.kindOnConclusion()
	retryAfter := r.retryAfter
	if kind.NotExecuted() {
		retryAfter = max(retryAfter, kind.RetryAfter())
	}
	r.answer(result{kind: kind, response: r.attempts.endpointFailure, retryAfter: retryAfter})
	r.balancer.forget(r)
}
