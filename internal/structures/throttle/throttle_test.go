package throttle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// client makes random attempts, and counts their outcomes.
type client struct {
	throttle       Throttle
	now            time.Duration
	rate, capacity float64
	inFlight       int
	rejected       float64
	allowed        float64 // how many attempts may be in flight or rejected by now
}

// step plays one random event. Each response adds extra tokens.
func (c *client) step(t *rapid.T, extra float64) {
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		elapsed := time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
		c.now += elapsed
		c.allowed += c.rate * elapsed.Seconds()
		c.throttle.Update(c.now, c.rate, c.capacity, c.capacity)
	case 1:
		if c.throttle.Allowed() {
			c.throttle.RecordAttempt()
			c.inFlight++
		}
	case 2:
		if c.inFlight > 0 {
			c.inFlight--
			c.throttle.RecordResponse(extra)
			c.allowed += extra
		}
	case 3:
		if c.inFlight > 0 {
			c.inFlight--
			c.rejected++
		}
	}
}

// Over any events, attempts stay within what responses, time and the initial capacity allow, and a throttle without tokens allows
// attempts again after some time.
func TestAttemptsStayWithinWhatIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, rate := float64(rapid.IntRange(1, 20).Draw(t, "capacity")), rapid.Float64Range(0.1, 50).Draw(t, "rate")
		extra := rapid.Float64Range(0, 2).Draw(t, "extra")
		c := client{now: time.Second, rate: rate, capacity: capacity, allowed: capacity}
		c.throttle.Update(c.now, rate, capacity, capacity)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			c.step(t, extra)
			if float64(c.inFlight)+c.rejected > c.allowed+1e-6 {
				t.Fatalf("%v attempts rejected and %d in flight; %v were allowed", c.rejected, c.inFlight, c.allowed)
			}
		}
		c.throttle.Update(c.now+time.Duration(float64(time.Second)*(capacity+1)/rate)+time.Second, rate, capacity, capacity)
		if !c.throttle.Allowed() {
			t.Fatal("no attempt is ever allowed again")
		}
	})
}

// Tokens that are not used do not accumulate beyond the capacity, and a lower capacity discards those above it.
func TestNoMoreIsSavedThanTheBound(t *testing.T) {
	var throttle Throttle
	throttle.Update(0, 10, 2, 8)
	throttle.Update(time.Hour, 10, 2, 8)
	throttle.RecordResponse(5)
	throttle.Update(time.Hour, 10, 2, 3)
	for attempts := 0; ; attempts++ {
		if !throttle.Allowed() {
			if attempts != 3 {
				t.Errorf("%d attempts, want 3", attempts)
			}
			return
		}
		throttle.RecordAttempt()
	}
}
