package consul

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 10 * time.Second
	maxBackoffDoublings = 10 // exceeds maxBackoff without an overflow
)

// backoff returns the pause after all agents have failed n times, n at least 1. Jitter makes it half as long to as long as its nominal
// value, which doubles each time up to maxBackoff.
func backoff(n int) time.Duration {
	d := minBackoff << min(n-1, maxBackoffDoublings)
	d = min(d, maxBackoff)
	return d/2 + rand.N(d/2+1)
}

// pause waits for d, or until the context ends.
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
