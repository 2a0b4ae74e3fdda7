package balancer

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestResetEjectsUntilATrialIsServedThenSlowStart(t *testing.T) {
	fixture := start(t, settings(), 4)
	fixture.serveRequests(40, nil)
	id := fixture.request(read)
	lost := fixture.last()
	fixture.finish(lost, StatusReset, 5*ms)
	if fixture.fetches != 1 {
		t.Errorf("%d lists fetched after a broken connection, want 1", fixture.fetches)
	}
	if retry := fixture.last(); retry.id != id || retry.to == lost.to {
		t.Errorf("last attempt %v, want a retry of %s at another endpoint than %d", retry, id, lost.to)
	}
	fixture.finish(fixture.last(), StatusOK, 20*ms)
	failAtLost := func(to EndpointID) Status {
		if to == lost.to {
			return StatusConnectFailed
		}
		return StatusOK
	}
	if got := fixture.serveRequests(100, failAtLost); got[lost.to] == 0 || got[lost.to] > 5 {
		t.Errorf("%d trials of an unreachable endpoint in 2 s, want 1 to 5", got[lost.to])
	}
	if fixture.fetches != 1 {
		t.Errorf("%d lists fetched after failed trials, want 1 until a backoff is over", fixture.fetches)
	}
	got := fixture.serveRequests(500, nil)
	if got[lost.to] == 0 || got[lost.to] > 80 {
		t.Errorf("%d of 500 sends to the unejected endpoint, want 1 to 80 in its slow start", got[lost.to])
	}
}

// Every endpoint sends some invalid responses. Such a call may have run, and does not count against the endpoint, which is neither
// ejected nor put into slow start.
func TestInvalidResponseDoesNotCountAgainstTheEndpoint(t *testing.T) {
	fixture := start(t, settings(), 4)
	fixture.serveRequests(40, nil)
	id := fixture.request(read)
	fixture.finish(fixture.last(), StatusInvalidResponse, 5*ms)
	if retry := fixture.last(); retry.id != id || retry.number != 1 {
		t.Errorf("after an invalid response: last attempt %v, want the second of %s", retry, id)
	}
	fixture.finish(fixture.last(), StatusOK, 20*ms)
	fixture.request(pay)
	fixture.finish(fixture.last(), StatusInvalidResponse, 5*ms)
	if len(fixture.fails) != 1 || len(fixture.rejections) != 0 {
		t.Errorf("non-idempotent call that may have run: %d failed, %d rejected; want 1 and 0", len(fixture.fails), len(fixture.rejections))
	}
	invalid := fixture.last().to // the endpoint that sends invalid responses
	for range 3 {
		fixture.request(read)
		for fixture.last().to == invalid {
			fixture.finish(fixture.last(), StatusInvalidResponse, 5*ms)
			fixture.request(read)
		}
		fixture.finish(fixture.last(), StatusOK, 20*ms)
	}
	if got := fixture.serveRequests(100, nil); got[invalid] < 10 || fixture.fetches != 0 || len(fixture.logs) > 0 {
		t.Errorf(
			"endpoint with invalid responses: %d of 100 sends to it, %d lists fetched, logs %q; want at least 10, 0 and none",
			got[invalid], fixture.fetches, fixture.logs,
		)
	}
}

func TestListedRestartEndsEjection(t *testing.T) {
	fixture := start(t, settings(), 2)
	fixture.request(read)
	lost := fixture.last()
	fixture.finish(lost, StatusReset, ms)
	fixture.updateEndpoint(ListEntry{Endpoint: lost.to, StartedAt: fixture.now})
	for range 300 {
		fixture.advance(10 * ms)
		fixture.request(read)
		call := fixture.last()
		fixture.finish(call, StatusOK, 10*ms)
		if call.to == lost.to {
			return
		}
	}
	t.Error("a restarted endpoint got no call in 3 s")
}

// An endpoint whose connection table is full rejects connections as if its process had ended. Calls in flight to the endpoint show
// that the process runs.
func TestConnectFailureWithCallsInFlightDoesNotEject(t *testing.T) {
	fixture := start(t, settings(), 1)
	fixture.request(read)
	fixture.request(read)
	fixture.finish(fixture.sent[1], StatusConnectFailed, ms)
	if slices.ContainsFunc(fixture.logs, func(s string) bool { return strings.Contains(s, "isolated") }) {
		t.Errorf("connect failure with another call in flight: logs %v, want no ejection", fixture.logs)
	}
}

