package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file takes requests from their arrival to their final answer.

// request is one request from its arrival to its final answer and last outcome.
type request struct {
	id             RequestID
	class          *class
	overQuota      bool // beyond its tenant's quota
	deadline       time.Duration
	targetAt       time.Duration // an answer after this has little value
	valueFactor    float64       // its value, beside others of its class
	attempts       int
	maxAttempts    int
	attemptTimeout time.Duration // 0 for none of its own
	failedEndpoint *endpoint     // of the last attempt that failed; nil for none
	pending        bool
	streaming      bool
	done           bool // it has its final answer

	mayHaveRun bool // an attempt may have run
	// Of the first attempt that may have run: its endpoint's zone and cell as they were then, and when it was sent.
	ranInZone int
	ranInCell int
	ranAt     time.Duration

	// Of the attempt that is in flight.
	endpoint        *endpoint // nil while there is none
	sentAt          time.Duration
	responsesAtSend int  // the fleet's
	trial           bool // it ends an ejection if it is served
	cancelled       bool // by us: the outcome is still to come
	overtaken       int  // answers to attempts that were sent later
	lost            bool // it will hardly be answered: it is out for lostTails
	overdue         bool // it is out for overdueTails
}

// unrestricted reports whether a request may go to any endpoint, as far as the rules go.
func (r *request) unrestricted() bool { return !r.mayHaveRun || r.class.Idempotency == Idempotent }

// boundToCell reports whether a request may only go to the endpoints of one cell.
func (r *request) boundToCell() bool {
	return r.mayHaveRun && r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeCell
}

// noteRun notes that an attempt at an endpoint may have run. The first one counts.
func (r *request) noteRun(ep *endpoint) {
	if !r.mayHaveRun {
		r.mayHaveRun, r.ranInZone, r.ranInCell, r.ranAt = true, ep.zone, ep.cell, r.sentAt
	}
}

// newRequest is the state of a request that has arrived.
func (b *Balancer) newRequest(now time.Duration, incoming *Request) *request {
	class := b.classes[incoming.Class]
	elapsed := b.elapsedForClient(class, incoming)
	return &request{
		id: incoming.ID, class: class, valueFactor: cmp.Or(incoming.ValueFactor, 1),
		deadline:       min(now+incoming.TimeLeft, b.shutdownAt),
		targetAt:       min(now+class.LatencyTarget-elapsed, b.shutdownAt),
		maxAttempts:    b.settings.maxAttempts(incoming),
		attemptTimeout: incoming.AttemptTimeout,
		failedEndpoint: b.excluded(incoming.Exclude),
		mayHaveRun:     incoming.Prior.MayHaveRun,
		ranInZone:      incoming.Prior.Zone,
		ranInCell:      incoming.Prior.Cell,
		ranAt:          incoming.Prior.SentAt,
	}
}

// HandleRequest takes a new request.
func (b *Balancer) HandleRequest(now time.Duration, incoming Request) {
	overQuota, spare := b.takeQuota(now, &incoming)
	req := b.newRequest(now, &incoming)
	req.overQuota = overQuota
	b.requests[req.id] = req
	hopeless := incoming.TimeLeft <= 0 || overQuota && !spare
	if hopeless || b.rejectsForShutdown(now, req.class, incoming.IdleConnections) || !b.retrySafe(now, req) {
		b.finish(now, req)
		return
	}
	b.requestRate.add(now, b.rateWindow, 1)
	b.countRequest(req.class)
	b.enqueue(req)
	b.dispatch(now)
	b.armTick()
}

// HandleResponseStart takes in that a streamed response has started: the request is the client's from here on.
func (b *Balancer) HandleResponseStart(now time.Duration, id RequestID, _ int, _ EndpointID) {
	req := b.requests[id]
	if req == nil || req.endpoint == nil {
		return
	}
	req.streaming = true
	req.endpoint.lastResponseAt = now
	b.outliers.responses++
}

