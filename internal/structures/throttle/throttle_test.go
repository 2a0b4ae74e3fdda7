package throttle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// client makes attempts at random, and counts what they come to.
type client struct {
	throttle       Throttle
	now            time.Duration
	rate, capacity float64
	inFlight       int
	rejected       float64
	allowed        float64 // attempts that may have come to nothing by now
}

// step is one random event. Each response allows so many attempts more.
func (c *client) step(t *rapid.T, more float64) {
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
			c.throttle.RecordResponse(more)
			c.allowed += more
		}
	case 3:
		if c.inFlight > 0 {
			c.inFlight--
			c.rejected++
		}
	}
}

// Whatever comes, attempts stay within what responses, time and the capacity at first allow; and one that has been shut
// opens again by itself.
func TestAttemptsStayWithinWhatIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, rate := float64(rapid.IntRange(1, 20).Draw(t, "capacity")), rapid.Float64Range(0.1, 50).Draw(t, "rate")
		more := rapid.Float64Range(0, 2).Draw(t, "more")
		c := client{now: time.Second, rate: rate, capacity: capacity, allowed: capacity}
		c.throttle.Update(c.now, rate, capacity, capacity)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			c.step(t, more)
			if float64(c.inFlight)+c.rejected > c.allowed+1e-6 {
				t.Fatalf("%v attempts rejected and %d in flight; %v were allowed", c.rejected, c.inFlight, c.allowed)
			}
		}
		c.throttle.Update(c.now+time.Duration(float64(time.Second)*(capacity+1)/rate)+time.Second, rate, capacity, capacity)
		if !c.throttle.Allowed() {
			t.Fatal("shut for good")
		}
	})
}

// What was not used is not saved up beyond the bound, and a bound that falls takes what is above it.
func TestNoMoreIsSavedThanTheBound(t *testing.T) {
	var b Throttle
	b.Update(0, 10, 2, 8)
	b.Update(time.Hour, 10, 2, 8)
	b.RecordResponse(5)
	b.Update(time.Hour, 10, 2, 3)
	for n := 0; ; n++ {
		if !b.Allowed() {
			if n != 3 {
				t.Errorf("%d attempts, want 3", n)
			}
			return
		}
		b.RecordAttempt()
	}
}
