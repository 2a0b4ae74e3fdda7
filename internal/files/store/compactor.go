package store

import (
	"cmp"
	"errors"
	"io/fs"
	"slices"
	"sync"
)

// compactionBuffer is the number of bytes after which a compaction writes its buffer.
const compactionBuffer = 1 << 18

// compactor removes segments without live records, and compacts others: it writes the live records of several into a new one.
type compactor struct {
	store     *Store
	running   sync.WaitGroup // counts the compaction that maintain has started
	threshold int64          // size of the store from which on maintain starts a compaction; used by the committer only

	mu       sync.Mutex // held while segments are removed; guards the field below
	obsolete []*segment // no longer in the store's list; their files are to be removed
}

// liveRecord is a record for a compaction to copy.
type liveRecord struct {
	location
	key string
}

// maintain removes dead segments, and starts a compaction if the store is large enough compared with its live records. The committer
// calls it after each group.
func (c *compactor) maintain() {
	c.dropDeadSegments()
	store := c.store
	store.mu.RLock()
	total := store.totalBytes()
	live := store.index.liveBytes
	store.mu.RUnlock()
	if total < c.threshold || total < 2*live+2*store.options.SegmentBytes {
		return
	}
	if !c.mu.TryLock() {
		return // a compaction is running
	}
	c.threshold = total + store.options.SegmentBytes/4 // so that one that fails or frees little is not repeated at once
	c.running.Go(func() {
		defer c.mu.Unlock()
		if err := c.compact(false); err != nil {
			store.recordFailure(err)
		}
	})
}

// dropDeadSegments removes the oldest segments as long as they have no live record. As no segment is before them, their deletions
// are not needed any more. The removal of each is durable before the next one is removed, so that a segment is never missing while
// an older one is present.
func (c *compactor) dropDeadSegments() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	for c.removeObsolete() == nil {
		dead := c.store.takeDeadSegment()
		if dead == nil {
			return
		}
		c.obsolete = append(c.obsolete, dead)
	}
}

// takeDeadSegment removes the oldest segment from the list and returns it, if it has no live record. It returns nil otherwise, and
// if there is only one segment, as the committer may write to the last one.
func (s *Store) takeDeadSegment() *segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.segments) < 2 || s.segments[0].liveBytes > 0 {
		return nil
	}
	dead := s.segments[0]
	s.segments = slices.Delete(s.segments, 0, 1)
	return dead
}

// removeObsolete removes the files of obsolete segments. After an error the next change tries again, and until it succeeds no other
// segment may be removed: records that are deleted there could return. The caller holds c.mu.
func (c *compactor) removeObsolete() error {
	if len(c.obsolete) == 0 {
		return nil
	}
	dir := c.store.fs
	if err := dir.SyncDir(); err != nil { // makes the segment that replaces them durable
		return err
	}
	for _, seg := range c.obsolete {
		if seg.file != nil {
			_ = seg.file.Close() // it is not read again
			seg.file = nil
		}
		var err error
		if seg.damaged {
			err = dir.Rename(seg.name, seg.name+damagedSuffix) // operators may be able to recover more of it
		} else {
			err = dir.Remove(seg.name)
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	if err := dir.SyncDir(); err != nil {
		return err
	}
	c.obsolete = nil
	return nil
}

// compactAll compacts all segments but the active one.
func (c *compactor) compactAll() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.compact(true)
}

// compact writes the live records of the oldest segments into a new segment that replaces them. Only the oldest can be replaced, as
// the deletions that they contain are dropped, and must not apply to records in earlier segments. If all is false, it replaces the
// most segments of which at least half of the bytes belong to dead records. The caller holds c.mu.
func (c *compactor) compact(all bool) error {
	if err := c.removeObsolete(); err != nil {
		return err
	}
	replaced, records := c.store.selectSegments(all)
	if len(replaced) == 0 {
		return nil
	}
	slices.SortFunc(records, func(a, b liveRecord) int { return cmp.Compare(a.seq, b.seq) })
	out := &segment{header: c.store.replacementHeader(replaced), sealed: true}
	out.name = segmentName(out.id)
	out.lastSeq = out.durableSeq
	locations, err := c.writeReplacement(out, records)
	if err != nil {
		return err
	}
	// A loss of power may still undo the rename. That loses nothing, as the replaced segments have the same records and are only
	// removed after the directory has been synced.
	c.store.replaceSegments(out, len(replaced), records, locations)
	c.obsolete = replaced
	return c.removeObsolete()
}

// selectSegments returns the segments to compact, and their live records in no particular order.
func (s *Store) selectSegments(all bool) (chosen []*segment, records []liveRecord) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	total, live := int64(0), int64(0)
	count := 0
	candidates := s.segments[:max(0, len(s.segments)-1)] // the committer may write to the last one
	candidates = candidates[:min(len(candidates), maxReplaced-1)]
	for i, seg := range candidates {
		total += seg.size
		live += seg.liveBytes
		if all || 2*live <= total {
			count = i + 1
		}
	}
	if count == 0 {
		return nil, nil
	}
	chosen = slices.Clone(candidates[:count])
	inChosen := map[*segment]bool{}
	for _, seg := range chosen {
		inChosen[seg] = true
	}
	now := s.clock.now()
	for key, l := range s.index.locations {
		if inChosen[l.segment] && l.expiresAt > now {
			records = append(records, liveRecord{l, key})
		}
	}
	return chosen, records
}

