package store

import (
	"errors"
	"io"
	"io/fs"
	"slices"
)

// maintain drops segments that nobody needs and begins a compaction where one is due.
func (s *Store) maintain() {
	s.dropDeadSegments()
	s.mu.RLock()
	total, live := s.totalBytes(), s.liveBytes
	s.mu.RUnlock()
	if total < s.compactThreshold || total < 2*live+2*s.options.SegmentBytes {
		return
	}
	if !s.compactMu.TryLock() {
		return // one is under way
	}
	s.compactThreshold = total + s.options.SegmentBytes/4 // not at once again, if it fails or frees little
	s.compacting.Go(func() {
		defer s.compactMu.Unlock()
		if err := s.compact(false); err != nil {
			s.mu.Lock()
			s.health.Err = err
			s.health.Failures++
			s.mu.Unlock()
		}
	})
}

// dropDeadSegments removes the oldest segments as long as no record in them is the latest of its key: what they deleted stands
// nowhere before them. One after the other, each for good before the next, so that no later one is missing while
// an earlier one is there.
func (s *Store) dropDeadSegments() {
	if !s.compactMu.TryLock() {
		return
	}
	defer s.compactMu.Unlock()
	for s.removeObsolete() == nil {
		s.mu.Lock()
		if len(s.segments) < 2 || s.segments[0].liveBytes > 0 { // the last one may be written to
			s.mu.Unlock()
			return
		}
		old := s.segments[0]
		s.segments = slices.Delete(s.segments, 0, 1)
		s.mu.Unlock()
		s.obsolete = append(s.obsolete, old)
	}
}

// removeObsolete removes files that others stand for, or that nothing stands in any more. As long as one of them may still
// be there, no other segment goes: what was deleted in that one could come back. It is tried again at the next
// change after an error. s.compactMu is held.
func (s *Store) removeObsolete() error {
	if len(s.obsolete) == 0 {
		return nil
	}
	if err := s.fs.SyncDir(); err != nil { // what stands for them
		return err
	}
	for _, seg := range s.obsolete {
		if seg.file != nil {
			seg.file.Close()
			seg.file = nil
		}
		var err error
		if seg.damaged {
			err = s.fs.Rename(seg.name, seg.name+damagedSuffix) // for whoever can make more of it
		} else {
			err = s.fs.Remove(seg.name)
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	s.obsolete = nil
	return nil
}

// compact writes the live records of the oldest segments into one file that stands for them. They are always the
// oldest, so that nothing stands before them that what they deleted could come back from: as many as are half dead
// together, or all. s.compactMu is held.
func (s *Store) compact(all bool) error {
	if err := s.removeObsolete(); err != nil {
		return err
	}
	s.mu.RLock()
	var victims []*segment
	total, live := int64(0), int64(0)
	best := 0
	for _, seg := range s.segments[:max(0, len(s.segments)-1)] { // the last one may be written to
		if len(victims) == maxReplaced-1 {
			break
		}
		victims = append(victims, seg)
		total += seg.size
		live += seg.liveBytes
		if all || 2*live <= total {
			best = len(victims) // as many as halve
		}
	}
	victims = victims[:best]
	type item struct {
		location
		key string
	}
	var items []item
	if best > 0 {
		in := map[*segment]bool{}
		for _, seg := range victims {
			in[seg] = true
		}
		now := s.storeTime()
		for key, p := range s.index {
			if in[p.segment] && p.expiresAt > now {
				items = append(items, item{p, key})
			}
		}
	}
	s.mu.RUnlock()
	if best == 0 {
		return nil
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	stamp := s.options.Clock()
	h := header{storeID: s.storeID, firstSeq: victims[0].firstSeq, timestamp: stamp}
	for _, v := range victims {
		h.replaces = append(h.replaces, v.id)
		h.durableSeq = max(h.durableSeq, v.lastSeq, v.firstSeq-1) // some may be empty
	}
	s.mu.Lock()
	h.id, h.storeTime = s.allocateID(), s.storeTime()
	s.mu.Unlock()
	name := segmentName(h.id)
	out := &segment{header: h, name: name, sealed: true, lastSeq: h.durableSeq}
	tmp := name[:len(name)-len(segmentSuffix)] + temporarySuffix
	f, err := s.fs.Create(tmp)
	if err != nil {
		return err
	}
	b := h.encode()
	flush := func() error {
		n, err := f.Write(b)
		if err == nil && n < len(b) {
			err = io.ErrShortWrite
		}
		out.size += int64(n)
		b = b[:0]
		return err
	}
	places := make([]location, len(items))
	err = func() error {
		for i, it := range items {
			s.mu.RLock()
			x, err := s.readRecord(it.location)
			s.mu.RUnlock()
			if err != nil {
				return err // it stays where it is, and is named whenever it is asked for
			}
			at := out.size + int64(len(b))
			b = appendFrame(b, &x)
			size := out.size + int64(len(b)) - at
			places[i] = location{out, x.seq, x.expiresAt, uint32(at), uint32(size)}
			out.records++
			out.expiresAt = max(out.expiresAt, x.expiresAt)
			if len(b) > 1<<18 {
				if err := flush(); err != nil {
					return err
				}
			}
		}
		b = appendFrame(b, &frame{kind: kindSeal, seq: out.lastSeq, expiresAt: out.expiresAt, records: out.records})
		if err := flush(); err != nil {
			return err
		}
		if err := f.Sync(); err != nil {
			return err
		}
		return s.fs.Rename(tmp, name)
	}()
	if err != nil {
		f.Close()
		s.fs.Remove(tmp)
		return err
	}
	// From here on it stands for the old ones, though it may go with the power until the directory is synced: they
	// are the same records, and stay until then.
	out.file = f
	s.mu.Lock()
	for i, it := range items {
		if p, ok := s.index[it.key]; ok && p.seq == it.seq {
			s.index[it.key] = places[i]
			out.liveBytes += int64(places[i].size)
			s.liveBytes += int64(places[i].size) - int64(p.size)
		}
	}
	s.segments = slices.Replace(s.segments, 0, best, out)
	s.mu.Unlock()
	s.obsolete = victims
	return s.removeObsolete()
}

// Compact writes all live records into one segment, and removes the others. Damaged files are not removed: they are
// renamed to end in .damaged, and read no more.
func (s *Store) Compact() error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	return s.compact(true)
}

// allocateID uses up the number of a segment. s.mu is held.
func (s *Store) allocateID() uint64 {
	s.nextID++
	return s.nextID - 1
}
