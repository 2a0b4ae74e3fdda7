package store

import (
	"cmp"
	"time"
)

// maxKeptBuffer bounds the buffer that is kept for the next group, in bytes.
const maxKeptBuffer = 1 << 20

// committer makes queued batches durable: in a goroutine that ends after the queue was closed. Its fields are that goroutine's
// alone, but for those that recovery sets before it starts, and close reads after it has ended.
type committer struct {
	store *Store
	done  chan struct{} // closed when the goroutine has ended

	segment    *segment // the last one
	file       File     // of segment; nil where nothing more is written to it
	nextSeq    uint64
	durableSeq uint64   // all records up to this one are durable
	failedSeqs seqRange // since the last segment was made
	retryAt    int64    // uptime in ms before which no segment is made after a failure
	backoff    time.Duration
	buffer     []byte
	offsets    []uint32 // in buffer, of each record and of the end
}

func newCommitter(s *Store) *committer {
	return &committer{store: s, done: make(chan struct{}), backoff: s.options.MinBackoff}
}

// run writes the batches that are queued, with one sync for all that have come meanwhile.
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

// commit writes a group of batches, and reports the result to each.
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

// write makes durable the batches of a group that have no error yet, and adds their records to the index.
func (c *committer) write(group []pendingBatch, errs []error) error {
	if err := c.ensureSegment(); err != nil {
		return err
	}
	firstSeq := c.nextSeq
	b := c.encode(group, errs)
	n, err := writeAndSync(c.file, b)
	if err != nil {
		c.abandonSegment(firstSeq, n, err)
		return err
	}
	c.durableSeq = c.nextSeq - 1
	c.publish(group, errs, len(b))
	c.backoff = c.store.options.MinBackoff
	if c.segment.size >= c.store.options.SegmentBytes {
		c.rotate()
	}
	return nil
}

// ensureSegment makes a new segment where the last one was abandoned, unless the disk is to be left alone yet.
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

// encode gives the records of a group their sequence numbers and expiry, and returns the frames to write. It sets c.offsets.
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

// expiryTime is when a record expires that is kept for a number of ms; 0 stands for ever.
func expiryTime(now, retention int64) int64 {
	if retention == 0 {
		return never
	}
	return now + retention
}

// publish adds the records of a group, which are durable, to the index.
func (c *committer) publish(group []pendingBatch, errs []error, written int) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	start := uint32(c.segment.size)
	next := 0
	for i := range group {
		if errs[i] != nil {
			continue
		}
		records := group[i].records
		for j := range records {
			offset, end := c.offsets[next], c.offsets[next+1]
			s.index.add(c.segment, &records[j], start+offset, end-offset)
			next++
		}
	}
	c.segment.size += int64(written)
	c.segment.lastSeq = c.durableSeq
	s.health.Err = nil
}

// abandonSegment ends the use of a segment after a write or sync has failed. What is durable in it goes on being read. Nothing
// more is written to it: the kernel may have dropped the pages that a sync failed for, and report success for the next one.
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

// recordFailure notes that the disk has failed, and when it is tried next.
func (c *committer) recordFailure(err error) {
	options := &c.store.options
	c.store.recordFailure(err)
	c.retryAt = options.Clock().UptimeMillis + c.backoff.Milliseconds()
	c.backoff = min(2*c.backoff, options.MaxBackoff)
}

// rotate seals the active segment and makes the next one. Nothing is lost where that fails: it is tried again with the next
// group.
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

// seal ends the active segment.
func (c *committer) seal() error {
	seg, file := c.segment, c.file
	c.file = nil
	n, err := writeAndSync(file, appendFrame(nil, &frame{
		kind: kindSeal, seq: c.nextSeq - 1, expiresAt: seg.expiresAt, shadowedUntil: seg.shadowedUntil, records: seg.records,
	}))
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if err == nil {
		seg.sealed = true
	}
	seg.size += int64(n)
	return err
}

// roll makes a new segment, and makes it the active one.
func (c *committer) roll() error {
	s := c.store
	s.mu.Lock()
	id := s.allocateID()
	s.mu.Unlock()
	h := header{
		storeID: s.id, id: id, firstSeq: c.nextSeq, durableSeq: c.durableSeq, failedSeqs: c.failedSeqs,
		timestamp: s.options.Clock(), storeTime: s.clock.now(),
	}
	if c.segment != nil {
		h.previousID = c.segment.id
	}
	name := segmentName(h.id)
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	n, err := writeAndSync(f, h.encode())
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		_ = f.Close()
		_ = s.fs.Remove(name) // if that fails, it is a segment without a record
		return err
	}
	c.file = f
	c.failedSeqs = seqRange{}
	c.segment = &segment{header: h, name: name, file: f, size: int64(n)}
	s.mu.Lock()
	s.segments = append(s.segments, c.segment)
	s.mu.Unlock()
	return nil
}
