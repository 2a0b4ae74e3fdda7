package controlplane

import (
	"context"
	"sync"
)

// lifetime owns the goroutines that a Server's parts start, and waits for them when the Server is closed.
type lifetime struct {
	ctx    context.Context // cancelled by close
	cancel context.CancelFunc

	mu         sync.Mutex
	closed     bool
	goroutines sync.WaitGroup
}

func newLifetime() *lifetime {
	l := &lifetime{}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// start runs f in a goroutine. f has to return soon after close has cancelled its context. After a call of close, start returns false
// and does not run f.
func (l *lifetime) start(f func(ctx context.Context)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.goroutines.Add(1)
	go func() { // not WaitGroup.Go, which would allocate once more for each request to a peer
		defer l.goroutines.Done()
		f(l.ctx)
	}()
	return true
}

// close cancels ctx and waits for all goroutines.
func (l *lifetime) close() {
	l.cancel()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.goroutines.Wait()
}
