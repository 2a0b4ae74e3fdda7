package store

import (
	"cmp"
	"time"
)

// maxKeptBuffer is the largest buffer in bytes that is kept for the next group.
const maxKeptBuffer = 1 << 20

// committer makes queued batches durable, in a goroutine that ends after the queue was closed. Only that goroutine uses the fields,
// except that recovery sets some before it starts, and close uses them after it has ended.
type committer struct {
	store *Store
	done  chan struct{} // closed when the goroutine has ended

	segment    *segment // the last one
	file       File     // of segment; nil if segment is sealed or abandoned
	nextSeq    uint64   // sequence number of the next record
	durableSeq uint64   // all records up to this one are durable
	failedSeqs seqRange // records whose write has failed since the last segment was created
	retryAt    int64    // uptime in ms from which on a segment is created after a failure
	backoff    time.Duration
	buffer     []byte
	offsets    []uint32 // in buffer: the start of each record, and the end of the last
}

func newCommitter(s *Store) *committer {
	return &committer{store: s, done: make(chan struct{}), backoff: s.options.MinBackoff}
}

// run writes the queued batches, with one sync for all batches that are in the queue at a time.
func (c *committer) run() {
	defer close(c.done)
	queue := c.store.queue
	for range queue.wake {
		group, closing := queue.take()
		if len(group) > 0 {
			c.commit(group)
			queue.release(group)
		}
		if closing {
			return
		}
	}
}

// commit writes a group of batches, and calls done of each with its result.
func (c *committer) commit(group []pendingBatch) {
	c.store.dropExpired()
	errs := make([]error, len(group))
	if c.store.admit(group, errs) > 0 {
		if err := c.write(group, errs); err != nil {
			for i := range errs {
				errs[i] = cmp.Or(errs[i], err)
			}
		}
	}
	for i := range group {
		group[i].done(errs[i])
	}
	c.store.compactor.maintain()
}

// write makes the batches of a group without an error durable, and adds their records to the index.
func (c *committer) write(group []pendingBatch, errs []error) error {
	if err := c.ensureSegment(); err != nil {
		return err
	}
	firstSeq := c.nextSeq
	frames := c.encode(group, errs)
	n, err := writeAndSync(c.file, frames)
	if err != nil {
		c.abandonSegment(firstSeq, n, err)
		return err
	}
	c.durableSeq = c.nextSeq - 1
	c.publish(group, errs, len(frames))
	c.backoff = c.store.options.MinBackoff
	if c.segment.size >= c.store.options.SegmentBytes {
		c.rotate()
	}
	return nil
}

// ensureSegment creates a segment if there is no active one. During the backoff after a failure it returns the last error instead.
func (c *committer) ensureSegment() error {
	if c.file != nil {
		return nil
	}
	if c.store.options.Clock().UptimeMillis < c.retryAt {
		return c.store.Health().Err
	}
	if err := c.roll(); err != nil {
		c.recordFailure(err)
		return err
	}
	return nil
}

// encode sets the sequence numbers and the expiry of the records in a group, and returns the frames to write. It sets c.offsets. The
// result is valid until the next call.
func (c *committer) encode(group []pendingBatch, errs []error) []byte {
	now := c.store.clock.now()
	b := appendFrame(c.buffer[:0], &frame{kind: kindGroup, seq: c.nextSeq, durableSeq: c.durableSeq, storeTime: now})
	c.offsets = c.offsets[:0]
	for i := range group {
		if errs[i] != nil {
			continue
		}
		records := group[i].records
		for j := range records {
			f := &records[j]
			f.seq = c.nextSeq
			f.moreInBatch = j < len(records)-1
			c.nextSeq++
			if f.kind == kindPut {
				f.expiresAt = expiryTime(now, f.expiresAt)
			}
			c.offsets = append(c.offsets, uint32(len(b)))
			b = appendFrame(b, f)
		}
	}
	c.offsets = append(c.offsets, uint32(len(b)))
	c.buffer = b
	if cap(b) > maxKeptBuffer {
		c.buffer = nil
	}
	return b
}

