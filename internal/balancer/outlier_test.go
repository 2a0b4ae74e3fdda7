package balancer

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestResetEjectsUntilATrialIsServedThenSlowStart(t *testing.T) {
	f := start(t, settings(), 4)
	f.serve(40, nil)
	id := f.ask(read)
	lost := f.last()
	f.end(lost, StatusReset, 5*ms)
	if f.fetches != 1 {
		t.Errorf("%d lists fetched after a broken connection, want 1", f.fetches)
	}
	if again := f.last(); again.id != id || again.to == lost.to {
		t.Errorf("retry %v, want %s on another endpoint than %d", again, id, lost.to)
	}
	f.end(f.last(), StatusOK, 20*ms)
	fail := func(to EndpointID) Status {
		if to == lost.to {
			return StatusConnectFailed
		}
		return StatusOK
	}
	if got := f.serve(100, fail); got[lost.to] == 0 || got[lost.to] > 5 {
		t.Errorf("%d trials in 2 s, want a few", got[lost.to])
	}
	if f.fetches != 1 {
		t.Errorf("%d lists fetched, want the next one only after a pause", f.fetches)
	}
	got := f.serve(500, nil)
	if got[lost.to] == 0 || got[lost.to] > 80 {
		t.Errorf("%d of 500 sends to the one that is back, want few in its slow start", got[lost.to])
	}
}

// Every endpoint sends some answers that are of no use. The call may have run, and its endpoint is as well as
// before: no ejection, no slow start, no blame.
func TestInvalidResponseCostsTheEndpointNothing(t *testing.T) {
	f := start(t, settings(), 4)
	f.serve(40, nil)
	id := f.ask(read)
	spoilt := f.last()
	f.end(spoilt, StatusInvalidResponse, 5*ms)
	if again := f.last(); again.id != id || again.attempt != 1 {
		t.Errorf("retry %v, want %s once more", again, id)
	}
	f.end(f.last(), StatusOK, 20*ms)
	f.ask(pay)
	f.end(f.last(), StatusInvalidResponse, 5*ms)
	if len(f.fails) != 1 || len(f.rejections) != 0 {
		t.Errorf("a call that is not idempotent and may have run: %d failed, %d rejected", len(f.fails), len(f.rejections))
	}
	bad := f.last().to
	for range 3 {
		f.ask(read)
		for f.last().to == bad {
			f.end(f.last(), StatusInvalidResponse, 5*ms)
			f.ask(read)
		}
		f.end(f.last(), StatusOK, 20*ms)
	}
	if got := f.serve(100, nil); got[bad] < 10 || f.fetches != 0 || len(f.logs) > 0 {
		t.Errorf("%d of 100 sends to it, %d lists fetched, logs %q", got[bad], f.fetches, f.logs)
	}
}

func TestNewStartInTheListEndsEjection(t *testing.T) {
	f := start(t, settings(), 2)
	f.ask(read)
	lost := f.last()
	f.end(lost, StatusReset, ms)
	f.list(ListEntry{Endpoint: lost.to, StartedAt: f.now})
	for range 300 {
		f.pass(10 * ms)
		f.ask(read)
		s := f.last()
		f.end(s, StatusOK, 10*ms)
		if s.to == lost.to {
			return
		}
	}
	t.Error("a restarted endpoint got no call in 3 s")
}

// A full connection table answers like a dead process; calls that are open there tell them apart.
func TestConnectFailureBesideOpenCallsEjectsNone(t *testing.T) {
	f := start(t, settings(), 1)
	f.ask(read)
	f.ask(read)
	f.end(f.sent[1], StatusConnectFailed, ms)
	if slices.ContainsFunc(f.logs, func(s string) bool { return strings.Contains(s, "isolated") }) {
		t.Errorf("ejected: %v", f.logs)
	}
}

