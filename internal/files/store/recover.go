package store

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
)

// whole reads a file of a segment. Segments are bounded, and one is in memory at a time.
func whole(f Reader, size int64) ([]byte, error) {
	b := make([]byte, size)
	n, err := io.ReadFull(io.NewSectionReader(f, 0, size), b)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		err = nil
	}
	return b[:n], err
}

// found is the log as a directory holds it.
type found struct {
	order      []*segment // the oldest first
	leftovers  []string   // files that nothing rests on: not finished, or replaced by others
	torn       int64      // bytes of headers that were cut
	damage     []Damage
	voids      []void
	durable    uint64 // all up to this one were durable at some time
	store      uint64
	lastID     uint64
	stamp      Stamp // of the newest header,
	now        int64 // and the time of the store then
	unreadable bool  // some header is damaged: what it would say of others is not known
}

// look reads the headers in a directory, and closes all files after an error.
func look(dir FS) (*found, error) {
	ids, unfinished, err := segments(dir)
	if err != nil {
		return nil, err
	}
	f := &found{leftovers: unfinished}
	for _, id := range ids {
		seg, err := f.open(dir, id)
		if err != nil {
			f.close()
			return nil, err
		}
		f.lastID = id
		if seg != nil {
			f.order = append(f.order, seg)
		}
	}
	replaced := map[uint64]bool{}
	for _, seg := range f.order {
		for _, id := range seg.replaces {
			replaced[id] = true
		}
	}
	f.order = slices.DeleteFunc(f.order, func(seg *segment) bool {
		if replaced[seg.id] {
			f.leftovers = append(f.leftovers, seg.name)
			seg.file.Close()
			return true
		}
		return false
	})
	slices.SortFunc(f.order, func(a, b *segment) int { return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.id, b.id)) })
	f.chain(replaced)
	return f, nil
}

func (f *found) close() {
	for _, seg := range f.order {
		seg.file.Close()
	}
}

// open reads the header of a segment; nil where the file was cut before it had one.
func (f *found) open(dir FS, id uint64) (*segment, error) {
	name := segName(id)
	file, err := dir.Open(name)
	if err != nil {
		return nil, err
	}
	size, err := file.Size()
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if size > 1<<32-1 {
		file.Close()
		return nil, fmt.Errorf("%s: has %d bytes, and no segment has so many", name, size)
	}
	head, err := whole(file, min(size, headerFixed+8*mostReplaced))
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	h, err := decodeHeader(name, head)
	var newer *NewerError
	if errors.As(err, &newer) {
		file.Close()
		return nil, err
	}
	seg := &segment{header: h, name: name, file: file, size: size}
	if err == nil {
		if f.store == 0 {
			f.store = h.store
		}
		if h.store != f.store || h.id != id {
			file.Close()
			return nil, fmt.Errorf("%s: is a segment of another store, or was renamed; move it away", name)
		}
		if h.now >= f.now {
			f.now, f.stamp = h.now, h.stamp
		}
		f.durable = max(f.durable, h.synced)
		if h.void[1] > h.void[0] {
			f.voids = append(f.voids, h.void)
		}
		return seg, nil
	}
	// Its header is damaged, or was never written whole. Where a record follows, it was.
	data, err := whole(file, size)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	all := spans(data, 0, 0)
	if len(all) == 0 {
		f.torn += size
		f.leftovers = append(f.leftovers, name)
		file.Close()
		return nil, nil
	}
	f.unreadable = true
	f.damage = append(f.damage, Damage{File: name, To: int64(all[0].from), Why: "the header is damaged; records behind it were found"})
	seg.header = header{id: id, first: max(all[0].first, 1)}
	seg.damaged = true
	for _, s := range all {
		f.durable = max(f.durable, s.synced)
	}
	return seg, nil
}

// chain reports segments that are missing: each but the oldest names the one before it.
func (f *found) chain(replaced map[uint64]bool) {
	there := map[uint64]bool{}
	for _, seg := range f.order {
		there[seg.id] = true
	}
	for i, seg := range f.order {
		if i > 0 && seg.prev != 0 && !there[seg.prev] && !replaced[seg.prev] && !f.unreadable {
			f.damage = append(f.damage, Damage{File: segName(seg.prev), Why: "the file is missing"})
		}
	}
}