// expiryTime returns the store time at which a record with the given retention expires, all in ms. A retention of 0 has no end.
func expiryTime(now, retention int64) int64 {
	if retention == 0 {
		return never
	}
	return now + retention
}

// publish adds the records of a group to the index after they have become durable. written is the size of the group in bytes.
func (c *committer) publish(group []pendingBatch, errs []error, written int) {
	store := c.store
	store.mu.Lock()
	defer store.mu.Unlock()
	start := uint32(c.segment.size)
	next := 0
	for i := range group {
		if errs[i] != nil {
			continue
		}
		records := group[i].records
		for j := range records {
			offset, end := c.offsets[next], c.offsets[next+1]
			store.index.add(c.segment, &records[j], start+offset, end-offset)
			next++
		}
	}
	c.segment.size += int64(written)
	c.segment.lastSeq = c.durableSeq
	store.health.Err = nil
}

// abandonSegment stops writing to the active segment after a write or sync has failed. The kernel may have dropped the pages that
// the sync failed for, and report success for the next sync. Durable records of the segment are read as before. firstSeq is the
// first record of the failed group, written the number of bytes that were written.
func (c *committer) abandonSegment(firstSeq uint64, written int, err error) {
	c.failedSeqs.end = c.nextSeq
	if c.failedSeqs.first == 0 {
		c.failedSeqs.first = firstSeq
	}
	c.file = nil
	c.store.mu.Lock()
	c.segment.size += int64(written)
	c.store.mu.Unlock()
	c.recordFailure(err)
}

// recordFailure adds a failure of the disk to Health, and starts the backoff.
func (c *committer) recordFailure(err error) {
	options := &c.store.options
	c.store.recordFailure(err)
	c.retryAt = options.Clock().UptimeMillis + c.backoff.Milliseconds()
	c.backoff = min(2*c.backoff, options.MaxBackoff)
}

// rotate seals the active segment and creates the next one. An error loses nothing: the next group creates a segment again.
func (c *committer) rotate() {
	err := c.seal()
	if err == nil {
		err = c.roll()
	}
	if err != nil {
		c.recordFailure(err)
	}
}

// close seals the active segment, if there is one.
func (c *committer) close() error {
	if c.file == nil {
		return nil
	}
	return c.seal()
}

// seal ends the active segment with a seal frame.
func (c *committer) seal() error {
	seg, file := c.segment, c.file
	c.file = nil
	n, err := writeAndSync(file, appendFrame(nil, &frame{
		kind:          kindSeal,
		seq:           c.nextSeq - 1,
		expiresAt:     seg.expiresAt,
		shadowedUntil: seg.shadowedUntil,
		records:       seg.records,
	}))
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if err == nil {
		seg.sealed = true
	}
	seg.size += int64(n)
	return err
}

// roll creates a segment, and makes it the active one.
func (c *committer) roll() error {
	store := c.store
	store.mu.Lock()
	id := store.allocateID()
	store.mu.Unlock()
	newHeader := header{
		storeID:    store.id,
		id:         id,
		firstSeq:   c.nextSeq,
		durableSeq: c.durableSeq,
		failedSeqs: c.failedSeqs,
		timestamp:  store.options.Clock(),
		storeTime:  store.clock.now(),
	}
	if c.segment != nil {
		newHeader.previousID = c.segment.id
	}
	name := segmentName(newHeader.id)
	file, err := store.fs.Create(name)
	if err != nil {
		return err
	}
	n, err := writeAndSync(file, newHeader.encode())
	if err == nil {
		err = store.fs.SyncDir()
	}
	if err != nil {
		_ = file.Close()
		_ = store.fs.Remove(name) // if the file remains, it is a segment without a record
		return err
	}
	c.file = file
	c.failedSeqs = seqRange{}
	c.segment = &segment{header: newHeader, name: name, file: file, size: int64(n)}
	store.mu.Lock()
	store.segments = append(store.segments, c.segment)
	store.mu.Unlock()
	return nil
}
