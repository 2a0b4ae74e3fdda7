package dryrun

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
)

// attempt is one attempt of a request at a server.
type attempt struct {
	id             uint64
	number         int // index among the attempts of its request, from 0
	request        *request
	server         *server
	incarnation    int          // incarnation of the server when the attempt arrived; 0 before that
	connections    *connections // connections that it uses one of; nil if it has none
	sentAt         time.Duration
	finished       bool          // whether it has ended at the instance
	endedAtServer  bool          // whether it has ended at the server
	inModel        bool          // whether the model of the server has accepted it
	afterCalls     bool          // whether its calls have ended and it does the work after them
	muted          bool          // whether the server will not answer it
	workAfterCalls time.Duration // work to do after its calls
	work           time.Duration // work that the server has done for it
}

// arrive handles the arrival of an attempt at its server.
func (a *attempt) arrive() {
	if a.finished {
		return // the attempt was cancelled on its way and never written
	}
	server, instance := a.server, a.request.instance
	sim := instance.sim
	if server.model == nil {
		sim.record(audit.Event{
			Kind: audit.AttemptUnreachable, Request: a.request.request, Sidecar: instance.index, Server: server.index, Origin: a.request.origin,
		})
	}
	switch {
	case server.silent && !instance.connectionsTo(server).established:
		sim.schedule(a.sentAt+sim.plan.Rules.ConnectTimeout, func() { a.finishAtInstance(balancer.StatusConnectFailed) })
		return
	case server.model == nil && !server.silent:
		sim.scheduleAfter(toServer, func() { a.finishAtInstance(balancer.StatusConnectFailed) })
		return
	}
	a.incarnation = server.incarnation
	a.connect()
	server.calls[a.id] = a
	sim.record(audit.Event{
		Kind: audit.AttemptReceived, Request: a.request.request, FirstByteAt: sim.now, AttemptID: a.id, Server: server.index, Sidecar: -1,
		Origin: a.request.origin,
	})
	if !a.applyFault() {
		a.offer()
	}
}

// applyFault draws whether a fault of the server affects the attempt. If one does, it applies the fault and returns true.
func (a *attempt) applyFault() bool {
	server := a.server
	switch {
	case server.silent || server.drawFault("lose"):
		a.muted = true
	case server.drawFault("reset"):
		a.finishAtServer(audit.Dropped)
		server.sim.scheduleAfter(toServer, func() { a.finishAtInstance(balancer.StatusReset) })
	case server.drawFault("refuse"):
		a.answer(audit.Rejected)
	case server.drawFault("fail"):
		a.answer(audit.Failed)
	default:
		return false
	}
	return true
}

// offer offers the attempt to the model of its server.
func (a *attempt) offer() {
	server := a.server
	sim := server.sim
	sim.attemptsSeen[a.request.request]++
	var before time.Duration
	before, a.workAfterCalls = sim.plan.WorkOf(a.request.request, server.tier(), sim.attemptsSeen[a.request.request])
	server.advance()
	switch server.model.Offer(sim.now, a.id, before, a.request.deadline) {
	case emulator.Accepted:
		a.inModel = true
		server.scheduleAdvance()
	case emulator.Rejected:
		a.answer(audit.Rejected)
	case emulator.Collapsed:
		server.collapse()
	}
}

// finishAtServer records the end of an attempt at its server, unless it has already ended there or never arrived.
func (a *attempt) finishAtServer(result audit.AttemptResult) {
	if a.endedAtServer || a.incarnation == 0 {
		return
	}
	a.endedAtServer = true
	if a.server.incarnation == a.incarnation {
		delete(a.server.calls, a.id)
	}
	a.server.sim.record(audit.Event{
		Kind: audit.AttemptEnded, Request: a.request.request, AttemptID: a.id, Server: a.server.index, Sidecar: -1, Result: result,
		Work: a.work, Origin: a.request.origin,
	})
}

// answerStatus maps the result of an attempt at its server to the status that the instance reports to its decision module.
var answerStatus = map[audit.AttemptResult]balancer.Status{
	audit.Served: balancer.StatusOK, audit.Failed: balancer.StatusError,
	audit.Rejected: balancer.StatusRejected, audit.Garbled: balancer.StatusInvalidResponse,
}

// answer ends the attempt at the server and sends the answer to the instance. A muted attempt gets none.
func (a *attempt) answer(result audit.AttemptResult) {
	if a.muted {
		return
	}
	server := a.server
	if result == audit.Served && server.drawFault("garble") {
		result = audit.Garbled
	}
	a.finishAtServer(result)
	incarnation := server.incarnation
	server.sim.scheduleAfter(toServer, func() {
		if a.connections != nil && server.incarnation == incarnation {
			a.connections.established = true
		}
		a.finishAtInstance(answerStatus[result])
	})
}

// cancel sends a cancellation of the attempt to its server.
func (a *attempt) cancel() {
	server := a.server
	server.sim.scheduleAfter(toServer, func() {
		if a.endedAtServer || a.incarnation == 0 || server.incarnation != a.incarnation {
			return
		}
		if a.inModel && server.model != nil {
			a.cancelInModel()
			return
		}
		a.finishAtServer(audit.Canceled)
	})
}

// cancelInModel cancels the attempt in the model of the server, unless it ends at this very time.
func (a *attempt) cancelInModel() {
	server := a.server
	server.advance()
	if a.endedAtServer {
		server.scheduleAdvance()
		return
	}
	done := server.model.WorkDone(a.id)
	stopped, expired := server.model.Cancel(server.sim.now, a.id)
	if !stopped { // the server continues although nobody waits, so all of the work will be done
		done = 0
		a.work += a.workAfterCalls
	}
	a.work += done
	a.finishAtServer(audit.Canceled)
	server.complete(expired)
	server.scheduleAdvance()
}

// finishAtInstance ends the attempt at its instance, unless it has already ended there, and reports the outcome to the decision module.
func (a *attempt) finishAtInstance(status balancer.Status) {
	request := a.request
	instance := request.instance
	if a.finished || request.pending != a || instance.requests[balancer.RequestID(request.request)] != request {
		return
	}
	a.finished = true
	a.releaseConnection(status == balancer.StatusOK || status == balancer.StatusError || status == balancer.StatusRejected)
	request.pending = nil
	if status == balancer.StatusTimeout || status == balancer.StatusCancelled {
		a.cancel()
	}
	final := request.answered
	if status == balancer.StatusOK && !request.answered {
		final = true
		request.answer(statusOK, 0, true)
	}
	instance.sim.decisions++
	instance.balancer.HandleOutcome(instance.clock(), balancer.Outcome{
		ID: balancer.RequestID(request.request), Endpoint: balancer.EndpointID(a.server.index + 1),
		Attempt: a.number, Final: final, Elapsed: instance.sim.now - a.sentAt, Status: status,
	})
	request.release()
}
