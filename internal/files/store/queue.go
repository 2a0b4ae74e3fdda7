package store

import (
	"sync"
	"time"
)

// pendingBatch is a batch that is not durable yet.
type pendingBatch struct {
	Batch
	done func(error) // receives the result of the write
}

// batchQueue is the queue of batches for the committer. It is safe for concurrent use.
type batchQueue struct {
	maxBytes int64         // limit of pendingBytes
	wake     chan struct{} // wakes the committer to take the batches; buffers one signal

	mu           sync.Mutex     // guards the fields below
	batches      []pendingBatch // queued batches, in the order in which they were added
	pendingBytes int64          // encoded size of the batches that are queued or being written
	closing      bool           // whether close was called
	timerSet     bool           // whether a timer will signal wake for delayed batches
}

func newBatchQueue(maxBytes int64) *batchQueue {
	return &batchQueue{maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// add queues a batch. It returns ErrClosed after close, and ErrBusy if the batch would exceed maxBytes. A batch of any size is
// accepted if no other is pending.
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

// take removes and returns all queued batches. If closing is true, no more batches will be added.
func (q *batchQueue) take() (group []pendingBatch, closing bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	group = q.batches
	q.batches = nil
	q.timerSet = false
	return group, q.closing
}

// release subtracts the size of batches that were taken, after they have become durable or have failed.
func (q *batchQueue) release(group []pendingBatch) {
	size := int64(0)
	for i := range group {
		size += group[i].size
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingBytes -= size
}

// close makes the committer end after it has written the queued batches. It returns ErrClosed if the queue was already closed.
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