// replacementHeader returns the header of a new segment that replaces others.
func (s *Store) replacementHeader(replaced []*segment) header {
	h := header{storeID: s.id, firstSeq: replaced[0].firstSeq, timestamp: s.options.Clock()}
	for _, seg := range replaced {
		h.replaces = append(h.replaces, seg.id)
		h.durableSeq = max(h.durableSeq, seg.lastSeq, seg.firstSeq-1) // lastSeq of an empty segment is 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.id = s.allocateID()
	h.storeTime = s.clock.now()
	return h
}

// writeReplacement writes a segment with the given records to a temporary file, syncs it and renames it. It sets the remaining
// fields of out, and returns the locations of the records in it.
func (c *compactor) writeReplacement(out *segment, records []liveRecord) ([]location, error) {
	dir := c.store.fs
	temporary := temporaryName(out.id)
	file, err := dir.Create(temporary)
	if err != nil {
		return nil, err
	}
	locations, err := c.copyRecords(file, out, records)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = dir.Rename(temporary, out.name)
	}
	if err != nil {
		_ = file.Close()
		_ = dir.Remove(temporary) // if this fails, the next Open removes the file
		return nil, err
	}
	out.file = file
	return locations, nil
}

// copyRecords writes the header, the records and the seal of a segment. It fails if a record cannot be read: the record then stays
// in its segment, and Get reports the error.
func (c *compactor) copyRecords(file File, out *segment, records []liveRecord) ([]location, error) {
	store := c.store
	buffer := out.encode()
	flush := func() error {
		n, err := writeFull(file, buffer)
		out.size += int64(n)
		buffer = buffer[:0]
		return err
	}
	locations := make([]location, len(records))
	for i := range records {
		store.mu.RLock()
		record, err := readRecord(records[i].location)
		store.mu.RUnlock()
		if err != nil {
			return nil, err
		}
		start := len(buffer)
		buffer = appendFrame(buffer, &record)
		locations[i] = location{
			segment:   out,
			seq:       record.seq,
			expiresAt: record.expiresAt,
			offset:    uint32(out.size + int64(start)),
			size:      uint32(len(buffer) - start),
		}
		out.records++
		out.expiresAt = max(out.expiresAt, record.expiresAt)
		if len(buffer) > compactionBuffer {
			if err := flush(); err != nil {
				return nil, err
			}
		}
	}
	buffer = appendFrame(buffer, &frame{kind: kindSeal, seq: out.lastSeq, expiresAt: out.expiresAt, records: out.records})
	return locations, flush()
}

// replaceSegments replaces the count oldest segments by out in the store's list, and the locations of the records in the index.
func (s *Store) replaceSegments(out *segment, count int, records []liveRecord, locations []location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range records {
		s.index.relocate(records[i].key, locations[i])
	}
	s.segments = slices.Replace(s.segments, 0, count, out)
}
