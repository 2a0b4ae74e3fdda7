package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// The limits of the delay between attempts.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// backoff waits for random times between attempts, so that competing proposers do not preempt each other repeatedly.
type backoff struct {
	ctx context.Context // context of the Server; when it ends, every wait ends

	mu     sync.Mutex
	random *rand.Rand
}

// wait waits for a random time between a quarter and five quarters of delay, but at most for maxBackoff. It doubles delay for the next
// attempt, up to maxBackoff. If ctx or the Server's context ends first, it returns the error of that context.
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
