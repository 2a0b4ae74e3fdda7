package store

import (
	"errors"
	"io"
	"io/fs"
	"slices"
)

// tidy drops segments that nobody needs and begins a compaction where one is due.
func (s *Store) tidy() {
	s.drop()
	s.mu.RLock()
	total, live := s.total(), s.live
	s.mu.RUnlock()
	if total < s.compactAt || total < 2*live+2*s.set.SegmentBytes {
		return
	}
	if !s.compactMu.TryLock() {
		return // one is under way
	}
	s.compactAt = total + s.set.SegmentBytes/4 // not at once again, if it fails or frees little
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

// drop removes the oldest segments as long as no record in them is the latest of its key: what they deleted stands
// nowhere before them. One after the other, each for good before the next, so that no later one is missing while
// an earlier one is there.
func (s *Store) drop() {
	if !s.compactMu.TryLock() {
		return
	}
	defer s.compactMu.Unlock()
	for s.discard() == nil {
		s.mu.Lock()
		if len(s.order) < 2 || s.order[0].live > 0 { // the last one may be written to
			s.mu.Unlock()
			return
		}
		old := s.order[0]
		s.order = slices.Delete(s.order, 0, 1)
		s.mu.Unlock()
		s.discarded = append(s.discarded, old)
	}
}

// discard removes files that others stand for, or that nothing stands in any more. As long as one of them may still
// be there, no other segment goes: what was deleted in that one could come back. It is tried again at the next
// change after an error. s.compactMu is held.
func (s *Store) discard() error {
	if len(s.discarded) == 0 {
		return nil
	}
	if err := s.fs.SyncDir(); err != nil { // what stands for them
		return err
	}
	for _, seg := range s.discarded {
		if seg.file != nil {
			seg.file.Close()
			seg.file = nil
		}
		var err error
		if seg.damaged {
			err = s.fs.Rename(seg.name, seg.name+damagedExt) // for whoever can make more of it
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
	s.discarded = nil
	return nil
}

// compact writes the live records of the oldest segments into one file that stands for them. They are always the
// oldest, so that nothing stands before them that what they deleted could come back from: as many as are half dead
// together, or all. s.compactMu is held.
func (s *Store) compact(all bool) error {
	if err := s.discard(); err != nil {
		return err
	}
	s.mu.RLock()
	var victims []*segment
	total, live := int64(0), int64(0)
	best := 0
	for _, seg := range s.order[:max(0, len(s.order)-1)] { // the last one may be written to
		if len(victims) == mostReplaced-1 {
			break
		}
		victims = append(victims, seg)
		total += seg.size
		live += seg.live
		if all || 2*live <= total {
			best = len(victims) // as many as halve
		}
	}
	victims = victims[:best]
	type item struct {
		place
		key string
	}
	var items []item
	if best > 0 {
		in := map[*segment]bool{}
		for _, seg := range victims {
			in[seg] = true
		}
		now := s.now()
		for key, p := range s.index {
			if in[p.seg] && p.expires > now {
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
	stamp := s.set.Clock()
	h := header{store: s.store, first: victims[0].first, stamp: stamp}
	for _, v := range victims {
		h.replaces = append(h.replaces, v.id)
		h.synced = max(h.synced, v.last, v.first-1) // some may be empty
	}
	s.mu.Lock()
	h.id, h.now = s.takeID(), s.now()
	s.mu.Unlock()
	name := segName(h.id)
	out := &segment{header: h, name: name, sealed: true, last: h.synced}
	tmp := name[:len(name)-len(segExt)] + tmpExt
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
	places := make([]place, len(items))
	err = func() error {
		for i, it := range items {
			s.mu.RLock()
			x, err := s.read(it.place)
			s.mu.RUnlock()
			if err != nil {
				return err // it stays where it is, and is named whenever it is asked for
			}
			at := out.size + int64(len(b))
			b = appendFrame(b, &x)
			size := out.size + int64(len(b)) - at
			places[i] = place{out, x.seq, x.expires, uint32(at), uint32(size)}
			out.records++
			out.expires = max(out.expires, x.expires)
			if len(b) > 1<<18 {
				if err := flush(); err != nil {
					return err
				}
			}
		}
		b = appendFrame(b, &frame{kind: kindSeal, seq: out.last, expires: out.expires, count: out.records})
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
			out.live += int64(places[i].size)
			s.live += int64(places[i].size) - int64(p.size)
		}
	}
	s.order = slices.Replace(s.order, 0, best, out)
	s.mu.Unlock()
	s.discarded = victims
	return s.discard()
}

// Compact writes all live records into one segment, and removes the others. Damaged files are not removed: they are
// renamed to end in .damaged, and read no more.
func (s *Store) Compact() error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	return s.compact(true)
}

// takeID uses up the number of a segment. s.mu is held.
func (s *Store) takeID() uint64 {
	s.nextID++
	return s.nextID - 1
}
