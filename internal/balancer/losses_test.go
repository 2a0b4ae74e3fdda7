package balancer

import "testing"

// retryLost ends the attempts that were cancelled, which must be lost ones, and counts their retries, which must go to other
// endpoints and are served.
func (f *fixture) retryLost(lost map[RequestID]sent) (retries int) {
	f.t.Helper()
	for _, c := range f.cancels {
		s, ok := lost[c.id]
		if !ok {
			f.t.Fatalf("%s is cancelled, and was answered or is retried", c.id)
		}
		delete(lost, c.id)
		f.end(s, StatusCancelled, 150*ms)
		if next := f.last(); next.id != c.id || next.to == s.to {
			f.t.Fatalf("%s is not sent to another endpoint: %v", c.id, next)
		}
		retries++
		f.end(f.last(), StatusOK, 20*ms)
	}
	f.cancels = nil
	return retries
}

// An endpoint that answers most calls and loses some is not unresponsive. Its lost calls are retried once later
// ones have overtaken them, and until then leave room for others; one that is not idempotent is left alone.
func TestLostCallIsRetried(t *testing.T) {
	f := start(t, settings(), 4)
	f.serve(60, nil)
	lost := map[RequestID]sent{}
	atOne, retries := 0, 0
	for range 200 {
		f.ask(read)
		s := f.last()
		if s.to == 1 {
			atOne++
		}
		if s.to == 1 && atOne%2 == 0 {
			lost[s.id] = s
		} else {
			f.end(s, StatusOK, 20*ms)
		}
		f.pass(20 * ms)
		retries += f.retryLost(lost)
	}
	if retries < 3 || len(lost) > 4 {
		t.Errorf("%d lost calls retried, %d still out", retries, len(lost))
	}
	id := f.ask(pay)
	for range 40 {
		f.pass(20 * ms)
		f.ask(read)
		f.end(f.last(), StatusOK, 20*ms)
	}
	if r := f.b.requests[id]; f.attempts[id] != 1 || r == nil || !r.lost || r.cancelled || f.b.losses.inFlight == 0 {
		t.Errorf("the call that is not idempotent: %d attempts, %+v", f.attempts[id], r)
	}
}

// A single call that is overdue by far is retried where such calls are seldom answered late, and left alone
// where they were only slow.
func TestOverdueCallIsRetriedUnlessCallsAreSlow(t *testing.T) {
	for _, slow := range []int{0, 4} {
		f := start(t, settings(), 4)
		f.serve(200, nil)
		overdue := func(tails float64) sent {
			f.ask(read)
			call, c := f.last(), f.b.classes[read]
			for end := f.now + seconds(tails*c.latency.tailRatio*c.latency.mean); f.now < end; {
				f.serve(1, nil)
			}
			f.pass(10 * ms)
			return call
		}
		for range slow {
			call := overdue((lostTails + overdueTails) / 2)
			f.end(call, StatusOK, 10*ms)
		}
		call := overdue(1.2 * overdueTails)
		if got, want := len(f.cancels) == 1 && f.cancels[0].id == call.id, slow == 0; got != want {
			t.Errorf("after %d slow calls: cancelled %v", slow, f.cancels)
		}
	}
}

// Of many calls that turn slow at once no more are cancelled than may be retried: the others' answers are near.
func TestNoMoreIsCancelledThanTheBudget(t *testing.T) {
	f := start(t, settings(), 64)
	f.serve(400, nil)
	f.sent = nil
	for range 80 {
		f.ask(book)
	}
	out := len(f.sent)
	for i := range 8 { // later ones are answered, so that the others look lost
		f.end(f.sent[out-1-i], StatusOK, 20*ms)
	}
	f.pass(400 * ms)
	if len(f.cancels) == 0 {
		t.Fatal("none was cancelled: nothing is tested")
	}
	if n := len(f.cancels); float64(n) > maxRetryBudget {
		t.Errorf("%d were cancelled, %v may be retried", n, maxRetryBudget)
	}
	for _, x := range f.cancels {
		f.end(x.of(f.recorder), StatusCancelled, 400*ms)
	}
	if len(f.fails) > 0 {
		t.Errorf("%d failed", len(f.fails))
	}
}

// of is the attempt that was cancelled.
func (x sent) of(h *recorder) sent {
	for _, s := range h.sent {
		if s.id == x.id && s.attempt == x.attempt {
			return s
		}
	}
	return x
}
