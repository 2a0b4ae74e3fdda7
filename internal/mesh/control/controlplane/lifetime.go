package controlplane

import (
	"context"
	"sync"
)

// lifetime is the time for which a Server is open. It owns the goroutines that the server's parts start, and waits for them.
type lifetime struct {
	ctx    context.Context // is cancelled by close
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

// start runs f in a goroutine. f has to return soon after its context is cancelled, which close does. Once close was called start
// returns false and f does not run.
func (l *lifetime) start(f func(ctx context.Context)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.goroutines.Add(1)
	go func() { // by hand, as WaitGroup.Go would allocate once more for each request to a peer
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
