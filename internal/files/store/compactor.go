package store

import (
	"cmp"
	"errors"
	"io/fs"
	"slices"
	"sync"
)

// compactionBufferBytes is the buffer size above which a compaction writes its buffer to the file.
const compactionBufferBytes = 1 << 18

// compactor removes segments without live records, and compacts others: it copies the live records of several segments to a new one.
type compactor struct {
	store     *Store
	running   sync.WaitGroup // waits for the compaction that maintain has started
	threshold int64          // minimum size of the store for the next compaction by maintain; used only by the committer

	mu       sync.Mutex // held while segments are compacted or removed; guards the field below
	obsolete []*segment // segments that are no longer in the store's list, and whose files are to be removed
}

// liveRecord is a record that a compaction copies.
type liveRecord struct {
	location
	key string
}

// maintain removes the oldest segments without live records. It also starts a compaction if the store is at least as large as twice
// the sum of its live records and one segment. The committer calls maintain after each group.
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
	c.threshold = total + store.options.SegmentBytes/4 // so that a compaction that fails or frees little is not repeated immediately
	c.running.Go(func() {
		defer c.mu.Unlock()
		if err := c.compact(false); err != nil {
			store.recordFailure(err)
		}
	})
}

// dropDeadSegments removes the oldest segments until it reaches one with a live record. As no older segment exists, the deletions in
// the removed ones are no longer needed. Each removal is durable before the next segment is removed, so that a segment is never
// missing while an older one exists. dropDeadSegments does nothing while a compaction is running.
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

// takeDeadSegment removes the oldest segment from the list and returns it, if it has no live record. Otherwise it returns nil. It also
// returns nil if there is only one segment, as the committer may be writing to that.
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

// removeObsolete removes the files of obsolete segments, or renames those of damaged ones. After an error, the next compaction or
// removal retries it. Until it succeeds, no other segment may be removed: a deleted record in an obsolete segment could reappear if
// the segment with its deletion were removed first. The caller holds c.mu.
func (c *compactor) removeObsolete() error {
	if len(c.obsolete) == 0 {
		return nil
	}
	dir := c.store.fs
	if err := dir.SyncDir(); err != nil { // makes the rename of the segment that replaces them durable
		return err
	}
	for _, seg := range c.obsolete {
		if seg.file != nil {
			_ = seg.file.Close() // the segment is not read again
			seg.file = nil
		}
		var err error
		if seg.damaged {
			err = dir.Rename(seg.name, seg.name+damagedSuffix) // operators may be able to recover more of the data
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

// compactAll compacts all segments except the active one.
func (c *compactor) compactAll() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.compact(true)
}

// compact copies the live records of the oldest segments to a new segment that replaces them. Only the oldest segments can be
// replaced, as the deletions in them are discarded, and no older segment may have a record that these delete. If all is false,
// compact replaces as many segments as possible, provided that in total at least half of their bytes belong to dead records. The
// caller holds c.mu.
func (c *compactor) compact(all bool) error {
	if err := c.removeObsolete(); err != nil {
		return err
	}
	replaced, records := c.store.selectSegments(all)
	if len(replaced) == 0 {
		return nil
	}
	slices.SortFunc(records, func(a, b liveRecord) int { return cmp.Compare(a.seq, b.seq) })
	replacement := &segment{header: c.store.replacementHeader(replaced), sealed: true}
	replacement.name = segmentName(replacement.id)
	replacement.lastSeq = replacement.durableSeq
	locations, err := c.writeReplacement(replacement, records)
	if err != nil {
		return err
	}
	// A loss of power may still undo the rename. No data is lost then, as the replaced segments have the same records, and are
	// removed only after the directory has been synced.
	c.store.replaceSegments(replacement, len(replaced), records, locations)
	c.obsolete = replaced
	return c.removeObsolete()
}

// selectSegments returns the segments to compact, and their live records in no particular order.
func (s *Store) selectSegments(all bool) (chosen []*segment, records []liveRecord) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	total, live := int64(0), int64(0)
	count := 0
	candidates := s.segments[:max(0, len(s.segments)-1)] // the committer may be writing to the last one
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

// replacementHeader allocates an ID for a segment that replaces others, and returns its header.
func (s *Store) replacementHeader(replaced []*segment) header {
	newHeader := header{storeID: s.id, firstSeq: replaced[0].firstSeq, timestamp: s.options.Clock()}
	for _, seg := range replaced {
		newHeader.replaces = append(newHeader.replaces, seg.id)
		newHeader.durableSeq = max(newHeader.durableSeq, seg.lastSeq, seg.firstSeq-1) // lastSeq of an empty segment is 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newHeader.id = s.allocateID()
	newHeader.storeTime = s.clock.now()
	return newHeader
}

// writeReplacement writes a segment with the given records to a temporary file, syncs the file and renames it. It sets the remaining
// fields of replacement, and returns the new locations of the records.
func (c *compactor) writeReplacement(replacement *segment, records []liveRecord) ([]location, error) {
	dir := c.store.fs
	temporary := temporaryName(replacement.id)
	file, err := dir.Create(temporary)
	if err != nil {
		return nil, err
	}
	locations, err := c.copyRecords(file, replacement, records)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = dir.Rename(temporary, replacement.name)
	}
	if err != nil {
		_ = file.Close()
		_ = dir.Remove(temporary) // if this fails, the next Open removes the file
		return nil, err
	}
	replacement.file = file
	return locations, nil
}

// copyRecords writes the header, the records and the seal of a segment. It fails if a record cannot be read: the record then remains
// in its segment, and Get returns the error.
func (c *compactor) copyRecords(file File, replacement *segment, records []liveRecord) ([]location, error) {
	store := c.store
	buffer := replacement.encode()
	flush := func() error {
		n, err := writeFull(file, buffer)
		replacement.size += int64(n)
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
		record.moreInBatch = false // the records of its batch that are not live are not copied
		start := len(buffer)
		buffer = appendFrame(buffer, &record)
		locations[i] = location{
			segment:   replacement,
			seq:       record.seq,
			expiresAt: record.expiresAt,
			offset:    uint32(replacement.size + int64(start)),
			size:      uint32(len(buffer) - start),
		}
		replacement.records++
		replacement.expiresAt = max(replacement.expiresAt, record.expiresAt)
		if len(buffer) > compactionBufferBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
	}
	buffer = appendFrame(buffer, &frame{
		kind: kindSeal, seq: replacement.lastSeq, expiresAt: replacement.expiresAt, records: replacement.records,
	})
	return locations, flush()
}

// replaceSegments puts replacement in the place of the count oldest segments in the store's list, and updates the locations of the
// records in the index.
func (s *Store) replaceSegments(replacement *segment, count int, records []liveRecord, locations []location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range records {
		s.index.relocate(records[i].key, locations[i])
	}
	s.segments = slices.Replace(s.segments, 0, count, replacement)
}
