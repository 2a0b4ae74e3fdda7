package controlplane

import (
	"context"
	"sync"
)

// lifetime starts the goroutines of a Server's components, and waits for them when the Server is closed.
type lifetime struct {
	ctx    context.Context // cancelled by close
	cancel context.CancelFunc

	mu         sync.Mutex
	closed     bool // whether close was called; no goroutine starts after that
	goroutines sync.WaitGroup
}

func newLifetime() *lifetime {
	l := &lifetime{}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// start runs f in a goroutine and returns true. f has to return soon after close has cancelled its context. After a call of close, start
// returns false and does not run f.
func (l *lifetime) start(f func(ctx context.Context)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.goroutines.Add(1)
	go func() { // WaitGroup.Go would make one more allocation for each request to a peer
		defer l.goroutines.Done()
		f(l.ctx)
	}()
	return true
}

// close cancels ctx and waits until all goroutines have returned.
func (l *lifetime) close() {
	l.cancel()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.goroutines.Wait()
}
