package store

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
)

// readUpTo reads a file of a segment. Segments are bounded, and one is in memory at a time.
func readUpTo(f Reader, size int64) ([]byte, error) {
	b := make([]byte, size)
	n, err := io.ReadFull(io.NewSectionReader(f, 0, size), b)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		err = nil
	}
	return b[:n], err
}

// diskLog is the log as a directory holds it.
type diskLog struct {
	segments      []*segment // the oldest first
	leftovers     []string   // files that nothing rests on: not finished, or replaced by others
	tornBytes     int64      // bytes of headers that were cut
	damage        []Damage
	failedRanges  []seqRange
	durableSeq    uint64 // all up to this one were durable at some time
	storeID       uint64
	lastID        uint64
	timestamp     Timestamp // of the newest header,
	storeTime     int64     // and the time of the store then
	headerDamaged bool      // some header is damaged: what it would say of others is not known
}

// readLog reads the headers in a directory, and closes all files after an error.
func readLog(dir FS) (*diskLog, error) {
	ids, unfinished, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	f := &diskLog{leftovers: unfinished}
	for _, id := range ids {
		seg, err := f.openSegment(dir, id)
		if err != nil {
			f.close()
			return nil, err
		}
		f.lastID = id
		if seg != nil {
			f.segments = append(f.segments, seg)
		}
	}
	replaced := map[uint64]bool{}
	for _, seg := range f.segments {
		for _, id := range seg.replaces {
			replaced[id] = true
		}
	}
	f.segments = slices.DeleteFunc(f.segments, func(seg *segment) bool {
		if replaced[seg.id] {
			f.leftovers = append(f.leftovers, seg.name)
			seg.file.Close()
			return true
		}
		return false
	})
	slices.SortFunc(f.segments, func(a, b *segment) int { return cmp.Or(cmp.Compare(a.firstSeq, b.firstSeq), cmp.Compare(a.id, b.id)) })
	f.checkChain(replaced)
	return f, nil
}

func (f *diskLog) close() {
	for _, seg := range f.segments {
		seg.file.Close()
	}
}

// openSegment reads the header of a segment; nil where the file was cut before it had one.
func (f *diskLog) openSegment(dir FS, id uint64) (*segment, error) {
	name := segmentName(id)
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
	head, err := readUpTo(file, min(size, minHeaderBytes+8*maxReplaced))
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	h, err := decodeHeader(name, head)
	var newer *NewerVersionError
	if errors.As(err, &newer) {
		file.Close()
		return nil, err
	}
	seg := &segment{header: h, name: name, file: file, size: size}
	if err == nil {
		if f.storeID == 0 {
			f.storeID = h.storeID
		}
		if h.storeID != f.storeID || h.id != id {
			file.Close()
			return nil, fmt.Errorf("%s: is a segment of another store, or was renamed; move it away", name)
		}
		if h.storeTime >= f.storeTime {
			f.storeTime, f.timestamp = h.storeTime, h.timestamp
		}
		f.durableSeq = max(f.durableSeq, h.durableSeq)
		if h.failedSeqs[1] > h.failedSeqs[0] {
			f.failedRanges = append(f.failedRanges, h.failedSeqs)
		}
		return seg, nil
	}
	// Its header is damaged, or was never written whole. Where a record follows, it was.
	data, err := readUpTo(file, size)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	all := findFrameRuns(data, 0, 0)
	if len(all) == 0 {
		f.tornBytes += size
		f.leftovers = append(f.leftovers, name)
		file.Close()
		return nil, nil
	}
	f.headerDamaged = true
	f.damage = append(f.damage, Damage{File: name, To: int64(all[0].from), Reason: "the header is damaged; records behind it were found"})
	seg.header = header{id: id, firstSeq: max(all[0].firstSeq, 1)}
	seg.damaged = true
	for _, s := range all {
		f.durableSeq = max(f.durableSeq, s.durableSeq)
	}
	return seg, nil
}

// checkChain reports segments that are missing: each but the oldest names the one before it.
func (f *diskLog) checkChain(replaced map[uint64]bool) {
	there := map[uint64]bool{}
	for _, seg := range f.segments {
		there[seg.id] = true
	}
	for i, seg := range f.segments {
		if i > 0 && seg.previousID != 0 && !there[seg.previousID] && !replaced[seg.previousID] && !f.headerDamaged {
			f.damage = append(f.damage, Damage{File: segmentName(seg.previousID), Reason: "the file is missing"})
		}
	}
}

