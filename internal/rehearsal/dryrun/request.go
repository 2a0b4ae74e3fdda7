package dryrun

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
)

// call is a request to an instance, as its caller sends it.
type call struct {
	request       string
	class         int
	timeLeft      time.Duration
	origin        int // index of the arrival that it belongs to
	callerAttempt int // number of the caller's attempt, from 1; 0 for a call by a server
}

// reply is the result of a call.
type reply struct {
	status     int // HTTP status; 0 if there was no answer
	retryAfter time.Duration
}

// request is a call with its state at the instance.
type request struct {
	*call
	instance  *instance
	deadline  time.Duration
	attempts  int         // number of attempts sent so far
	pending   *attempt    // attempt that is in flight; nil for none
	answered  bool        // whether the instance has answered it, or its caller has closed the connection
	abandoned bool        // whether its caller has received an answer or closed the connection
	reply     func(reply) // reports the result to the caller
}

// handle sends a call to the instance. done is called with the result when the call has ended for its caller.
func (i *instance) handle(call *call, done func(reply)) {
	sim := i.sim
	if !i.up {
		sim.scheduleAfter(toSidecar, func() { done(reply{}) })
		return
	}
	sim.record(audit.Event{
		Kind: audit.RequestSent, Request: call.request, Sidecar: i.index, Server: -1, Origin: call.origin, CallerAttempt: call.callerAttempt,
		Class: call.class, Duration: call.timeLeft,
	})
	incarnation := i.incarnation
	i.busy++
	i.open = max(i.open, i.busy)
	r := &request{call: call, instance: i, deadline: sim.now + call.timeLeft - time.Millisecond}
	r.reply = func(answer reply) {
		if i.incarnation == incarnation {
			i.busy--
		}
		done(answer)
	}
	sim.scheduleAfter(toSidecar, func() { i.deliver(r, incarnation) })
	sim.scheduleAfter(call.timeLeft+2*sim.plan.Rules.Slack, func() {
		if !r.answered && !r.abandoned && i.incarnation == incarnation {
			r.recordEnd(audit.CallerTimedOut)
			r.abandon()
			r.reply(reply{})
		}
	})
}

// deliver passes a request that has arrived to the decision module. If the instance has ended since the request was sent, it ends the
// request instead.
func (i *instance) deliver(request *request, incarnation int) {
	if i.incarnation != incarnation {
		request.abandoned = true
		request.recordEnd(audit.ConnectionClosed)
		request.reply(reply{})
		return
	}
	if i.endsAt > 0 {
		request.deadline = min(request.deadline, i.endsAt)
	}
	id := balancer.RequestID(request.request)
	i.requests[id] = request
	i.sim.decisions++
	i.balancer.HandleRequest(i.clock(), balancer.Request{
		ID: id, Class: request.class, TimeLeft: request.deadline - i.sim.now, IdleConnections: i.idleConnections(),
	})
}

// recordEnd records an event of the given kind for a request that ended without an answer.
func (r *request) recordEnd(kind audit.Kind) {
	r.instance.sim.record(audit.Event{Kind: kind, Request: r.request, Sidecar: r.instance.index, Server: -1, Origin: r.origin})
}

// abandon ends a request whose caller has closed the connection, and reports it to the decision module.
func (r *request) abandon() {
	i := r.instance
	if r.abandoned || r.answered || i.requests[balancer.RequestID(r.request)] != r {
		return
	}
	r.abandoned = true
	r.answered = true
	if a := r.pending; a != nil {
		i.sim.scheduleAfter(0, func() { a.finishAtInstance(balancer.StatusCancelled) })
	}
	i.sim.decisions++
	i.balancer.HandleClientGone(i.clock(), balancer.RequestID(r.request))
	r.release()
}

// answer sends the final answer to the caller, unless the request has already been answered.
func (r *request) answer(status int, retryAfter time.Duration, authentic bool) {
	if r.answered {
		return
	}
	r.answered = true
	i := r.instance
	s := i.sim
	s.scheduleAfter(toSidecar, func() {
		if r.abandoned {
			return
		}
		r.abandoned = true
		s.record(audit.Event{
			Kind: audit.AnswerReceived, Request: r.request, Status: status, Duration: retryAfter, Authentic: authentic, Sidecar: i.index,
			Server: -1, Origin: r.origin, CallerAttempt: r.callerAttempt,
		})
		r.reply(reply{status, retryAfter})
	})
}

// release removes a request that is answered and has no attempt in flight.
func (r *request) release() {
	if r.answered && r.pending == nil {
		delete(r.instance.requests, balancer.RequestID(r.request))
	}
}
