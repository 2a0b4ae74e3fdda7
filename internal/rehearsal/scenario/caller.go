package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/emulator"
)

// Caller is a client from outside. It decides when it sends its attempts, and when it gives up.
type Caller struct {
	arrival  *Arrival
	class    *Class
	callers  *Callers
	random   *rand.Rand
	end      time.Duration // it sends nothing from then on
	attempts int
}

// Caller returns the caller of the n-th arrival, who came at a time.
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

// PrefersFirstSidecar reports whether the n-th arrival goes to the first sidecar, if that serves.
func (p *Plan) PrefersFirstSidecar(n int) bool {
	share := p.Callers.FirstSidecarShare
	return share > 0 && rand.New(emulator.RandomSource(p.Seed, fmt.Sprint("at first ", n))).Float64() < share
}

// NextAttempt begins an attempt: its number from 1, and how long the caller waits for it; false if its time is up.
func (c *Caller) NextAttempt(now time.Duration) (number int, left time.Duration, ok bool) {
	c.attempts++
	left = min(time.Duration(c.arrival.Patience*float64(c.class.Deadline)), c.end-now)
	return c.attempts, left, left > 0
}

// IsRejected reports whether a status promises that the request had no effect, so that a retry is harmless.
func IsRejected(status int) bool {
	return status == 503 || status == 429
}

// RetryAfter returns the backoff before the caller's next attempt, after an answer with a status (0 for no answer) and Retry-After; false
// if it makes none.
func (c *Caller) RetryAfter(now time.Duration, status int, after time.Duration) (wait time.Duration, ok bool) {
	if status == 200 || c.attempts > c.callers.Retries {
		return 0, false
	}
	if c.class.Idempotency == balancer.NonIdempotent && !IsRejected(status) {
		return 0, false // it may have run
	}
	wait = time.Duration((0.5 + c.random.Float64()) * float64(c.callers.Backoff) * float64(int(1)<<(c.attempts-1)))
	if IsRejected(status) && c.arrival.HonoursRetryAfter {
		wait = max(wait, after)
	}
	return wait, now+wait < c.end
}

// IdempotencyKey returns the Idempotency-Key of the n-th arrival, the same at each attempt.
func IdempotencyKey(n int) string { return fmt.Sprint("k", n) }

// RequestID returns the id of an attempt of the n-th arrival.
func RequestID(n, attempt int) string { return fmt.Sprintf("r%dt%d", n, attempt) }