// seqLimit is the number before which the records of a segment end; 0 for the last one.
func (f *diskLog) seqLimit(i int) uint64 {
	if i+1 >= len(f.segments) {
		return 0
	}
	next := f.segments[i+1]
	if v := next.failedSeqs; v[1] > v[0] && v[1] == next.firstSeq {
		return v[0] // those that failed were never acknowledged
	}
	return next.firstSeq
}

// readSeal reads the last frame of a segment; false where it is not sealed.
func readSeal(seg *segment) (f frame, ok bool) {
	if seg.size < int64(seg.header.size()+sealBytes) {
		return f, false
	}
	b := make([]byte, sealBytes)
	if _, err := io.ReadFull(io.NewSectionReader(seg.file, seg.size-sealBytes, sealBytes), b); err != nil {
		return f, false
	}
	f, ok = decodeFrame(b)
	return f, ok && f.kind == kindSeal
}

// scanSegment reads a segment whole.
func (f *diskLog) scanSegment(i int, emit func(x frame, at int)) (scanResult, error) {
	seg := f.segments[i]
	data, err := readUpTo(seg.file, seg.size)
	if err != nil {
		return scanResult{}, fmt.Errorf("%s: %w", seg.name, err)
	}
	s := scan(seg.name, data, seg.header, f.durableSeq, f.seqLimit(i), f.failedRanges, emit)
	if s.sealed && s.seal.records != s.records && len(s.damage) == 0 {
		s.damage = append(s.damage, Damage{File: seg.name, To: seg.size, Reason: fmt.Sprintf("has %d records, and was ended with %d", s.records, s.seal.records)})
	}
	return s, nil
}

// storeTimeAt is the time of the store at a stamp, if it was now when the stamp last was. In one run of the machine its
// up time counts; after a start the wall clock does, unless it was set back.
func storeTimeAt(now int64, last, at Timestamp) int64 {
	if last.BootID != 0 && last.BootID == at.BootID && at.UptimeMillis >= last.UptimeMillis {
		return now + at.UptimeMillis - last.UptimeMillis
	}
	return max(now, at.WallMillis)
}

// recoverLog reads what is there.
func (s *Store) recoverLog() error {
	f, err := readLog(s.fs)
	if err != nil {
		return err
	}
	s.segments = f.segments
	s.health.Damage, s.health.TornBytes = f.damage, f.tornBytes
	stamp := s.options.Clock()
	s.baseTime, s.baseUptime = storeTimeAt(f.storeTime, f.timestamp, stamp), stamp.UptimeMillis
	s.storeID, s.nextID = cmp.Or(f.storeID, newStoreID()), f.lastID+1
	s.durableSeq = f.durableSeq
	most := uint64(0)
	for _, seg := range f.segments {
		if end, ok := readSeal(seg); ok && end.expiresAt > s.storeTime() {
			most += end.records
		}
	}
	// Room for them at once: an index that grows to its size moves all that it has again and again.
	s.index = make(map[string]location, min(most, uint64(s.options.MaxRecords)))
	for i, seg := range f.segments {
		// A segment of which all has expired, and all that it took the place of, need not be read.
		if end, ok := readSeal(seg); ok && max(end.expiresAt, end.shadowedUntil) <= s.storeTime() {
			seg.sealed, seg.skipped, seg.records, seg.lastSeq = true, true, end.records, end.seq
			seg.expiresAt, seg.shadowedUntil = end.expiresAt, end.shadowedUntil
			s.durableSeq = max(s.durableSeq, seg.lastSeq)
			continue
		}
		got, err := f.scanSegment(i, func(x frame, at int) { s.indexRecord(seg, &x, uint32(at), uint32(x.size)) })
		if err != nil {
			return err
		}
		// A group's time is later than its header's, and counts where the clock was set back after a start.
		if behind := got.storeTime - s.storeTime(); behind > 0 {
			s.baseTime += behind
		}
		seg.lastSeq, seg.sealed = got.lastSeq, got.sealed
		s.health.Damage = append(s.health.Damage, got.damage...)
		seg.damaged = seg.damaged || len(got.damage) > 0
		s.health.TornBytes += got.tornBytes
		s.durableSeq = max(s.durableSeq, got.lastSeq)
		if !got.sealed {
			// What is believed from here on must not go with the power: it may never have been synced.
			if err := seg.file.Sync(); err != nil {
				return fmt.Errorf("%s: %w", seg.name, err)
			}
		}
	}
	for _, v := range f.failedRanges {
		s.durableSeq = max(s.durableSeq, v[1]-1)
	}
	s.nextSeq = s.durableSeq + 1
	if n := len(s.segments); n > 0 {
		s.currentSegment = s.segments[n-1]
		s.nextSeq = max(s.nextSeq, s.currentSegment.firstSeq)
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
	s.dropExpired()
	s.dropDeadSegments()
	return nil
}
