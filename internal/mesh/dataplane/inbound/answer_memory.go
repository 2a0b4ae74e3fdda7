package inbound

import (
	"context"
	"time"

	"quincegap/internal/mesh/transport/membudget"
)

// minReservedAnswer is the size in bytes of the smallest answer whose memory is reserved. The memory of smaller ones is bounded by the
// number of the endpoint's slots.
const minReservedAnswer = 16 << 10

// answerMemory reserves the memory of the answer that is being read on a connection. The zero value reserves nothing.
type answerMemory struct {
	pool     *membudget.Pool
	closed   context.Context // done once the connection is closed
	deadline time.Time       // time until which reserveAll waits
	reserved int64           // bytes that are reserved in the pool
}

// reserveAll reserves the memory of a whole answer of n bytes. It waits for memory until the deadline, or until the connection is closed,
// and then returns the context's error.
func (a *answerMemory) reserveAll(n int64) error {
	if a.pool == nil || n < minReservedAnswer {
		return nil
	}
	ctx, cancel := context.WithDeadline(a.closed, a.deadline)
	defer cancel()
	if err := a.pool.ReserveWait(ctx, n); err != nil {
		return err
	}
	a.reserved += n
	return nil
}

// reserve reserves the memory of n bytes of an answer whose length is not known. It does not wait, since two answers of which parts are
// read could wait for each other.
func (a *answerMemory) reserve(n int64) error {
	if !a.pool.Reserve(n) {
		return errResponseMemory
	}
	a.reserved += n
	return nil
}

// release releases what is reserved.
func (a *answerMemory) release() { a.pool.Release(a.take()) }

// take hands over what is reserved to the caller, who must release it.
func (a *answerMemory) take() (reserved int64) {
	reserved = a.reserved
	a.reserved = 0
	return reserved
}
