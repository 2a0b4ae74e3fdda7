package consul

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 10 * time.Second
	maxBackoffDoublings = 10 // beyond maxBackoff, and far from an overflow
)

// backoff is the pause after all agents have failed n times, n at least 1: with jitter, between half of its value and all of it.
func backoff(n int) time.Duration {
	d := minBackoff << min(n-1, maxBackoffDoublings)
	d = min(d, maxBackoff)
	return d/2 + rand.N(d/2+1)
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
