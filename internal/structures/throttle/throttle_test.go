package throttle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes, attempts stay within what answers, time and the bound at first allow; and one that has been shut
// opens again by itself.
func TestAttemptsStayWithinWhatIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Throttle
		most, rate := float64(rapid.IntRange(1, 20).Draw(t, "most")), rapid.Float64Range(0.1, 50).Draw(t, "rate")
		more := rapid.Float64Range(0, 2).Draw(t, "more")
		now, out, vain, allowed := time.Second, 0, 0.0, most
		b.Update(now, rate, most, most)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				dt := time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
				now += dt
				allowed += rate * dt.Seconds()
				b.Update(now, rate, most, most)
			case 1:
				if b.Allowed() {
					b.RecordAttempt()
					out++
				}
			case 2:
				if out > 0 {
					out--
					b.RecordResponse(more)
					allowed += more
				}
			case 3:
				if out > 0 {
					out--
					vain++
				}
			}
			if float64(out)+vain > allowed+1e-6 {
				t.Fatalf("%v attempts in vain and %d out; %v were allowed", vain, out, allowed)
			}
		}
		b.Update(now+time.Duration(float64(time.Second)*(most+1)/rate)+time.Second, rate, most, most)
		if !b.Allowed() {
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
