package protocolfallback

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

// newTracker returns a tracker with backoffs of 10 to 35 seconds.
func newTracker() *Tracker {
	return &Tracker{Settings: Settings{InitialBackoff: 10 * s, MaxBackoff: 35 * s}}
}

// The backoff doubles with each failure in a row, up to its maximum.
func TestBackoffsDouble(t *testing.T) {
	tracker := newTracker()
	now := time.Duration(0)
	for _, want := range []time.Duration{10 * s, 20 * s, 35 * s, 35 * s} {
		if !tracker.ShouldAttempt(now, "a") {
			t.Fatalf("at %v it is not tried", now)
		}
		if backoff, first := tracker.RecordFailure(now, "a"); backoff != want || !first {
			t.Fatalf("a backoff of %v, first %v, want %v", backoff, first, want)
		}
		if tracker.ShouldAttempt(now+want-1, "a") || !tracker.ShouldAttempt(now, "b") {
			t.Fatal("tried within its backoff, or another address is not tried")
		}
		now += want
	}
	tracker.ShouldAttempt(now, "a")
	tracker.RecordSuccess("a")
	if !tracker.ShouldAttempt(now, "a") {
		t.Error("not tried after a success")
	}
	if backoff, _ := tracker.RecordFailure(now, "a"); backoff != 10*s {
		t.Errorf("a failure after a success counts as a further one: %v", backoff)
	}
}

// After a backoff one attempt tries HTTP/3.
func TestOneAttemptAfterBackoff(t *testing.T) {
	tracker := newTracker()
	tracker.RecordFailure(0, "a")
	if !tracker.ShouldAttempt(10*s, "a") || tracker.ShouldAttempt(10*s, "a") || tracker.ShouldAttempt(100*s, "a") {
		t.Error("not exactly one attempt tries it")
	}
	tracker.RecordInconclusive("a")
	if !tracker.ShouldAttempt(100*s, "a") {
		t.Error("no attempt tries it after one was cancelled")
	}
	tracker.RecordInconclusive("none")
}

// Failures of attempts that waited for the same connection count as one.
func TestFailuresTogetherAreOne(t *testing.T) {
	tracker := newTracker()
	for n := range 5 {
		if backoff, first := tracker.RecordFailure(time.Duration(n), "a"); first != (n == 0) || backoff > 10*s {
			t.Errorf("the %dth: %v, first %v", n, backoff, first)
		}
	}
	tracker.Forget("a")
	if !tracker.ShouldAttempt(1, "a") {
		t.Error("an address that is listed again has the old backoff")
	}
}

// The number of tracked addresses is bounded.
func TestBound(t *testing.T) {
	tracker := newTracker()
	for n := range 2 * maxAddresses {
		tracker.RecordFailure(0, fmt.Sprint(n))
	}
	if len(tracker.failures) > maxAddresses {
		t.Errorf("%d are kept", len(tracker.failures))
	}
}