// limit is the number before which the records of a segment end; 0 for the last one.
func (f *found) limit(i int) uint64 {
	if i+1 >= len(f.order) {
		return 0
	}
	next := f.order[i+1]
	if v := next.void; v[1] > v[0] && v[1] == next.first {
		return v[0] // those that failed were never acknowledged
	}
	return next.first
}

// footer reads the last frame of a segment; false where it is not sealed.
func footer(seg *segment) (f frame, ok bool) {
	if seg.size < int64(seg.header.size()+sealSize) {
		return f, false
	}
	b := make([]byte, sealSize)
	if _, err := io.ReadFull(io.NewSectionReader(seg.file, seg.size-sealSize, sealSize), b); err != nil {
		return f, false
	}
	f, ok = decodeFrame(b)
	return f, ok && f.kind == kindSeal
}

// scan reads a segment whole.
func (f *found) scan(i int, emit func(x frame, at int)) (scanned, error) {
	seg := f.order[i]
	data, err := whole(seg.file, seg.size)
	if err != nil {
		return scanned{}, fmt.Errorf("%s: %w", seg.name, err)
	}
	s := scan(seg.name, data, seg.header, f.durable, f.limit(i), f.voids, emit)
	if s.sealed && s.seal.count != s.records && len(s.damage) == 0 {
		s.damage = append(s.damage, Damage{File: seg.name, To: seg.size, Why: fmt.Sprintf("has %d records, and was ended with %d", s.records, s.seal.count)})
	}
	return s, nil
}

// timeAt is the time of the store at a stamp, if it was now when the stamp last was. In one run of the machine its
// up time counts; after a start the wall clock does, unless it was set back.
func timeAt(now int64, last, at Stamp) int64 {
	if last.Boot != 0 && last.Boot == at.Boot && at.Up >= last.Up {
		return now + at.Up - last.Up
	}
	return max(now, at.Wall)
}

// recover reads what is there.
func (s *Store) recover() error {
	f, err := look(s.fs)
	if err != nil {
		return err
	}
	s.order = f.order
	s.health.Damage, s.health.Torn = f.damage, f.torn
	stamp := s.set.Clock()
	s.base, s.start = timeAt(f.now, f.stamp, stamp), stamp.Up
	s.store, s.nextID = cmp.Or(f.store, storeID()), f.lastID+1
	s.synced = f.durable
	most := uint64(0)
	for _, seg := range f.order {
		if end, ok := footer(seg); ok && end.expires > s.now() {
			most += end.count
		}
	}
	// Room for them at once: an index that grows to its size moves all that it has again and again.
	s.index = make(map[string]place, min(most, uint64(s.set.MostRecords)))
	for i, seg := range f.order {
		// A segment of which all has expired, and all that it took the place of, need not be read.
		if end, ok := footer(seg); ok && max(end.expires, end.shadow) <= s.now() {
			seg.sealed, seg.unread, seg.records, seg.last = true, true, end.count, end.seq
			seg.expires, seg.shadow = end.expires, end.shadow
			s.synced = max(s.synced, seg.last)
			continue
		}
		got, err := f.scan(i, func(x frame, at int) { s.take(seg, &x, uint32(at), uint32(x.size)) })
		if err != nil {
			return err
		}
		// A group's time is later than its header's, and counts where the clock was set back after a start.
		if behind := got.now - s.now(); behind > 0 {
			s.base += behind
		}
		seg.last, seg.sealed = got.last, got.sealed
		s.health.Damage = append(s.health.Damage, got.damage...)
		seg.damaged = seg.damaged || len(got.damage) > 0
		s.health.Torn += got.torn
		s.synced = max(s.synced, got.last)
		if !got.sealed {
			// What is believed from here on must not go with the power: it may never have been synced.
			if err := seg.file.Sync(); err != nil {
				return fmt.Errorf("%s: %w", seg.name, err)
			}
		}
	}
	for _, v := range f.voids {
		s.synced = max(s.synced, v[1]-1)
	}
	s.next = s.synced + 1
	if n := len(s.order); n > 0 {
		s.current = s.order[n-1]
		s.next = max(s.next, s.current.first)
	}
	for _, name := range f.leftovers {
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	if len(f.leftovers) > 0 {
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
	}
	s.expire()
	s.drop()
	return nil
}
