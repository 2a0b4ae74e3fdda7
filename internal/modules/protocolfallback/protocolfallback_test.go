package protocolfallback

import (
	"fmt"
	"testing"
	"time"
)

const second = time.Second

// newTracker returns a Tracker with backoffs of 10 to 35 seconds.
func newTracker() *Tracker {
	return &Tracker{Settings: Settings{InitialBackoff: 10 * second, MaxBackoff: 35 * second}}
}

// The backoff doubles with each failure in a row, up to its maximum.
func TestBackoffDoubles(t *testing.T) {
	tracker := newTracker()
	now := time.Duration(0)
	for _, want := range []time.Duration{10 * second, 20 * second, 35 * second, 35 * second} {
		if !tracker.ShouldAttempt(now, "a") {
			t.Fatalf("at %v HTTP/3 is not tried at a", now)
		}
		if backoff, first := tracker.RecordFailure(now, "a"); backoff != want || !first {
			t.Fatalf("at %v RecordFailure returned a backoff of %v, first %v, want %v, true", now, backoff, first, want)
		}
		if tracker.ShouldAttempt(now+want-1, "a") || !tracker.ShouldAttempt(now, "b") {
			t.Fatal("HTTP/3 is tried at a within the backoff, or is not tried at the other address b")
		}
		now += want
	}
	tracker.ShouldAttempt(now, "a")
	tracker.RecordSuccess("a")
	if !tracker.ShouldAttempt(now, "a") {
		t.Error("HTTP/3 is not tried after a success")
	}
	if backoff, _ := tracker.RecordFailure(now, "a"); backoff != 10*second {
		t.Errorf("the backoff after a success and a failure is %v, want 10s", backoff)
	}
}

// After a backoff exactly one attempt tries HTTP/3, until it has ended.
func TestOneAttemptAfterBackoff(t *testing.T) {
	tracker := newTracker()
	tracker.RecordFailure(0, "a")
	if !tracker.ShouldAttempt(10*second, "a") || tracker.ShouldAttempt(10*second, "a") || tracker.ShouldAttempt(100*second, "a") {
		t.Error("not exactly one attempt tries HTTP/3 after the backoff")
	}
	tracker.RecordInconclusive("a")
	if !tracker.ShouldAttempt(100*second, "a") {
		t.Error("no attempt tries HTTP/3 after the previous one ended without a result")
	}
	tracker.RecordInconclusive("none")
}

// Failures of attempts that waited for the same connection count as one failure.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	tracker := newTracker()
	for n := range 5 {
		if backoff, first := tracker.RecordFailure(time.Duration(n), "a"); first != (n == 0) || backoff > 10*second {
			t.Errorf("RecordFailure number %d returned a backoff of %v, first %v, want at most 10s, %v", n, backoff, first, n == 0)
		}
	}
	tracker.Forget("a")
	if !tracker.ShouldAttempt(1, "a") {
		t.Error("an address that is listed again still has its previous backoff")
	}
}

// The number of tracked addresses is bounded.
func TestTrackedAddressesAreBounded(t *testing.T) {
	tracker := newTracker()
	for n := range 2 * maxAddresses {
		tracker.RecordFailure(0, fmt.Sprint(n))
	}
	if len(tracker.fallbacks) > maxAddresses {
		t.Errorf("%d addresses are tracked, want at most %d", len(tracker.fallbacks), maxAddresses)
	}
}
