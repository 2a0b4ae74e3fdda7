package protocolfallback

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

func memory() *Tracker {
	return &Tracker{Settings: Settings{InitialBackoff: 10 * s, MaxBackoff: 35 * s}}
}

func TestPausesDouble(t *testing.T) {
	m := memory()
	now := time.Duration(0)
	for _, want := range []time.Duration{10 * s, 20 * s, 35 * s, 35 * s} {
		if !m.ShouldAttempt(now, "a") {
			t.Fatalf("at %v it is not tried", now)
		}
		if pause, news := m.RecordFailure(now, "a"); pause != want || !news {
			t.Fatalf("a pause of %v, news %v, want %v", pause, news, want)
		}
		if m.ShouldAttempt(now+want-1, "a") || !m.ShouldAttempt(now, "b") {
			t.Fatal("tried within its pause, or another one is not")
		}
		now += want
	}
	m.ShouldAttempt(now, "a")
	m.RecordSuccess("a")
	if !m.ShouldAttempt(now, "a") {
		t.Error("it worked, and is not tried")
	}
	if pause, _ := m.RecordFailure(now, "a"); pause != 10*s {
		t.Errorf("after it has worked a failure counts as further one: %v", pause)
	}
}

func TestOneFindsOut(t *testing.T) {
	m := memory()
	m.RecordFailure(0, "a")
	if !m.ShouldAttempt(10*s, "a") || m.ShouldAttempt(10*s, "a") || m.ShouldAttempt(100*s, "a") {
		t.Error("not one alone finds out")
	}
	m.RecordInconclusive("a")
	if !m.ShouldAttempt(100*s, "a") {
		t.Error("nobody finds out, after one was called off")
	}
	m.RecordInconclusive("none")
}

// Attempts that waited for the same connection are one failure.
func TestFailuresTogetherAreOne(t *testing.T) {
	m := memory()
	for n := range 5 {
		if pause, news := m.RecordFailure(time.Duration(n), "a"); news != (n == 0) || pause > 10*s {
			t.Errorf("the %dth: %v, news %v", n, pause, news)
		}
	}
	m.Forget("a")
	if !m.ShouldAttempt(1, "a") {
		t.Error("what is listed anew starts with what the old one had")
	}
}

func TestBound(t *testing.T) {
	m := memory()
	for n := range 2 * maxAddresses {
		m.RecordFailure(0, fmt.Sprint(n))
	}
	if len(m.failures) > maxAddresses {
		t.Errorf("%d are kept", len(m.failures))
	}
}
