package balancer

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestResetEjectsUntilATrialIsServedThenSlowStart(t *testing.T) {
	f := start(t, settings(), 4)
	f.serveRequests(40, nil)
	id := f.request(read)
	lost := f.last()
	f.finish(lost, StatusReset, 5*ms)
	if f.fetches != 1 {
		t.Errorf("%d lists fetched after a broken connection, want 1", f.fetches)
	}
	if retry := f.last(); retry.id != id || retry.to == lost.to {
		t.Errorf("retry %v, want %s on another endpoint than %d", retry, id, lost.to)
	}
	f.finish(f.last(), StatusOK, 20*ms)
	failAtLost := func(to EndpointID) Status {
		if to == lost.to {
			return StatusConnectFailed
		}
		return StatusOK
	}
	if got := f.serveRequests(100, failAtLost); got[lost.to] == 0 || got[lost.to] > 5 {
		t.Errorf("%d trials in 2 s, want a few", got[lost.to])
	}
	if f.fetches != 1 {
		t.Errorf("%d lists fetched, want the next one only after a backoff", f.fetches)
	}
	got := f.serveRequests(500, nil)
	if got[lost.to] == 0 || got[lost.to] > 80 {
		t.Errorf("%d of 500 sends to the unejected endpoint, want few in its slow start", got[lost.to])
	}
}

// Every endpoint sends some invalid responses. The call may have run, and the response does not count against the endpoint: it is
// neither ejected nor put into slow start.
func TestInvalidResponseCostsTheEndpointNothing(t *testing.T) {
	f := start(t, settings(), 4)
	f.serveRequests(40, nil)
	id := f.request(read)
	f.finish(f.last(), StatusInvalidResponse, 5*ms)
	if retry := f.last(); retry.id != id || retry.number != 1 {
		t.Errorf("retry %v, want %s once more", retry, id)
	}
	f.finish(f.last(), StatusOK, 20*ms)
	f.request(pay)
	f.finish(f.last(), StatusInvalidResponse, 5*ms)
	if len(f.fails) != 1 || len(f.rejections) != 0 {
		t.Errorf("a call that is not idempotent and may have run: %d failed, %d rejected", len(f.fails), len(f.rejections))
	}
	invalid := f.last().to // the endpoint that sends invalid responses
	for range 3 {
		f.request(read)
		for f.last().to == invalid {
			f.finish(f.last(), StatusInvalidResponse, 5*ms)
			f.request(read)
		}
		f.finish(f.last(), StatusOK, 20*ms)
	}
	if got := f.serveRequests(100, nil); got[invalid] < 10 || f.fetches != 0 || len(f.logs) > 0 {
		t.Errorf("%d of 100 sends to it, %d lists fetched, logs %q", got[invalid], f.fetches, f.logs)
	}
}

func TestNewStartInTheListEndsEjection(t *testing.T) {
	f := start(t, settings(), 2)
	f.request(read)
	lost := f.last()
	f.finish(lost, StatusReset, ms)
	f.updateEndpoint(ListEntry{Endpoint: lost.to, StartedAt: f.now})
	for range 300 {
		f.advance(10 * ms)
		f.request(read)
		call := f.last()
		f.finish(call, StatusOK, 10*ms)
		if call.to == lost.to {
			return
		}
	}
	t.Error("a restarted endpoint got no call in 3 s")
}

// A full connection table rejects connections as a process that has ended does. Calls in flight to the endpoint show that it runs.
func TestConnectFailureBesideOpenCallsEjectsNone(t *testing.T) {
	f := start(t, settings(), 1)
	f.request(read)
	f.request(read)
	f.finish(f.sent[1], StatusConnectFailed, ms)
	if slices.ContainsFunc(f.logs, func(s string) bool { return strings.Contains(s, "isolated") }) {
		t.Errorf("ejected: %v", f.logs)
	}
}

