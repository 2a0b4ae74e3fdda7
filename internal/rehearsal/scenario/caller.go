package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/emulator"
)

// Caller is an external client with one request. It decides when it sends its attempts and when it gives up.
type Caller struct {
	arrival  *Arrival
	class    *Class
	callers  *Callers
	random   *rand.Rand
	end      time.Duration // deadline of the request; the caller sends nothing from then on
	attempts int
}

// Caller returns the caller of the n-th arrival. began is the time at which it starts.
func (p *Plan) Caller(n int, began time.Duration) *Caller {
	arrival := &p.Arrivals[n]
	class := p.Classes[arrival.Class]
	return &Caller{
		arrival: arrival,
		class:   class,
		callers: &p.Callers,
		random:  rand.New(emulator.RandomSource(p.Seed, fmt.Sprint("caller ", n))),
		end:     began + class.Deadline,
	}
}

// PrefersFirstSidecar reports whether the n-th arrival is sent to the first sidecar whenever that sidecar is serving.
func (p *Plan) PrefersFirstSidecar(n int) bool {
	share := p.Callers.FirstSidecarShare
	return share > 0 && rand.New(emulator.RandomSource(p.Seed, fmt.Sprint("at first ", n))).Float64() < share
}

// NextAttempt starts an attempt. It returns the number of the attempt, from 1, and its timeout, or false if the caller's deadline has
// passed.
func (c *Caller) NextAttempt(now time.Duration) (number int, left time.Duration, ok bool) {
	c.attempts++
	left = min(time.Duration(c.arrival.Patience*float64(c.class.Deadline)), c.end-now)
	return c.attempts, left, left > 0
}

// IsRejected reports whether an HTTP status promises that the request had no effect, so that a retry is safe.
func IsRejected(status int) bool {
	return status == 503 || status == 429
}

// RetryAfter returns the delay before the caller's next attempt, or false if it doesn't retry. status is the status of the last answer
// (0 for no answer), and after its Retry-After.
func (c *Caller) RetryAfter(now time.Duration, status int, after time.Duration) (wait time.Duration, ok bool) {
	if status == 200 || c.attempts > c.callers.Retries {
		return 0, false
	}
	if c.class.Idempotency == balancer.NonIdempotent && !IsRejected(status) {
		return 0, false // the request may have run, and a retry could run it twice
	}
	wait = time.Duration((0.5 + c.random.Float64()) * float64(c.callers.Backoff) * float64(int(1)<<(c.attempts-1)))
	if IsRejected(status) && c.arrival.HonoursRetryAfter {
		wait = max(wait, after)
	}
	return wait, now+wait < c.end
}

// IdempotencyKey returns the Idempotency-Key of the n-th arrival. It is the same for all attempts.
func IdempotencyKey(n int) string { return fmt.Sprint("k", n) }

// RequestID returns the request ID of an attempt of the n-th arrival.
func RequestID(n, attempt int) string { return fmt.Sprintf("r%dt%d", n, attempt) }