// HandleOutcome takes the end of an attempt. One that is not in flight, as far as the Balancer knows, is passed over.
func (b *Balancer) HandleOutcome(now time.Duration, outcome Outcome) {
	req := b.requests[outcome.ID]
	if req == nil || req.endpoint == nil {
		return
	}
	ep := req.endpoint
	b.endCall(now, req, ep)
	b.recordForThrottle(outcome.Status)
	b.recordLoadReport(now, ep, outcome.Load)
	b.recordOutcome(now, req, ep, outcome)
	if outcome.Final || req.done || req.streaming {
		if !outcome.Final && !req.done {
			b.host.Fail(req.id)
		}
		delete(b.requests, req.id)
	} else {
		b.retryOrFinish(now, req, ep, outcome)
	}
	b.dispatch(now)
	b.armTick()
}

// endCall takes a request's attempt out of those in flight.
func (b *Balancer) endCall(now time.Duration, req *request, ep *endpoint) {
	req.endpoint = nil
	if req.cancelled {
		b.retries.pendingCancels--
	}
	if ep.availability != ejected {
		b.inFlight--
	}
	ep.calls = slices.DeleteFunc(ep.calls, func(other *request) bool { return other == req })
	b.busy.update(ep)
	b.exhausted.freed = ep
	if ep.availability == ejected {
		b.refreshPools(now, ep)
	}
}

// recordForThrottle takes an outcome into the throttle on attempts that never run.
func (b *Balancer) recordForThrottle(s Status) {
	switch {
	case s == StatusOK:
		earned := max(slowStartHeadroom*b.settings.OverloadMultiple-1, retryBudgetShare)
		b.rejections.RecordResponse(min(maxRejectionsPerResponse, earned))
	case !s.NeverRan():
		b.rejections.RecordResponse(0)
	}
}

// HandleClientGone takes in that the client has gone: nothing is owed, and work for it is cancelled.
func (b *Balancer) HandleClientGone(_ time.Duration, id RequestID) {
	req := b.requests[id]
	if req == nil {
		return
	}
	req.done = true
	if req.pending {
		b.removePending(slices.Index(b.pending, req))
	}
	if req.endpoint == nil {
		delete(b.requests, id)
		return
	}
	b.cancelAttempt(req)
}

// enqueue puts a request among those pending.
func (b *Balancer) enqueue(req *request) {
	req.pending = true
	b.pending = append(b.pending, req)
}

// removePending takes the i-th pending request out.
func (b *Balancer) removePending(i int) {
	b.pending[i].pending = false
	b.pending = slices.Delete(b.pending, i, i+1)
}

// enqueueAfter puts a request among those pending after a backoff, at the first tick from then on. An instance that shuts
// down has no time for backoffs.
func (b *Balancer) enqueueAfter(now time.Duration, req *request, backoff time.Duration) {
	if backoff <= 0 || b.shuttingDown() {
		b.enqueue(req)
		return
	}
	b.backoffs.Put(req, now+backoff)
}

// enqueueDue puts those among the pending whose backoff is over. One whose client has gone meanwhile is known no more.
func (b *Balancer) enqueueDue(now time.Duration) {
	for {
		req, at, ok := b.backoffs.Peek()
		if !ok || at > now && !b.shuttingDown() {
			return
		}
		b.backoffs.Remove(req)
		switch {
		case b.requests[req.id] != req || req.done:
		case now+b.tickInterval >= req.deadline:
			b.finish(now, req)
		default:
			b.enqueue(req)
		}
	}
}

// takeQuota meters a request against its tenant's quota. Only the first tier does: what it has let in is not rejected below.
func (b *Balancer) takeQuota(now time.Duration, incoming *Request) (overQuota, spare bool) {
	if b.settings.Tier > 0 {
		return false, true
	}
	return b.quotas.take(now, incoming)
}
