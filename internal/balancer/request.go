package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file handles the events of a request, from its arrival to its final answer.

// request is the state of one request, from its arrival until its final answer has been given and its last attempt has ended.
type request struct {
	id             RequestID
	class          *class
	overQuota      bool // the request exceeds its tenant's quota
	deadline       time.Duration
	targetAt       time.Duration // end of the latency target; a later answer has little value
	valueFactor    float64       // value relative to other requests of the class
	attempts       int           // number of attempts sent so far
	maxAttempts    int
	attemptTimeout time.Duration // timeout of each attempt; 0 for none
	failedEndpoint *endpoint     // endpoint that the next attempt avoids: of the last failed attempt, or Request.Exclude; nil for none
	pending        bool
	streaming      bool // a streamed response has started
	done           bool // the final answer has been given

	mayHaveRun bool // an attempt may have run
	// The zone and cell of the endpoint of the first attempt that may have run, and when it was sent.
	ranInZone int
	ranInCell int
	ranAt     time.Duration

	// The attempt in flight.
	endpoint        *endpoint // nil if none is in flight
	sentAt          time.Duration
	responsesAtSend int  // outliers.responses when the attempt was sent
	trial           bool // the attempt is a trial, whose success ends an ejection
	cancelled       bool // this instance has cancelled the attempt, and awaits its outcome
	overtaken       int  // number of attempts that were sent later and answered earlier
	lost            bool // the attempt will probably not be answered: it was overtaken, and is older than lostTails
	overdue         bool // the attempt was overtaken, and is older than overdueTails
}

// unrestricted reports whether the rules of the class allow the request to be sent to any endpoint.
func (r *request) unrestricted() bool { return !r.mayHaveRun || r.class.Idempotency == Idempotent }

// boundToCell reports whether the request may only be sent to the endpoints of one cell.
func (r *request) boundToCell() bool {
	return r.mayHaveRun && r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeCell
}

// recordRun records that an attempt at an endpoint may have run. Only the first such attempt is recorded.
func (r *request) recordRun(ep *endpoint) {
	if r.mayHaveRun {
		return
	}
	r.mayHaveRun = true
	r.ranInZone = ep.zone
	r.ranInCell = ep.cell
	r.ranAt = r.sentAt
}

// newRequest returns the state of a request that has arrived.
func (b *Balancer) newRequest(now time.Duration, incoming *Request) *request {
	class := b.classes[incoming.Class]
	elapsed := b.elapsedForClient(class, incoming)
	return &request{
		id:             incoming.ID,
		class:          class,
		valueFactor:    cmp.Or(incoming.ValueFactor, 1),
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

// HandleRequest handles the arrival of a request. It sends the request, makes it pending or gives the final answer.
func (b *Balancer) HandleRequest(now time.Duration, incoming Request) {
	overQuota, withinTotal := b.takeQuota(now, &incoming)
	req := b.newRequest(now, &incoming)
	req.overQuota = overQuota
	b.requests[req.id] = req
	unservable := incoming.TimeLeft <= 0 || overQuota && !withinTotal
	if unservable || b.rejectsForShutdown(now, req.class, incoming.IdleConnections) || !b.retrySafe(now, req) {
		b.finish(now, req)
		return
	}
	b.requestRate.add(now, b.rateWindow, 1)
	b.countRequest(req.class)
	b.enqueue(req)
	b.dispatch(now)
	b.armTick()
}

// HandleResponseStart records that a streamed response has started. From then on, the request cannot be retried. It ignores a
// request without an attempt in flight.
func (b *Balancer) HandleResponseStart(now time.Duration, id RequestID, _ int, _ EndpointID) {
	req := b.requests[id]
	if req == nil || req.endpoint == nil {
		return
	}
	req.streaming = true
	req.endpoint.lastResponseAt = now
	b.outliers.responses++
}

// HandleOutcome handles the end of an attempt. It ignores an outcome of a request without an attempt in flight.
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

// endCall removes a request's attempt from those in flight.
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

// recordForThrottle records an outcome for the limit on attempts that never run.
func (b *Balancer) recordForThrottle(s Status) {
	switch {
	case s == StatusOK:
		earned := max(slowStartHeadroom*b.settings.OverloadMultiple-1, retryBudgetShare)
		b.rejections.RecordResponse(min(maxRejectionsPerResponse, earned))
	case !s.NeverRan():
		b.rejections.RecordResponse(0)
	}
}

// HandleClientGone handles a request that its client has abandoned: it needs no answer, and its attempt in flight is cancelled.
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

// enqueue adds a request to the pending ones.
func (b *Balancer) enqueue(req *request) {
	req.pending = true
	b.pending = append(b.pending, req)
}

// removePending removes the i-th pending request.
func (b *Balancer) removePending(i int) {
	b.pending[i].pending = false
	b.pending = slices.Delete(b.pending, i, i+1)
}

// enqueueAfter makes a request pending again after a backoff. An instance that shuts down skips the backoff, as there is no time
// for it.
func (b *Balancer) enqueueAfter(now time.Duration, req *request, backoff time.Duration) {
	if backoff <= 0 || b.shuttingDown() {
		b.enqueue(req)
		return
	}
	b.backoffs.Put(req, now+backoff)
}

// enqueueDue makes requests pending whose backoff is over. It drops those that their client has abandoned.
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

// takeQuota meters a request against its tenant's quota. Only the first tier does so, so that requests that it has accepted are not
// rejected by a lower tier.
func (b *Balancer) takeQuota(now time.Duration, incoming *Request) (overQuota, withinTotal bool) {
	if b.settings.Tier > 0 {
		return false, true
	}
	return b.quotas.take(now, incoming)
}
