package store

import (
	"cmp"
	"errors"
	"io/fs"
	"slices"
	"sync"
)

// compactionBuffer is how many bytes a compaction writes at a time.
const compactionBuffer = 1 << 18

// compactor removes segments: those without a live record, and, by writing the live records of several into one, others.
type compactor struct {
	store     *Store
	running   sync.WaitGroup // a compaction that maintain has started
	threshold int64          // size of the store from which on maintain starts the next one; the committer's alone

	mu       sync.Mutex // held by whoever removes segments; guards what follows
	obsolete []*segment // no longer in the store's list; their files are to go
}

// liveRecord is a record that a compaction copies.
type liveRecord struct {
	location
	key string
}

// maintain drops segments that nothing needs, and starts a compaction where one is due. The committer calls it.
func (c *compactor) maintain() {
	c.dropDeadSegments()
	s := c.store
	s.mu.RLock()
	total := s.totalBytes()
	live := s.index.liveBytes
	s.mu.RUnlock()
	if total < c.threshold || total < 2*live+2*s.options.SegmentBytes {
		return
	}
	if !c.mu.TryLock() {
		return // one is running
	}
	c.threshold = total + s.options.SegmentBytes/4 // not at once again, if it fails or frees little
	c.running.Go(func() {
		defer c.mu.Unlock()
		if err := c.compact(false); err != nil {
			s.recordFailure(err)
		}
	})
}

// dropDeadSegments removes the oldest segments as long as they have no live record: what they deleted is in no segment before
// them. Each is removed for good before the next, so that no later one is missing while an earlier one is there.
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

// takeDeadSegment removes the oldest segment from the list if it has no live record, and is not the last one, which may be
// written to. It returns nil otherwise.
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

// removeObsolete removes the files of obsolete segments. As long as one of them may still be there, no other segment goes:
// what was deleted in that one could come back. After an error it is tried again at the next change. The caller holds c.mu.
func (c *compactor) removeObsolete() error {
	if len(c.obsolete) == 0 {
		return nil
	}
	dir := c.store.fs
	if err := dir.SyncDir(); err != nil { // so that what replaces them is there for good
		return err
	}
	for _, seg := range c.obsolete {
		if seg.file != nil {
			_ = seg.file.Close() // it is not read again
			seg.file = nil
		}
		var err error
		if seg.damaged {
			err = dir.Rename(seg.name, seg.name+damagedSuffix) // for whoever can make more of it
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

func (c *compactor) compactAll() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.compact(true)
}

// compact writes the live records of the oldest segments into one that replaces them. They are always the oldest, so that
// nothing is in a segment before them that a deletion in them could uncover: all, or as many as are half dead together. The
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
	out := &segment{header: c.store.replacementHeader(replaced), sealed: true}
	out.name = segmentName(out.id)
	out.lastSeq = out.durableSeq
	locations, err := c.writeReplacement(out, records)
	if err != nil {
		return err
	}
	// From here on it replaces the old ones, though it may go with the power until the directory is synced: they have the
	// same records, and stay until then.
	c.store.replaceSegments(out, len(replaced), records, locations)
	c.obsolete = replaced
	return c.removeObsolete()
}

// selectSegments chooses the segments to compact, and returns them with their live records, in no order.
func (s *Store) selectSegments(all bool) (chosen []*segment, records []liveRecord) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	total, live := int64(0), int64(0)
	count := 0
	candidates := s.segments[:max(0, len(s.segments)-1)] // the last one may be written to
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

// replacementHeader is the header of a new segment that replaces others.
func (s *Store) replacementHeader(replaced []*segment) header {
	h := header{storeID: s.id, firstSeq: replaced[0].firstSeq, timestamp: s.options.Clock()}
	for _, seg := range replaced {
		h.replaces = append(h.replaces, seg.id)
		h.durableSeq = max(h.durableSeq, seg.lastSeq, seg.firstSeq-1) // some may be empty
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.id = s.allocateID()
	h.storeTime = s.clock.now()
	return h
}

// writeReplacement writes a segment with the given records under a temporary name, makes it durable, and gives it its name. It
// completes out, and returns where the records are in it.
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
		_ = dir.Remove(temporary) // the next start does it otherwise
		return nil, err
	}
	out.file = file
	return locations, nil
}

// copyRecords writes the header, the records and the seal of a segment. A record that cannot be read is an error: it stays
// where it is, and Get goes on reporting it.
func (c *compactor) copyRecords(file File, out *segment, records []liveRecord) ([]location, error) {
	s := c.store
	b := out.encode()
	flush := func() error {
		n, err := writeFull(file, b)
		out.size += int64(n)
		b = b[:0]
		return err
	}
	locations := make([]location, len(records))
	for i := range records {
		s.mu.RLock()
		record, err := readRecord(records[i].location)
		s.mu.RUnlock()
		if err != nil {
			return nil, err
		}
		start := len(b)
		b = appendFrame(b, &record)
		locations[i] = location{
			segment: out, seq: record.seq, expiresAt: record.expiresAt,
			offset: uint32(out.size + int64(start)), size: uint32(len(b) - start),
		}
		out.records++
		out.expiresAt = max(out.expiresAt, record.expiresAt)
		if len(b) > compactionBuffer {
			if err := flush(); err != nil {
				return nil, err
			}
		}
	}
	b = appendFrame(b, &frame{kind: kindSeal, seq: out.lastSeq, expiresAt: out.expiresAt, records: out.records})
	return locations, flush()
}

// replaceSegments puts a segment in the place of the oldest ones, and its records in the place of theirs.
func (s *Store) replaceSegments(out *segment, count int, records []liveRecord, locations []location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range records {
		s.index.relocate(records[i].key, locations[i])
	}
	s.segments = slices.Replace(s.segments, 0, count, out)
}
