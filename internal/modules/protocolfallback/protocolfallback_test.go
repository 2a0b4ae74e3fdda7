package protocolfallback

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

// tracker has backoffs of 10 to 35 seconds.
func tracker() *Tracker {
	return &Tracker{Settings: Settings{InitialBackoff: 10 * s, MaxBackoff: 35 * s}}
}

func TestBackoffsDouble(t *testing.T) {
	m := tracker()
	now := time.Duration(0)
	for _, want := range []time.Duration{10 * s, 20 * s, 35 * s, 35 * s} {
		if !m.ShouldAttempt(now, "a") {
			t.Fatalf("at %v it is not tried", now)
		}
		if backoff, first := m.RecordFailure(now, "a"); backoff != want || !first {
			t.Fatalf("a backoff of %v, first %v, want %v", backoff, first, want)
		}
		if m.ShouldAttempt(now+want-1, "a") || !m.ShouldAttempt(now, "b") {
			t.Fatal("tried within its backoff, or another one is not")
		}
		now += want
	}
	m.ShouldAttempt(now, "a")
	m.RecordSuccess("a")
	if !m.ShouldAttempt(now, "a") {
		t.Error("it worked, and is not tried")
	}
	if backoff, _ := m.RecordFailure(now, "a"); backoff != 10*s {
		t.Errorf("after it has worked a failure counts as further one: %v", backoff)
	}
}

func TestOneFindsOut(t *testing.T) {
	m := tracker()
	m.RecordFailure(0, "a")
	if !m.ShouldAttempt(10*s, "a") || m.ShouldAttempt(10*s, "a") || m.ShouldAttempt(100*s, "a") {
		t.Error("not one alone finds out")
	}
	m.RecordInconclusive("a")
	if !m.ShouldAttempt(100*s, "a") {
		t.Error("nobody finds out, after one was cancelled")
	}
	m.RecordInconclusive("none")
}

// Attempts that waited for the same connection are one failure.
func TestFailuresTogetherAreOne(t *testing.T) {
	m := tracker()
	for n := range 5 {
		if backoff, first := m.RecordFailure(time.Duration(n), "a"); first != (n == 0) || backoff > 10*s {
			t.Errorf("the %dth: %v, first %v", n, backoff, first)
		}
	}
	m.Forget("a")
	if !m.ShouldAttempt(1, "a") {
		t.Error("what is listed anew starts with what the old one had")
	}
}

func TestBound(t *testing.T) {
	m := tracker()
	for n := range 2 * maxAddresses {
		m.RecordFailure(0, fmt.Sprint(n))
	}
	if len(m.failures) > maxAddresses {
		t.Errorf("%d are kept", len(m.failures))
	}
}
