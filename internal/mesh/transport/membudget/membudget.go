// Package membudget bounds the memory that the large messages of a process use together.
//
// A Budget counts the bytes of all its pools. Each Pool stands for one use of memory, such as the bodies of clients' requests, and has two
// limits: one for its own bytes, and one for the bytes of the whole budget up to which it may still grow. A pool with a lower limit of the
// second kind leaves memory to the others: new requests are rejected while there is still memory for answers to earlier ones.
//
//	           bytes of the budget
//	0 ------------------------------|-------------------|
//	  requests may grow up to here -+                   |
//	  answers may grow up to here ----------------------+
//
// The package only counts. Whoever holds memory reserves it before it is allocated, and releases as much as it has reserved.
package membudget

import (
	"context"
	"errors"
	"math"
	"sync"

	"github.com/gammazero/deque"
)

// ErrTooLarge is returned for a reservation that exceeds the limits of an empty budget.
var ErrTooLarge = errors.New("membudget: the reservation exceeds the limits")

// Budget is the memory that its pools share. It is safe for concurrent use. The zero value is an empty budget.
type Budget struct {
	mu    sync.Mutex
	used  int64 // bytes of all pools
	pools []*Pool
}

// Pool is one use of a budget's memory. A nil Pool has no limits and counts nothing.
type Pool struct {
	budget     *Budget
	limit      int64                // largest number of bytes of this pool
	totalLimit int64                // largest number of bytes of the whole budget with which this pool may grow
	used       int64                // guarded by the budget's mutex
	waiting    deque.Deque[*waiter] // calls of ReserveWait in the order of their arrival; guarded by the budget's mutex
}

// waiter is a call of ReserveWait that waits.
type waiter struct {
	bytes   int64
	granted chan struct{} // closed once the bytes are reserved
}

// Pool adds a pool of at most limit bytes, which grows only while the whole budget has at most totalLimit bytes. All pools must be added
// before the first reservation.
func (b *Budget) Pool(limit, totalLimit int64) *Pool {
	p := &Pool{budget: b, limit: limit, totalLimit: totalLimit}
	b.pools = append(b.pools, p)
	return p
}

// NewPool returns a pool of at most limit bytes with a budget of its own.
func NewPool(limit int64) *Pool { return new(Budget).Pool(limit, math.MaxInt64) }

// Used returns the number of bytes that are reserved.
func (p *Pool) Used() int64 {
	if p == nil {
		return 0
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.used
}

// Reserve reserves n bytes, and reports whether they were within the limits.
func (p *Pool) Reserve(n int64) bool {
	if p == nil {
		return true
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.reserveLocked(n)
}

func (p *Pool) reserveLocked(n int64) bool {
	if p.used+n > p.limit || p.budget.used+n > p.totalLimit {
		return false
	}
	p.used += n
	p.budget.used += n
	return true
}

// ReserveWait reserves n bytes, and waits until they are within the limits. Waiting calls are served in the order of their arrival, so that
// small ones do not starve a large one. It returns the error of ctx if that ends before, and ErrTooLarge if n never fits. A caller that has
// reserved bytes already must not wait for more: two such callers could wait for each other.
func (p *Pool) ReserveWait(ctx context.Context, n int64) error {
	if p == nil {
		return nil
	}
	if n > min(p.limit, p.totalLimit) {
		return ErrTooLarge
	}
	w := p.reserveOrQueue(n)
	if w == nil {
		return nil
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	if p.leave(w) {
		return ctx.Err()
	}
	return nil // granted in the meantime
}

// reserveOrQueue reserves n bytes and returns nil, or returns a waiter.
func (p *Pool) reserveOrQueue(n int64) *waiter {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	if p.waiting.Len() == 0 && p.reserveLocked(n) {
		return nil
	}
	w := &waiter{bytes: n, granted: make(chan struct{})}
	p.waiting.PushBack(w)
	return w
}

// leave removes a waiter. It returns false if its bytes were reserved before.
func (p *Pool) leave(w *waiter) bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	i := p.waiting.Index(func(other *waiter) bool { return other == w })
	if i < 0 {
		return false
	}
	p.waiting.Remove(i)
	p.grantLocked()
	return true
}

// grantLocked reserves the bytes of those waiters, in order, that are within the limits now.
func (p *Pool) grantLocked() {
	for p.waiting.Len() > 0 && p.reserveLocked(p.waiting.Front().bytes) {
		close(p.waiting.PopFront().granted)
	}
}

// Charge reserves n bytes even if they exceed the limits. It is for bytes that are held already and can't be given up, such as an answer
// that is complete.
func (p *Pool) Charge(n int64) {
	if p == nil || n == 0 {
		return
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.used += n
	p.budget.used += n
}

// Release releases n bytes that were reserved or charged.
func (p *Pool) Release(n int64) {
	if p == nil || n == 0 {
		return
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.used -= n
	p.budget.used -= n
	for _, pool := range p.budget.pools {
		pool.grantLocked()
	}
}
