package dryrun

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
)

// call is a request to an instance.
type call struct {
	request       string
	class         int
	timeLeft      time.Duration
	origin        int // the arrival
	callerAttempt int // 0 for the call of a server
}

// reply is the result of a call.
type reply struct {
	status     int // 0 for none
	retryAfter time.Duration
}

// request is a call that an instance has received.
type request struct {
	*call
	instance  *instance
	deadline  time.Duration
	attempts  int      // so far
	pending   *attempt // that is in flight; nil if none is
	answered  bool
	abandoned bool // its caller has got an answer, or has gone
	reply     func(reply)
}

// handle sends a call to the instance; done is called when the call has ended for its caller.
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
	sim.scheduleAfter(toSidecar, func() { i.take(r, incarnation) })
	sim.scheduleAfter(call.timeLeft+2*sim.plan.Rules.Slack, func() {
		if !r.answered && !r.abandoned && i.incarnation == incarnation {
			r.recordEnd(audit.CallerTimedOut)
			r.abandon()
			r.reply(reply{})
		}
	})
}

// take passes a request that has arrived to the decision module, unless the instance has ended since it was sent.
func (i *instance) take(request *request, incarnation int) {
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

// recordEnd records how a request ended without an answer.
func (r *request) recordEnd(kind audit.Kind) {
	r.instance.sim.record(audit.Event{Kind: kind, Request: r.request, Sidecar: r.instance.index, Server: -1, Origin: r.origin})
}

// abandon ends a request whose caller has gone, and reports it to the decision module.
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

// answer sends the final answer, unless the request has one.
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

// release forgets a request that is answered and has no attempt in flight.
func (r *request) release() {
	if r.answered && r.pending == nil {
		delete(r.instance.requests, balancer.RequestID(r.request))
	}
}
