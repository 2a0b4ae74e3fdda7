package consul

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 10 * time.Second
	maxBackoffDoublings = 10 // enough to exceed maxBackoff, and too few to overflow
)

// backoff returns the pause after all agents have failed n times; n is at least 1. The nominal pause doubles each time, up to maxBackoff;
// jitter shortens it to between half and all of that.
func backoff(n int) time.Duration {
	d := minBackoff << min(n-1, maxBackoffDoublings)
	d = min(d, maxBackoff)
	return d/2 + rand.N(d/2+1)
}

// pause waits for d, or until ctx is done. It returns at once if d is not positive.
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
