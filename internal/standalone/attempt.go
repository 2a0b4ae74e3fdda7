package standalone

import (
	"context"
	"math/rand/v2"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// attempt is one sending of a request to an endpoint.
type attempt struct {
	exchange.Attempt
	request     *request
	number      int // from 0, within its request
	cancel      context.CancelFunc
	transport   exchange.Transport
	conn        exchange.Conn
	holdsConn   bool            // conn was acquired, which may be nil all the same
	gate        *durabilityGate // what it waits for before it goes out; nil for nothing
	notRecorded bool            // it did not go out, for it could not be remembered
}

// newAttempt prepares the next attempt of a request; a timeout of 0 leaves it the request's deadline.
func newAttempt(r *request, e *exchange.Endpoint, timeout time.Duration, bodies *exchange.Budget) *attempt {
	a := &attempt{request: r, number: r.attempts}
	a.Request = &r.Inbound
	a.Endpoint = e
	a.Sent = time.Now()
	a.Bodies = bodies
	deadline := r.deadline
	if end := a.Sent.Add(timeout); timeout != 0 && end.Before(deadline) {
		deadline = end
	}
	a.Context, a.cancel = context.WithDeadline(context.Background(), deadline)
	return a
}

// dispatch makes an attempt by a transport, or by the fallback where that has no connection to give.
func (l *loop) dispatch(a *attempt, by exchange.Transport) {
	conn, ok := by.Acquire(a.Endpoint, a.Sent)
	if !ok && by != l.transports.fallback {
		l.transports.tracker.RecordInconclusive(a.Endpoint.Address)
		by = l.transports.fallback
		conn, ok = by.Acquire(a.Endpoint, a.Sent)
	}
	a.transport = by
	a.conn = conn
	a.holdsConn = ok
	go func() {
		result := a.run()
		l.post(func() { l.handleAttemptEnd(a, result) })
	}()
}

// run makes the attempt when it may go out, and returns when it has ended. It runs in a goroutine of its own.
func (a *attempt) run() exchange.Result {
	if !a.holdsConn {
		return exchange.Result{Status: balancer.StatusNotSent}
	}
	if !a.gate.pass(a.Context) {
		a.notRecorded = a.Context.Err() == nil
		return exchange.Result{Status: balancer.StatusNotSent, Conn: a.conn}
	}
	if a.gate != nil {
		a.Sent = time.Now() // the disk's time is not the endpoint's
	}
	return a.transport.Run(&a.Attempt, a.conn)
}

// handleAttemptEnd takes how an attempt ended; its connection is closed, or fit for another one.
func (l *loop) handleAttemptEnd(a *attempt, result exchange.Result) {
	r := a.request
	if a.holdsConn {
		a.transport.Release(a.Endpoint, a.conn, result.Conn)
	}
	if next := l.transports.fallbackAfter(l.now(), a, result); next != nil {
		l.dispatch(a, next)
		return
	}
	a.cancel()
	r.inFlight = nil
	l.recordLatency(a, result)
	outcome := balancer.Outcome{
		ID: r.ID, Endpoint: a.Endpoint.ID, Attempt: a.number, Final: r.answered,
		Elapsed: result.Elapsed, Status: result.Status, Load: result.Load,
	}
	if l.memory != nil && l.recordOutcome(a, result.Status) {
		outcome.Final = true
	}
	if r.route != nil && !outcome.Final && result.Status != balancer.StatusOK {
		outcome.NoRetry, outcome.Backoff = r.planRetry(result.Status)
	}
	if result.Status == balancer.StatusOK && !r.answered {
		outcome.Final = true
		if r.route != nil {
			r.route.Answered()
		}
		l.deliver(r, answer{response: result.Response})
		l.cancelOther(r)
	} else {
		l.releaseResponse(result.Response)
	}
	l.balancer.HandleOutcome(l.now(), outcome)
	l.forget(r)
	if result.Status == balancer.StatusConnectFailed && l.merger.HasUnconfirmed() {
		l.applyEndpoints(l.merger.HandleConnectFailure(l.now(), a.Endpoint.UID))
	}
}

// recordOutcome remembers how an attempt ended, and reports whether that ended its request: one that could not be remembered
// beforehand did not go out, and its caller gets the rejection.
func (l *loop) recordOutcome(a *attempt, status balancer.Status) (final bool) {
	r := a.request
	mayRun := l.memory.endAttempt(l.now(), a, status, status == balancer.StatusOK && !r.answered)
	if !a.notRecorded || r.answered {
		return false
	}
	l.deliver(r, answer{rejected: !mayRun, retryAfter: time.Second})
	return true
}

// planRetry asks the request's route whether it may be sent again after an attempt ended so, and after what pause.
func (r *request) planRetry(status balancer.Status) (noRetry bool, backoff time.Duration) {
	if r.route.Settings.AllowsRetry(status) {
		r.retryReserved = r.retryReserved || r.route.TakeRetry()
	}
	return !r.retryReserved, r.route.Settings.Backoff(r.attempts, rand.Float64())
}