func TestEjectionNeverEmptiesTheSet(t *testing.T) {
	f := start(t, settings(), 3)
	for range 12 {
		f.request(read)
		f.finish(f.last(), StatusConnectFailed, ms)
		f.advance(10 * ms)
	}
	before := len(f.sent)
	f.advance(time.Second)
	f.request(read)
	f.advance(100 * ms)
	if len(f.sent) == before {
		t.Error("nothing is sent once all are ejected")
	}
}

// An endpoint that fails fast has few calls in flight, and would attract more if it was not ejected.
func TestFastErrorsEject(t *testing.T) {
	f := start(t, settings(), 4)
	got := f.serveRequests(300, func(to EndpointID) Status {
		if to == 1 {
			return StatusError
		}
		return StatusOK
	})
	if got[1] > 30 {
		t.Errorf("%d of 300 sends to the failing endpoint", got[1])
	}
}

// If all endpoints fail at the same rate, the cause is in the tier below, and none is ejected for it.
func TestAllFailingAlikeEjectsNone(t *testing.T) {
	f := start(t, settings(), 4)
	f.serveRequests(60, nil)
	f.logs = nil
	calls := 0
	f.serveRequests(400, func(EndpointID) Status {
		if calls++; calls%2 == 0 {
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
	f.serveRequests(60, nil)
	stuck := 0 // calls without a response
	for range 200 {
		f.request(read)
		f.advance(20 * ms)
		if call := f.last(); call.to == 1 {
			stuck++
		} else {
			f.finish(call, StatusOK, 20*ms)
		}
	}
	if stuck == 0 || stuck > 8 {
		t.Errorf("%d calls to an unresponsive endpoint in 4 s, want 1 to 8", stuck)
	}
}

// A call with an idempotency key can only be retried in its cell. If its endpoint is the last one there and drains, the call is not
// cancelled although the endpoint is unresponsive: without an endpoint for a retry it would fail.
func TestUnresponsiveCallOfALastOneInItsCellIsWaitedFor(t *testing.T) {
	for _, drains := range []bool{true, false} {
		f := start(t, settings(), 4)
		f.serveRequests(60, nil)
		id := f.request(book)
		call := f.last()
		other := call.to + 1 // of the same cell
		if call.to%2 == 0 {
			other = call.to - 1
		}
		f.updateEndpoint(ListEntry{Endpoint: other, State: EndpointRemoved})
		if drains {
			f.updateEndpoint(ListEntry{Endpoint: call.to, Cell: int(call.to-1) / 2, Weight: 1, State: EndpointDraining})
		}
		for range 20 {
			f.request(read)
			if last := f.last(); last.to != call.to {
				f.finish(last, StatusOK, 20*ms)
			}
			f.advance(20 * ms)
		}
		if cancelled := slices.ContainsFunc(f.cancels, func(a attempt) bool { return a.id == id }); cancelled == drains {
			t.Errorf("drains %v: cancelled %v", drains, f.cancels)
		}
		if slices.Contains(f.fails, id) {
			t.Errorf("drains %v: it failed", drains)
		}
	}
}

// A call that goes to an ejected endpoint because there is no other, before the trial of the endpoint is due, does not delay the
// trial.
func TestCallsForWantOfOthersDelayNoTrial(t *testing.T) {
	f := start(t, settings(), 1)
	f.request(read)
	f.finish(f.last(), StatusReset, ms)
	endpoint := f.b.endpointsByID[1]
	trialAt := endpoint.trialAt
	for range 3 { // the retries
		if f.last().to != 1 || f.now >= trialAt {
			t.Fatalf("sent to %d at %v, trial due %v", f.last().to, f.now, trialAt)
		}
		f.finish(f.last(), StatusConnectFailed, ms)
	}
	if endpoint.trialAt != trialAt {
		t.Errorf("the trial is due %v later", endpoint.trialAt-trialAt)
	}
	f.now = trialAt + ms
	f.request(read)
	f.finish(f.last(), StatusConnectFailed, ms)
	if endpoint.trialAt <= trialAt {
		t.Error("a trial that failed does not delay the next one")
	}
}
