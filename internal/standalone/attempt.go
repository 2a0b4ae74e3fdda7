package standalone

import (
	"context"
	"math/rand/v2"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	exchange.Attempt
	request     *request
	number      int // index of the attempt within its request, from 0
	cancel      context.CancelFunc
	transport   exchange.Transport
	conn        exchange.Conn   // connection of the attempt; nil also if the transport manages its own connections
	holdsConn   bool            // a connection was acquired and has to be released
	gate        *durabilityGate // delays the attempt until its record is on the disk; nil if it needs no record
	notRecorded bool            // the attempt was not sent because it could not be recorded
}

// newAttempt prepares the next attempt of a request. Its deadline is that of the request, or the end of the timeout if that is earlier.
// A timeout of 0 means no timeout of the attempt.
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

// dispatch sends an attempt through a transport, or through the fallback transport if the first one has no connection available.
func (l *loop) dispatch(a *attempt, transport exchange.Transport) {
	conn, ok := transport.Acquire(a.Endpoint, a.Sent)
	if !ok && transport != l.transports.fallback {
		l.transports.tracker.RecordInconclusive(a.Endpoint.Address)
		transport = l.transports.fallback
		conn, ok = transport.Acquire(a.Endpoint, a.Sent)
	}
	a.transport = transport
	a.conn = conn
	a.holdsConn = ok
	go func() {
		result := a.run()
		l.post(func() { l.handleAttemptEnd(a, result) })
	}()
}

// run sends the attempt once its record is durable, and returns when it has ended. It runs in its own goroutine.
func (a *attempt) run() exchange.Result {
	if !a.holdsConn {
		return exchange.Result{Status: balancer.StatusNotSent}
	}
	if !a.gate.pass(a.Context) {
		a.notRecorded = a.Context.Err() == nil
		return exchange.Result{Status: balancer.StatusNotSent, Conn: a.conn}
	}
	if a.gate != nil {
		a.Sent = time.Now() // the time that the disk took must not count as the endpoint's latency
	}
	return a.transport.Run(&a.Attempt, a.conn)
}

// handleAttemptEnd handles the result of an attempt: it releases the connection, delivers a response to the caller and reports the
// outcome to the Balancer, or sends the attempt again through the fallback transport.
func (l *loop) handleAttemptEnd(ended *attempt, result exchange.Result) {
	req := ended.request
	if ended.holdsConn {
		ended.transport.Release(ended.Endpoint, ended.conn, result.Conn)
	}
	if next := l.transports.fallbackAfter(l.now(), ended, result); next != nil {
		l.dispatch(ended, next)
		return
	}
	ended.cancel()
	req.inFlight = nil
	l.recordLatency(ended, result)
	outcome := balancer.Outcome{
		ID: req.ID, Endpoint: ended.Endpoint.ID, Attempt: ended.number, Final: req.answered,
		Elapsed: result.Elapsed, Status: result.Status, Load: result.Load,
	}
	if l.memory != nil && l.recordOutcome(ended, result.Status) {
		outcome.Final = true
	}
	if req.route != nil && !outcome.Final && result.Status != balancer.StatusOK {
		outcome.NoRetry, outcome.Backoff = req.planRetry(result.Status)
	}
	if result.Status == balancer.StatusOK && !req.answered {
		outcome.Final = true
		if req.route != nil {
			req.route.Answered()
		}
		l.deliver(req, answer{response: result.Response})
		l.cancelOther(req)
	} else {
		l.releaseResponse(result.Response)
	}
	l.balancer.HandleOutcome(l.now(), outcome)
	l.forget(req)
	if result.Status == balancer.StatusConnectFailed && l.merger.HasUnconfirmed() {
		l.applyEndpoints(l.merger.HandleConnectFailure(l.now(), ended.Endpoint.UID))
	}
}

// recordOutcome records the outcome of an attempt. It reports whether the outcome is final for the request: an attempt whose record
// could not be written was not sent, and its caller is answered immediately.
func (l *loop) recordOutcome(a *attempt, status balancer.Status) (final bool) {
	r := a.request
	mayRun := l.memory.endAttempt(l.now(), a, status, status == balancer.StatusOK && !r.answered)
	if !a.notRecorded || r.answered {
		return false
	}
	l.deliver(r, answer{rejected: !mayRun, retryAfter: time.Second})
	return true
}

// planRetry returns whether the request's route forbids a retry after an attempt that ended with a status, and the backoff before a
// retry. A permitted retry is taken out of the route's budget.
func (r *request) planRetry(status balancer.Status) (noRetry bool, backoff time.Duration) {
	if r.route.Settings.AllowsRetry(status) {
		r.retryReserved = r.retryReserved || r.route.TakeRetry()
	}
	return !r.retryReserved, r.route.Settings.Backoff(r.attempts, rand.Float64())
}
