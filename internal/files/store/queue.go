package store

import (
	"sync"
	"time"
)

// pendingBatch is a batch that is not durable yet.
type pendingBatch struct {
	Batch
	done func(error)
}

// batchQueue holds the batches for the committer. It is safe for concurrent use.
type batchQueue struct {
	maxBytes int64
	wake     chan struct{} // wakes the committer to take the batches; buffers one signal

	mu           sync.Mutex // guards the fields below
	batches      []pendingBatch
	pendingBytes int64 // of the queued batches and of those that are being written
	closing      bool
	timerSet     bool // a timer will signal wake, for batches that may be delayed
}

func newBatchQueue(maxBytes int64) *batchQueue {
	return &batchQueue{maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// add queues a batch, or returns ErrClosed or ErrBusy. A batch that is larger than the queue is accepted if nothing is pending.
func (q *batchQueue) add(b Batch, done func(error)) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.closing:
		return ErrClosed
	case q.pendingBytes > 0 && q.pendingBytes+b.size > q.maxBytes:
		return ErrBusy
	}
	q.pendingBytes += b.size
	q.batches = append(q.batches, pendingBatch{b, done})
	switch {
	case b.maxDelay <= 0 || q.pendingBytes > q.maxBytes/2:
		q.signal()
	case !q.timerSet:
		q.timerSet = true
		time.AfterFunc(b.maxDelay, q.signal)
	}
	return nil
}

// signal wakes the committer.
func (q *batchQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes and returns all batches. If closing is true, no batch is added any more.
func (q *batchQueue) take() (group []pendingBatch, closing bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	group = q.batches
	q.batches = nil
	q.timerSet = false
	return group, q.closing
}

// release subtracts the bytes of batches that were taken, once they are durable or have failed.
func (q *batchQueue) release(group []pendingBatch) {
	size := int64(0)
	for i := range group {
		size += group[i].size
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingBytes -= size
}

// close makes the committer end after the batches that are queued. It returns ErrClosed if it was called before.
func (q *batchQueue) close() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closing {
		return ErrClosed
	}
	q.closing = true
	q.signal()
	return nil
}