func TestRequestsAreSentThoughAllEndpointsAreEjected(t *testing.T) {
	fixture := start(t, settings(), 3)
	for range 12 {
		fixture.request(read)
		fixture.finish(fixture.last(), StatusConnectFailed, ms)
		fixture.advance(10 * ms)
	}
	before := len(fixture.sent)
	fixture.advance(time.Second)
	fixture.request(read)
	fixture.advance(100 * ms)
	if len(fixture.sent) == before {
		t.Error("no request is sent after all endpoints were ejected")
	}
}

// An endpoint that fails fast has few calls in flight, and would attract more if it were not ejected.
func TestFastErrorsEject(t *testing.T) {
	fixture := start(t, settings(), 4)
	got := fixture.serveRequests(300, func(to EndpointID) Status {
		if to == 1 {
			return StatusError
		}
		return StatusOK
	})
	if got[1] > 30 {
		t.Errorf("%d of 300 sends to the failing endpoint, want at most 30", got[1])
	}
}

// If all endpoints fail at the same rate, the cause is probably in the tier below, and the errors eject no endpoint. One ejection by
// chance is tolerated.
func TestAllFailingAlikeEjectsNone(t *testing.T) {
	fixture := start(t, settings(), 4)
	fixture.serveRequests(60, nil)
	fixture.logs = nil
	calls := 0
	fixture.serveRequests(400, func(EndpointID) Status {
		if calls++; calls%2 == 0 {
			return StatusError
		}
		return StatusOK
	})
	ejections := 0
	for _, e := range fixture.balancer.listed {
		if e.availability == ejected {
			ejections++
		}
	}
	if ejections > 1 {
		t.Errorf("%d of 4 endpoints ejected while all fail half of their calls, want at most 1", ejections)
	}
}

func TestUnresponsiveEndpointIsNotPicked(t *testing.T) {
	fixture := start(t, settings(), 4)
	fixture.serveRequests(60, nil)
	stuck := 0 // calls without a response
	for range 200 {
		fixture.request(read)
		fixture.advance(20 * ms)
		if call := fixture.last(); call.to == 1 {
			stuck++
		} else {
			fixture.finish(call, StatusOK, 20*ms)
		}
	}
	if stuck == 0 || stuck > 8 {
		t.Errorf("%d calls to an unresponsive endpoint in 4 s, want 1 to 8", stuck)
	}
}

// A call with an idempotency key can only be retried in its cell. If its endpoint is the last one of the cell and drains, the call is
// not cancelled although the endpoint is unresponsive: as no endpoint is left for a retry, it would fail.
func TestCallIsNotCancelledIfItCannotBeRetriedInItsCell(t *testing.T) {
	for _, drains := range []bool{true, false} {
		fixture := start(t, settings(), 4)
		fixture.serveRequests(60, nil)
		id := fixture.request(book)
		call := fixture.last()
		other := call.to + 1 // other endpoint of the same cell
		if call.to%2 == 0 {
			other = call.to - 1
		}
		fixture.updateEndpoint(ListEntry{Endpoint: other, State: EndpointRemoved})
		if drains {
			fixture.updateEndpoint(ListEntry{Endpoint: call.to, Cell: int(call.to-1) / 2, Weight: 1, State: EndpointDraining})
		}
		for range 20 {
			fixture.request(read)
			if last := fixture.last(); last.to != call.to {
				fixture.finish(last, StatusOK, 20*ms)
			}
			fixture.advance(20 * ms)
		}
		if cancelled := slices.ContainsFunc(fixture.cancels, func(a attempt) bool { return a.id == id }); cancelled == drains {
			t.Errorf("endpoint drains %v: cancelled %v, want the call cancelled only if it does not drain", drains, fixture.cancels)
		}
		if slices.Contains(fixture.fails, id) {
			t.Errorf("endpoint drains %v: the call failed", drains)
		}
	}
}

