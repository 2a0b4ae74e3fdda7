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
	targetDeadline time.Duration          // an answer later than this is worth little
	deadline       time.Duration          // an answer later than this is worth nothing
	attempts       attempts
	concluded      bool          // the balancer has given it up
	retryAfter     time.Duration // when the client is to come back, as the balancer said when it gave the request up
	answered       bool          // its result was sent
	expired        bool          // it was given up for its deadline, its client or the end of the process
	results        chan result   // has room for its one result

	bodyBytes       int64         // bytes of its body that are counted in the proxy
	quotaRetryAfter time.Duration // when to come back, of a request beyond its tenant's rate limit
}

// result is what a client is answered.
type result struct {
	kind       outcome.Kind
	response   *inbound.ForwardResponse // of outcome.Answered
	retryAfter time.Duration            // at the least; 0 for what the table says
}

// attempts is what has become of a request's attempts so far.
type attempts struct {
	sent            int                      // all of them, whether or not they reached an endpoint
	reached         int                      // how many of those that have ended reached an endpoint
	active          *attempt                 // the one under way that the balancer knows of; nil for none
	superseded      []*attempt               // others under way: the balancer counts them as cancelled, and sends the request again
	last            *inbound.ForwardResponse // how the latest to end has ended; cancelled ones don't count; nil for none
	endpointFailure *inbound.ForwardResponse // an endpoint's own failure: the answer, unless a later attempt is served
	mayHaveExecuted bool                     // some attempt was, or may have been, executed
}

// outstanding reports whether any attempt has not ended.
func (a *attempts) outstanding() bool { return a.underWay() > 0 }

// underWay returns how many attempts have not ended.
func (a *attempts) underWay() int {
	if a.active == nil {
		return len(a.superseded)
	}
	return len(a.superseded) + 1
}

// supersede puts the active attempt behind one that is yet to come.
func (a *attempts) supersede() {
	a.active.superseded = true
	a.superseded = append(a.superseded, a.active)
	a.active = nil
}

// end removes an attempt that has ended, and remembers what its response says of the request.
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
		a.endpointFailure = response // if it is no failure, the request is answered by it
	}
}

// kindOnExpiry returns how a request ends that has expired, as far as its attempts are known.
func (a *attempts) kindOnExpiry() outcome.Kind {
	switch {
	case a.endpointFailure != nil:
		return outcome.Answered
	case a.mayHaveExecuted || a.outstanding():
		return outcome.TimedOut
	}
	return outcome.Expired
}

// kindOnConclusion returns how a request ends that the balancer has given up, as far as its attempts are known: that it was given up
// is no promise that it was not executed.
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

// answer gives the request its result, once. The dispatcher's lock is held.
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
