package membudget

import (
	"context"
	"errors"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Requests leave memory to answers, and a pool does not exceed its own limit even if the budget has memory left.
func TestLimits(t *testing.T) {
	var budget Budget
	requests := budget.Pool(60, 80)
	others := budget.Pool(60, 80)
	answers := budget.Pool(100, 100)
	qt.Assert(t, requests.Reserve(61), qt.IsFalse)
	qt.Assert(t, requests.Reserve(60), qt.IsTrue)
	qt.Assert(t, others.Reserve(21), qt.IsFalse)
	qt.Assert(t, others.Reserve(20), qt.IsTrue)
	qt.Assert(t, answers.Reserve(20), qt.IsTrue)
	qt.Assert(t, answers.Reserve(1), qt.IsFalse)
	answers.Charge(30)
	qt.Assert(t, []int64{requests.Used(), others.Used(), answers.Used()}, qt.DeepEquals, []int64{60, 20, 50})
	requests.Release(60)
	qt.Assert(t, answers.Reserve(30), qt.IsTrue)
	qt.Assert(t, answers.Reserve(1), qt.IsFalse)
}

// A waiting reservation succeeds once another pool of the budget has released enough, and ends with its context.
func TestReserveWait(t *testing.T) {
	var budget Budget
	requests := budget.Pool(100, 100)
	answers := budget.Pool(100, 100)
	qt.Assert(t, requests.Reserve(90), qt.IsTrue)
	reserved := make(chan error, 1)
	go func() { reserved <- answers.ReserveWait(t.Context(), 50) }()
	for range 5 {
		requests.Release(10)
	}
	qt.Assert(t, <-reserved, qt.IsNil)
	qt.Assert(t, answers.Used(), qt.Equals, int64(50))

	ctx, cancel := context.WithCancel(t.Context())
	go func() { reserved <- answers.ReserveWait(ctx, 50) }()
	cancel()
	qt.Assert(t, errors.Is(<-reserved, context.Canceled), qt.IsTrue)
	qt.Assert(t, answers.Used(), qt.Equals, int64(50))
}

// A large reservation is served before smaller ones that came later, and these are served if it gives up.
func TestReservationsWaitInOrder(t *testing.T) {
	pool := NewPool(100)
	qt.Assert(t, pool.Reserve(60), qt.IsTrue)
	ctx, giveUp := context.WithCancel(t.Context())
	large, small := make(chan error, 1), make(chan error, 1)
	go func() { large <- pool.ReserveWait(ctx, 90) }()
	waitForWaiters(pool, 1)
	go func() { small <- pool.ReserveWait(t.Context(), 30) }()
	waitForWaiters(pool, 2)
	pool.Release(20)
	qt.Assert(t, pool.Used(), qt.Equals, int64(40))
	giveUp()
	qt.Assert(t, errors.Is(<-large, context.Canceled), qt.IsTrue)
	qt.Assert(t, <-small, qt.IsNil)
	qt.Assert(t, pool.Used(), qt.Equals, int64(70))
}

// A reservation that never fits fails at once, and holds up no other.
func TestTooLargeReservationDoesNotWait(t *testing.T) {
	pool := new(Budget).Pool(100, 50)
	qt.Assert(t, errors.Is(pool.ReserveWait(t.Context(), 51), ErrTooLarge), qt.IsTrue)
	qt.Assert(t, pool.ReserveWait(t.Context(), 50), qt.IsNil)
}

// waitForWaiters waits until a number of reservations wait.
func waitForWaiters(pool *Pool, n int) {
	for {
		pool.budget.mu.Lock()
		waiting := pool.waiting.Len()
		pool.budget.mu.Unlock()
		if waiting == n {
			return
		}
		runtime.Gosched()
	}
}

func TestNilPoolHasNoLimits(t *testing.T) {
	var pool *Pool
	qt.Assert(t, pool.Reserve(1<<60), qt.IsTrue)
	qt.Assert(t, pool.ReserveWait(t.Context(), 1<<60), qt.IsNil)
	pool.Charge(1)
	pool.Release(1)
	qt.Assert(t, pool.Used(), qt.Equals, int64(0))
}
