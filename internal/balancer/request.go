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

	mayHaveRun bool // an attempt may have run:
	ranInZone  int  // where, when it was sent
	ranInCell  int
	ranAt      time.Duration // and when the first one was

	// Of the attempt that is in flight.
	endpoint        *endpoint // nil while there is none
	sentAt          time.Duration
	responsesAtSend int  // the fleet's
	trial           bool // it ends an ejection if it is served
	cancelled       bool // by us: the outcome is still to come
	overtaken       int  // answers to attempts that were sent later
	lost            bool // it will hardly be answered,
	overdue         bool // and was not for longer still
}

// unrestricted reports whether a request may go to any endpoint, as far as the rules go.
func (r *request) unrestricted() bool { return !r.mayHaveRun || r.class.Idempotency == Idempotent }

// boundToCell reports whether a request may only go to the endpoints of one cell.
func (r *request) boundToCell() bool {
	return r.mayHaveRun && r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeCell
}

// noteRun notes that an attempt at an endpoint may have run. The first one counts.
func (r *request) noteRun(e *endpoint) {
	if !r.mayHaveRun {
		r.mayHaveRun, r.ranInZone, r.ranInCell, r.ranAt = true, e.zone, e.cell, r.sentAt
	}
}

// HandleRequest takes a new request.
func (b *Balancer) HandleRequest(now time.Duration, q Request) {
	c := b.classes[q.Class]
	overQuota, spare := b.takeQuota(now, &q)
	r := &request{
		id: q.ID, class: c, overQuota: overQuota, valueFactor: cmp.Or(q.ValueFactor, 1),
		deadline:    min(now+q.TimeLeft, b.shutdownAt),
		targetAt:    min(now+c.LatencyTarget-b.elapsedForClient(c, &q), b.shutdownAt),
		maxAttempts: b.settings.maxAttempts(&q), attemptTimeout: q.AttemptTimeout,
		failedEndpoint: b.excluded(q.Exclude),
		mayHaveRun:     q.Prior.MayHaveRun, ranInZone: q.Prior.Zone, ranInCell: q.Prior.Cell, ranAt: q.Prior.SentAt,
	}
	b.requests[q.ID] = r
	hopeless := q.TimeLeft <= 0 || overQuota && !spare
	if hopeless || b.rejectsForShutdown(now, c, q.IdleConnections) || !b.retrySafe(now, r) {
		b.finish(now, r)
		return
	}
	b.requestRate.add(now, b.rateWindow, 1)
	b.countRequest(c)
	b.enqueue(r)
	b.dispatch(now)
	b.armTick()
}

// HandleResponseStart takes in that a streamed response has started: the request is the client's from here on.
func (b *Balancer) HandleResponseStart(now time.Duration, id RequestID, _ int, _ EndpointID) {
	r := b.requests[id]
	if r == nil || r.endpoint == nil {
		return
	}
	r.streaming = true
	r.endpoint.lastResponseAt = now
	b.outliers.responses++
}

// HandleOutcome takes the end of an attempt. One that is not in flight, as far as the Balancer knows, is passed over.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || r.endpoint == nil {
		return
	}
	e := r.endpoint
	b.endCall(now, r, e)
	b.recordForThrottle(o.Status)
	b.recordLoadReport(now, e, o.Load)
	b.recordOutcome(now, r, e, o)
	if o.Final || r.done || r.streaming {
		if !o.Final && !r.done {
			b.host.Fail(r.id)
		}
		delete(b.requests, r.id)
	} else {
		b.retryOrFinish(now, r, e, o)
	}
	b.dispatch(now)
	b.armTick()
}

// endCall takes a request's attempt out of those in flight.
func (b *Balancer) endCall(now time.Duration, r *request, e *endpoint) {
	r.endpoint = nil
	if r.cancelled {
		b.retries.pendingCancels--
	}
	if e.availability != ejected {
		b.inFlight--
	}
	e.calls = slices.DeleteFunc(e.calls, func(x *request) bool { return x == r })
	b.busy.update(e)
	b.exhausted.freed = e
	if e.availability == ejected {
		b.refreshPools(now, e)
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
	r := b.requests[id]
	if r == nil {
		return
	}
	r.done = true
	if r.pending {
		b.removePending(slices.Index(b.pending, r))
	}
	if r.endpoint == nil {
		delete(b.requests, id)
		return
	}
	b.cancelAttempt(r)
}

// enqueue puts a request among those pending.
func (b *Balancer) enqueue(r *request) {
	r.pending = true
	b.pending = append(b.pending, r)
}

// removePending takes the i-th pending request out.
func (b *Balancer) removePending(i int) {
	b.pending[i].pending = false
	b.pending = slices.Delete(b.pending, i, i+1)
}

// enqueueAfter puts a request among those pending after a backoff, at the first tick from then on. An instance that shuts
// down has no time for backoffs.
func (b *Balancer) enqueueAfter(now time.Duration, r *request, backoff time.Duration) {
	if backoff <= 0 || b.shuttingDown() {
		b.enqueue(r)
		return
	}
	b.backoffs.Put(r, now+backoff)
}

// enqueueDue puts those among the pending whose backoff is over. One whose client has gone meanwhile is known no more.
func (b *Balancer) enqueueDue(now time.Duration) {
	for {
		r, at, ok := b.backoffs.Peek()
		if !ok || at > now && !b.shuttingDown() {
			return
		}
		b.backoffs.Remove(r)
		switch {
		case b.requests[r.id] != r || r.done:
		case now+b.tickInterval >= r.deadline:
			b.finish(now, r)
		default:
			b.enqueue(r)
		}
	}
}

// takeQuota meters a request against its tenant's quota. Only the first tier does: what it has let in is not rejected below.
func (b *Balancer) takeQuota(now time.Duration, q *Request) (overQuota, spare bool) {
	if b.settings.Tier > 0 {
		return false, true
	}
	return b.quotas.take(now, q)
}