// A call that is sent to an ejected endpoint because there is no other, before the endpoint's trial is due, does not delay the trial
// when it fails.
func TestCallsBeforeATrialIsDueDoNotDelayIt(t *testing.T) {
	fixture := start(t, settings(), 1)
	fixture.request(read)
	fixture.finish(fixture.last(), StatusReset, ms)
	endpoint := fixture.balancer.endpointsByID[1]
	trialAt := endpoint.trialAt
	for range 3 { // the retries
		if fixture.last().to != 1 || fixture.now >= trialAt {
			t.Fatalf(
				"last attempt was sent to endpoint %d at %v, trial due at %v; want endpoint 1 before the trial is due",
				fixture.last().to, fixture.now, trialAt,
			)
		}
		fixture.finish(fixture.last(), StatusConnectFailed, ms)
	}
	if endpoint.trialAt != trialAt {
		t.Errorf("failed calls before the trial was due delayed it by %v", endpoint.trialAt-trialAt)
	}
	fixture.now = trialAt + ms
	fixture.request(read)
	fixture.finish(fixture.last(), StatusConnectFailed, ms)
	if endpoint.trialAt <= trialAt {
		t.Error("a failed trial did not delay the next one")
	}
}

// serveNonIdempotent serves requests that must not be repeated for a time, one each 10 ms, and returns the number of attempts at an
// endpoint. Attempts there end with the given status, and the others are served.
func serveNonIdempotent(fixture *fixture, duration time.Duration, at EndpointID, status Status) (attempts int) {
	for end := fixture.now + duration; fixture.now < end; fixture.advance(10 * ms) {
		id := fixture.request(pay)
		for len(fixture.sent) > 0 && fixture.last().id == id {
			call := fixture.last()
			if call.to != at {
				fixture.finish(call, StatusOK, 5*ms)
				break
			}
			attempts++
			fixture.finish(call, status, 5*ms)
			if status == StatusOK || fixture.last() == call {
				break
			}
		}
	}
	return attempts
}

// An endpoint of a service whose requests must not be repeated was never tried again after an ejection.
func TestEndpointWithNonIdempotentRequestsOnlyIsTriedAgain(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		settings := settings()
		settings.NonIdempotentTrials = allowed
		fixture := start(t, settings, 3)
		fixture.request(pay)
		lost := fixture.last().to
		fixture.finish(fixture.last(), StatusConnectFailed, ms)
		if !fixture.balancer.Ejected(lost) {
			t.Fatal("the endpoint is not ejected")
		}
		fixture.finish(fixture.last(), StatusOK, 5*ms)
		trials := serveNonIdempotent(fixture, 10*time.Second, lost, StatusConnectFailed)
		if allowed != (trials > 0) || trials > 8 {
			t.Errorf("allowed %v: %d trials of an unreachable endpoint in 10 s, want at most 8, and some only if allowed", allowed, trials)
		}
		if n := len(fixture.fails) + len(fixture.rejections); n > 0 {
			t.Errorf("allowed %v: %d requests failed or were rejected for the trials", allowed, n)
		}
		serveNonIdempotent(fixture, 30*time.Second, lost, StatusOK)
		if fixture.balancer.Ejected(lost) == allowed {
			t.Errorf("allowed %v: ejected %v, 30 s after the endpoint was reachable again", allowed, fixture.balancer.Ejected(lost))
		}
	}
}

// If other requests come, they are the trials.
func TestRequestsThatMayBeRepeatedAreTrialsFirst(t *testing.T) {
	settings := settings()
	settings.NonIdempotentTrials = true
	fixture := start(t, settings, 3)
	fixture.request(pay)
	lost := fixture.last().to
	fixture.finish(fixture.last(), StatusConnectFailed, ms)
	fixture.finish(fixture.last(), StatusOK, 5*ms)
	for range 500 {
		for _, class := range []int{pay, read} {
			fixture.request(class)
			if call := fixture.last(); call.to == lost {
				if class == pay {
					t.Fatal("a request that must not be repeated was the trial")
				}
				fixture.finish(call, StatusConnectFailed, 5*ms)
			}
			fixture.finish(fixture.last(), StatusOK, 5*ms)
		}
		fixture.advance(10 * ms)
	}
}
