package balancer

import "testing"

// retryLost ends the attempts that were cancelled, and serves their retries. It checks that only lost attempts were cancelled, and
// that each is retried at another endpoint. It returns the number of retries.
func (f *fixture) retryLost(lost map[RequestID]attempt) (retries int) {
	f.t.Helper()
	for _, cancelled := range f.cancels {
		a, ok := lost[cancelled.id]
		if !ok {
			f.t.Fatalf("%s is cancelled, and was answered or is retried", cancelled.id)
		}
		delete(lost, a.id)
		f.finish(a, StatusCancelled, 150*ms)
		if next := f.last(); next.id != a.id || next.to == a.to {
			f.t.Fatalf("%s is not sent to another endpoint: %v", a.id, next)
		}
		retries++
		f.finish(f.last(), StatusOK, 20*ms)
	}
	f.cancels = nil
	return retries
}

// An endpoint that answers most calls and loses some is not unresponsive. Its lost calls are retried once later ones have been
// answered, and until then do not count against its capacity. A lost call that is not idempotent is not retried.
func TestLostCallIsRetried(t *testing.T) {
	fixture := start(t, settings(), 4)
	fixture.serveRequests(60, nil)
	lost := map[RequestID]attempt{}
	callsOfFirst, retries := 0, 0
	for range 200 {
		fixture.request(read)
		call := fixture.last()
		if call.to == 1 {
			callsOfFirst++
		}
		if call.to == 1 && callsOfFirst%2 == 0 {
			lost[call.id] = call
		} else {
			fixture.finish(call, StatusOK, 20*ms)
		}
		fixture.advance(20 * ms)
		retries += fixture.retryLost(lost)
	}
	if retries < 3 || len(lost) > 4 {
		t.Errorf("%d lost calls retried, %d still in flight", retries, len(lost))
	}
	id := fixture.request(pay)
	for range 40 {
		fixture.advance(20 * ms)
		fixture.request(read)
		fixture.finish(fixture.last(), StatusOK, 20*ms)
	}
	r := fixture.balancer.requests[id]
	if fixture.attempts[id] != 1 || r == nil || !r.lost || r.cancelled || fixture.balancer.losses.inFlight == 0 {
		t.Errorf("the call that is not idempotent: %d attempts, %+v", fixture.attempts[id], r)
	}
}

// A single call that is far overdue is retried, but not if earlier overdue calls turned out to be only slow.
func TestOverdueCallIsRetriedUnlessCallsAreSlow(t *testing.T) {
	for _, slow := range []int{0, 4} {
		fixture := start(t, settings(), 4)
		fixture.serveRequests(200, nil)
		overdue := func(tails float64) attempt {
			fixture.request(read)
			call, c := fixture.last(), fixture.balancer.classes[read]
			for overdueAt := fixture.now + seconds(tails*c.latency.tailRatio*c.latency.mean); fixture.now < overdueAt; {
				fixture.serveRequests(1, nil)
			}
			fixture.advance(10 * ms)
			return call
		}
		for range slow {
			call := overdue((lostTails + overdueTails) / 2)
			fixture.finish(call, StatusOK, 10*ms)
		}
		call := overdue(1.2 * overdueTails)
		if got, want := len(fixture.cancels) == 1 && fixture.cancels[0].id == call.id, slow == 0; got != want {
			t.Errorf("after %d slow calls: cancelled %v", slow, fixture.cancels)
		}
	}
}

// If many calls become slow at once, no more are cancelled than may be retried, as the others will be answered soon.
func TestNoMoreIsCancelledThanTheBudget(t *testing.T) {
	fixture := start(t, settings(), 64)
	fixture.serveRequests(400, nil)
	fixture.sent = nil
	for range 80 {
		fixture.request(book)
	}
	calls := len(fixture.sent)
	for i := range 8 { // the latest are answered, so that the others appear lost
		fixture.finish(fixture.sent[calls-1-i], StatusOK, 20*ms)
	}
	fixture.advance(400 * ms)
	if len(fixture.cancels) == 0 {
		t.Fatal("none was cancelled, so that nothing is tested")
	}
	if n := len(fixture.cancels); float64(n) > maxRetryBudget {
		t.Errorf("%d were cancelled, %v may be retried", n, maxRetryBudget)
	}
	for _, cancelled := range fixture.cancels {
		fixture.finish(fixture.sentAs(cancelled), StatusCancelled, 400*ms)
	}
	if len(fixture.fails) > 0 {
		t.Errorf("%d failed", len(fixture.fails))
	}
}

// sentAs returns the attempt that was sent, of one that was cancelled.
func (r *recorder) sentAs(cancelled attempt) attempt {
	for _, a := range r.sent {
		if a.id == cancelled.id && a.number == cancelled.number {
			return a
		}
	}
	return cancelled
}
