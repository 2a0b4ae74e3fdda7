package throttle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// client simulates random attempts of a client, and counts their outcomes.
type client struct {
	throttle       Throttle
	now            time.Duration
	rate, capacity float64
	inFlight       int
	rejected       float64
	maxAttempts    float64 // the number of attempts that may be in flight or rejected so far
}

// step simulates one random event. Each response adds extra tokens.
func (c *client) step(t *rapid.T, extra float64) {
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		elapsed := time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
		c.now += elapsed
		c.maxAttempts += c.rate * elapsed.Seconds()
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
			c.maxAttempts += extra
		}
	case 3:
		if c.inFlight > 0 {
			c.inFlight--
			c.rejected++
		}
	}
}

// For any events, the number of attempts is limited by the initial capacity and by the tokens that responses and time add. A throttle
// without tokens allows attempts again after some time.
func TestAttemptsAreLimitedByEarnedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, rate := float64(rapid.IntRange(1, 20).Draw(t, "capacity")), rapid.Float64Range(0.1, 50).Draw(t, "rate")
		extra := rapid.Float64Range(0, 2).Draw(t, "extra")
		c := client{now: time.Second, rate: rate, capacity: capacity, maxAttempts: capacity}
		c.throttle.Update(c.now, rate, capacity, capacity)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			c.step(t, extra)
			if float64(c.inFlight)+c.rejected > c.maxAttempts+1e-6 {
				t.Fatalf("%v attempts rejected and %d in flight, want at most %v in total", c.rejected, c.inFlight, c.maxAttempts)
			}
		}
		c.throttle.Update(c.now+time.Duration(float64(time.Second)*(capacity+1)/rate)+time.Second, rate, capacity, capacity)
		if !c.throttle.Allowed() {
			t.Fatal("no attempt is allowed after the time in which the tokens are refilled to the capacity")
		}
	})
}

// Unused tokens do not accumulate above the capacity, and reducing the capacity discards the tokens above it.
func TestTokensAreLimitedByTheCapacity(t *testing.T) {
	var throttle Throttle
	throttle.Update(0, 10, 2, 8)
	throttle.Update(time.Hour, 10, 2, 8)
	throttle.RecordResponse(5)
	throttle.Update(time.Hour, 10, 2, 3)
	for attempts := 0; ; attempts++ {
		if !throttle.Allowed() {
			if attempts != 3 {
				t.Errorf("%d attempts allowed at a capacity of 3, want 3", attempts)
			}
			return
		}
		throttle.RecordAttempt()
	}
}