func TestEjectionNeverEmptiesTheSet(t *testing.T) {
	f := start(t, settings(), 3)
	for range 12 {
		f.ask(read)
		f.end(f.last(), StatusConnectFailed, ms)
		f.pass(10 * ms)
	}
	at := len(f.sent)
	f.pass(time.Second)
	f.ask(read)
	f.pass(100 * ms)
	if len(f.sent) == at {
		t.Error("nothing is sent once all are ejected")
	}
}

// Few in flight would draw calls to an endpoint that fails fast.
func TestFastErrorsEject(t *testing.T) {
	f := start(t, settings(), 4)
	got := f.serve(300, func(to EndpointID) Status {
		if to == 1 {
			return StatusError
		}
		return StatusOK
	})
	if got[1] > 30 {
		t.Errorf("%d of 300 sends to the failing endpoint", got[1])
	}
}

// All failing alike is the tier below, not the endpoints.
func TestAllFailingAlikeEjectsNone(t *testing.T) {
	f := start(t, settings(), 4)
	f.serve(60, nil)
	f.logs = nil
	n := 0
	f.serve(400, func(EndpointID) Status {
		if n++; n%2 == 0 {
			return StatusError
		}
		return StatusOK
	})
	ejections := 0
	for _, e := range f.b.listed {
		if e.availability == ejected {
			ejections++
		}
	}
	if ejections > 1 {
		t.Errorf("%d of 4 endpoints ejected when all fail half their calls", ejections)
	}
}

func TestUnresponsiveEndpointIsPassedOver(t *testing.T) {
	f := start(t, settings(), 4)
	f.serve(60, nil)
	stuck := 0
	for range 200 {
		f.ask(read)
		f.pass(20 * ms)
		if s := f.last(); s.to == 1 {
			stuck++
		} else {
			f.end(s, StatusOK, 20*ms)
		}
	}
	if stuck == 0 || stuck > 8 {
		t.Errorf("%d calls to an unresponsive endpoint in 4 s, want 1 to 8", stuck)
	}
}

// A call with an idempotency key at the last endpoint of its cell, that drains, is not cancelled, unresponsive as it is: it could go nowhere
// else, and failed.
func TestUnresponsiveCallOfALastOneInItsCellIsWaitedFor(t *testing.T) {
	for _, drains := range []bool{true, false} {
		f := start(t, settings(), 4)
		f.serve(60, nil)
		id := f.ask(book)
		s := f.last()
		other := s.to + 1 // of the same cell
		if s.to%2 == 0 {
			other = s.to - 1
		}
		f.list(ListEntry{Endpoint: other, State: EndpointRemoved})
		if drains {
			f.list(ListEntry{Endpoint: s.to, Cell: int(s.to-1) / 2, Weight: 1, State: EndpointDraining})
		}
		for range 20 {
			f.ask(read)
			if l := f.last(); l.to != s.to {
				f.end(l, StatusOK, 20*ms)
			}
			f.pass(20 * ms)
		}
		if called := slices.ContainsFunc(f.cancels, func(c sent) bool { return c.id == id }); called == drains {
			t.Errorf("drains %v: cancelled %v", drains, f.cancels)
		}
		if slices.Contains(f.fails, id) {
			t.Errorf("drains %v: it failed", drains)
		}
	}
}

// A call that goes to an ejected endpoint for want of any other, before its trial is due, does not put the trial off.
func TestCallsForWantOfOthersDelayNoTrial(t *testing.T) {
	f := start(t, settings(), 1)
	f.ask(read)
	f.end(f.last(), StatusReset, ms)
	e := f.b.endpointsByID[1]
	due := e.trialAt
	for range 3 { // those of the retries
		if f.last().to != 1 || f.now >= due {
			t.Fatalf("sent to %d at %v, trial due %v", f.last().to, f.now, due)
		}
		f.end(f.last(), StatusConnectFailed, ms)
	}
	if e.trialAt != due {
		t.Errorf("the trial is due %v later", e.trialAt-due)
	}
	f.now = due + ms
	f.ask(read)
	f.end(f.last(), StatusConnectFailed, ms)
	if e.trialAt <= due {
		t.Error("a trial that failed does not put the next one off")
	}
}
