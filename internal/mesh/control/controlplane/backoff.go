package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// backoff draws the random waits between attempts, so that proposers that compete do not meet again and again.
type backoff struct {
	ctx context.Context // of the Server; its end ends every wait

	mu     sync.Mutex
	random *rand.Rand
}

// wait waits for a random time between a quarter and five quarters of delay, at most maxBackoff, and doubles delay for the next
// attempt, up to maxBackoff. If a context ends first, it returns the error of that context.
func (b *backoff) wait(ctx context.Context, delay *time.Duration) error {
	b.mu.Lock()
	jittered := *delay/4 + time.Duration(b.random.Int64N(int64(*delay)))
	b.mu.Unlock()
	*delay = min(2**delay, maxBackoff)
	timer := time.NewTimer(min(jittered, maxBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-b.ctx.Done():
		return trace.Wrap(b.ctx.Err())
	}
}
