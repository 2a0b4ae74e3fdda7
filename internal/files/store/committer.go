package store

import (
	"cmp"
	"time"
)

// maxRetainedBufferBytes is the capacity above which the buffer is discarded instead of being reused for the next group.
const maxRetainedBufferBytes = 1 << 20

// committer makes queued batches durable, in a goroutine that ends after the queue has been closed. Only that goroutine accesses the
// fields, except that recovery sets some before the goroutine starts, and close uses them after it has ended.
type committer struct {
	store *Store
	done  chan struct{} // closed when the goroutine has ended

	segment    *segment      // last segment of the log
	file       File          // file of segment, open for appending; nil if segment is sealed or abandoned
	nextSeq    uint64        // sequence number of the next record
	durableSeq uint64        // sequence number up to which all records are durable
	failedSeqs seqRange      // sequence numbers whose write has failed since the last segment was created
	retryAt    int64         // uptime in ms before which no segment is created after a failure
	backoff    time.Duration // time to wait after the next failure
	buffer     []byte        // encoded frames of the last group, reused for the next one
	offsets    []uint32      // offsets in buffer of the start of each record and of the end of the last record
}

func newCommitter(s *Store) *committer {
	return &committer{store: s, done: make(chan struct{}), backoff: s.options.MinBackoff}
}

// run writes the queued batches until the queue is closed, with one sync for all batches that are in the queue at the same time.
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

// commit writes a group of batches, and calls the done function of each batch with its result.
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

// write makes those batches of a group durable that have no error in errs, and adds their records to the index.
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

// ensureSegment creates a segment if there is no active one. During the backoff after a failure it returns the last disk error
// instead.
func (c *committer) ensureSegment() error {
	if c.file != nil {
		return nil
	}
	if c.store.options.Clock().UptimeMillis < c.retryAt {
		return c.store.Health().Err
	}
	if err := c.createSegment(); err != nil {
		c.recordFailure(err)
		return err
	}
	return nil
}

// encode sets the sequence number and the expiry of each record in a group, and returns the frames to write. It also sets c.offsets.
// The result is valid until the next call.
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
	if cap(b) > maxRetainedBufferBytes {
		c.buffer = nil
	}
	return b
}

// expiryTime returns the store time at which a record with the given retention expires, all in ms. A record with retention 0 never
// expires.
func expiryTime(now, retention int64) int64 {
	if retention == 0 {
		return never
	}
	return now + retention
}

// publish adds the records of a group to the index after they have become durable. written is the encoded size of the group in
// bytes.
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

// abandonSegment stops writing to the active segment after a write or sync error. After a failed sync, the kernel may have dropped
// the pages, and may report success for the next sync. The durable records of the segment can still be read. firstSeq is the sequence
// number of the first record in the failed group, and written is the number of bytes of the group that were written.
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

// recordFailure adds a disk error to Health, and starts the backoff.
func (c *committer) recordFailure(err error) {
	options := &c.store.options
	c.store.recordFailure(err)
	c.retryAt = options.Clock().UptimeMillis + c.backoff.Milliseconds()
	c.backoff = min(2*c.backoff, options.MaxBackoff)
}

// rotate seals the active segment and creates the next one. An error loses no data: the next group creates a segment if there is no
// active one.
func (c *committer) rotate() {
	err := c.seal()
	if err == nil {
		err = c.createSegment()
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

// seal appends a seal to the active segment, after which there is no active segment, even after an error.
func (c *committer) seal() error {
	seg, file := c.segment, c.file
	c.file = nil
	n, err := writeAndSync(file, appendFrame(nil, &frame{
		kind:                kindSeal,
		seq:                 c.nextSeq - 1,
		expiresAt:           seg.expiresAt,
		supersededExpiresAt: seg.supersededExpiresAt,
		records:             seg.records,
	}))
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if err == nil {
		seg.sealed = true
	}
	seg.size += int64(n)
	return err
}

// createSegment creates a segment file with a header, makes it durable, and makes it the active segment.
func (c *committer) createSegment() error {
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
		_ = store.fs.Remove(name) // a file that remains is a segment without records
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
