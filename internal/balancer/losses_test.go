package balancer

import "testing"

// retryLost ends the attempts that were cancelled, and serves their retries. It checks that only lost attempts were cancelled, and
// that each request is retried at another endpoint. It returns the number of retries.
func (f *fixture) retryLost(lost map[RequestID]attempt) (retries int) {
	f.t.Helper()
	for _, cancelled := range f.cancels {
		a, ok := lost[cancelled.id]
		if !ok {
			f.t.Fatalf("attempt of %s was cancelled, although it is not lost or was cancelled before", cancelled.id)
		}
		delete(lost, a.id)
		f.finish(a, StatusCancelled, 150*ms)
		if next := f.last(); next.id != a.id || next.to == a.to {
			f.t.Fatalf("after the cancellation of %s the last attempt sent is %v, want a retry at another endpoint", a.id, next)
		}
		retries++
		f.finish(f.last(), StatusOK, 20*ms)
	}
	f.cancels = nil
	return retries
}

// An endpoint that answers some calls and loses others is not unresponsive. Its lost calls are retried once enough later ones have
// been answered, and do not count against its capacity. A lost call that is not idempotent is not retried.
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
		t.Errorf("%d lost calls retried, %d still in flight; want at least 3 and at most 4", retries, len(lost))
	}
	id := fixture.request(pay)
	for range 40 {
		fixture.advance(20 * ms)
		fixture.request(read)
		fixture.finish(fixture.last(), StatusOK, 20*ms)
	}
	r := fixture.balancer.requests[id]
	if fixture.attempts[id] != 1 || r == nil || !r.lost || r.cancelled || fixture.balancer.losses.inFlight == 0 {
		t.Errorf("lost non-idempotent call: %d attempts, request %+v; want 1 attempt, lost and not cancelled", fixture.attempts[id], r)
	}
}

// A single overdue call is retried, but not if earlier calls that counted as lost turned out to be only slow.
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
			t.Errorf("overdue call after %d slow ones: cancelled %v, want it cancelled only after 0", slow, fixture.cancels)
		}
	}
}

// If many calls become slow at once, no more are cancelled than the retry budget covers, as the others will be answered soon.
func TestNoMoreCallsAreCancelledThanTheRetryBudget(t *testing.T) {
	fixture := start(t, settings(), 64)
	fixture.serveRequests(400, nil)
	fixture.sent = nil
	for range 80 {
		fixture.request(book)
	}
	calls := len(fixture.sent)
	for i := range 8 { // answers to the latest calls make the others appear lost
		fixture.finish(fixture.sent[calls-1-i], StatusOK, 20*ms)
	}
	fixture.advance(400 * ms)
	if len(fixture.cancels) == 0 {
		t.Fatal("no call was cancelled, so that the budget is not tested")
	}
	if n := len(fixture.cancels); float64(n) > maxRetryBudget {
		t.Errorf("%d calls cancelled, want at most the %v that may be retried", n, maxRetryBudget)
	}
	for _, cancelled := range fixture.cancels {
		fixture.finish(fixture.sentAttempt(cancelled), StatusCancelled, 400*ms)
	}
	if len(fixture.fails) > 0 {
		t.Errorf("%d cancelled calls failed, want all retried", len(fixture.fails))
	}
}

// sentAttempt returns the complete attempt, as it was sent, for a cancelled attempt that has only id and number.
func (r *recorder) sentAttempt(cancelled attempt) attempt {
	for _, a := range r.sent {
		if a.id == cancelled.id && a.number == cancelled.number {
			return a
		}
	}
	return cancelled
}
