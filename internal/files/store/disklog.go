package store

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// diskLog describes the log in a directory, as read from the headers of its segments.
type diskLog struct {
	segments      []*segment // segments with the oldest first
	leftovers     []string   // names of files that are not needed: incomplete or replaced ones
	tornBytes     int64      // total size in bytes of the segments with an incomplete header
	damage        []Damage   // damage that the headers show
	failedRanges  []seqRange // sequence numbers of records whose write was reported as failed
	durableSeq    uint64     // sequence number up to which all records were durable at some time
	storeID       uint64     // ID of the store; 0 if no header could be read
	lastID        uint64     // highest ID of a segment
	timestamp     Timestamp  // clock reading in the newest header
	storeTime     int64      // store time in ms at timestamp
	hiddenRecords bool       // whether a segment that was scanned has hidden records, see scanResult
	headerDamaged bool       // whether a header is damaged, so that it is unknown which segments that one replaces or follows
}

// readLog opens the segments in a directory and reads their headers. The caller must call close. If readLog fails, it has closed all
// files.
func readLog(dir FS) (*diskLog, error) {
	ids, unfinished, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	log := &diskLog{leftovers: unfinished}
	for _, id := range ids {
		seg, err := log.openSegment(dir, id)
		if err != nil {
			log.close()
			return nil, err
		}
		log.lastID = id
		if seg != nil {
			log.segments = append(log.segments, seg)
		}
	}
	replaced := log.dropReplaced()
	slices.SortFunc(log.segments, func(a, b *segment) int {
		return cmp.Or(cmp.Compare(a.firstSeq, b.firstSeq), cmp.Compare(a.id, b.id))
	})
	log.checkChain(replaced)
	return log, nil
}

// close closes the files of all segments.
func (l *diskLog) close() {
	for _, seg := range l.segments {
		_ = seg.file.Close() // nothing was written to it
	}
}

// dropReplaced moves the segments that a compaction has replaced to the leftovers. It returns the IDs of all replaced segments,
// including those whose files are already removed.
func (l *diskLog) dropReplaced() map[uint64]bool {
	replaced := map[uint64]bool{}
	for _, seg := range l.segments {
		for _, id := range seg.replaces {
			replaced[id] = true
		}
	}
	l.segments = slices.DeleteFunc(l.segments, func(seg *segment) bool {
		if !replaced[seg.id] {
			return false
		}
		l.leftovers = append(l.leftovers, seg.name)
		_ = seg.file.Close() // nothing was written to it
		return true
	})
	return replaced
}

// openSegment opens a segment file and reads its header. It returns nil if the file has no complete header and no record.
func (l *diskLog) openSegment(dir FS, id uint64) (*segment, error) {
	name := segmentName(id)
	file, err := dir.Open(name)
	if err != nil {
		return nil, err
	}
	seg, err := l.readHeader(file, name, id)
	if seg == nil {
		_ = file.Close() // nothing was written to it
	}
	return seg, err
}

// readHeader reads the header of a segment. Like openSegment, it returns nil if the file has no complete header and no record.
func (l *diskLog) readHeader(file Reader, name string, id uint64) (*segment, error) {
	size, err := file.Size()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if size > math.MaxUint32 {
		return nil, fmt.Errorf("%s: has %d bytes, more than a segment can have", name, size)
	}
	start, err := readUpTo(file, min(size, minHeaderBytes+8*maxReplaced))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	segmentHeader, err := decodeHeader(name, start)
	if errors.Is(err, errHeaderUnreadable) {
		return l.readWithoutHeader(file, name, id, size)
	}
	if err != nil {
		return nil, err
	}
	if err := l.addHeader(&segmentHeader, name, id); err != nil {
		return nil, err
	}
	return &segment{header: segmentHeader, name: name, file: file, size: size}, nil
}

// addHeader updates the fields of the log from the header of a segment. It fails if the segment belongs to another store.
func (l *diskLog) addHeader(segmentHeader *header, name string, id uint64) error {
	if l.storeID == 0 {
		l.storeID = segmentHeader.storeID
	}
	if segmentHeader.storeID != l.storeID || segmentHeader.id != id {
		return fmt.Errorf("%s: belongs to another store or was renamed; move it out of the directory", name)
	}
	if segmentHeader.storeTime >= l.storeTime {
		l.storeTime = segmentHeader.storeTime
		l.timestamp = segmentHeader.timestamp
	}
	l.durableSeq = max(l.durableSeq, segmentHeader.durableSeq)
	if !segmentHeader.failedSeqs.empty() {
		l.failedRanges = append(l.failedRanges, segmentHeader.failedSeqs)
	}
	return nil
}

// readWithoutHeader reads a segment whose header cannot be decoded. If the file contains frames, the header is damaged, and the
// segment is read without it. Otherwise the header was never complete: readWithoutHeader adds the file to the leftovers and returns
// nil.
func (l *diskLog) readWithoutHeader(file Reader, name string, id uint64, size int64) (*segment, error) {
	data, err := readUpTo(file, size)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	runs := findFrameRuns(data, 0, 0)
	if len(runs) == 0 {
		l.tornBytes += size
		l.leftovers = append(l.leftovers, name)
		return nil, nil
	}
	l.headerDamaged = true
	l.damage = append(l.damage, Damage{
		File: name, To: int64(runs[0].from), Reason: "the header is damaged; records behind it were found",
	})
	for _, run := range runs {
		l.durableSeq = max(l.durableSeq, run.durableSeq)
	}
	h := header{id: id, firstSeq: max(runs[0].firstSeq, 1)}
	return &segment{header: h, name: name, file: file, size: size, damaged: true}, nil
}

// checkChain reports missing segments as damage. It finds them by the headers, each of which has the ID of the preceding segment.
func (l *diskLog) checkChain(replaced map[uint64]bool) {
	if l.headerDamaged {
		return
	}
	present := map[uint64]bool{}
	for _, seg := range l.segments {
		present[seg.id] = true
	}
	for i, seg := range l.segments {
		if i == 0 || seg.previousID == 0 || present[seg.previousID] || replaced[seg.previousID] {
			continue
		}
		if !seg.continues(l.segments[i-1]) {
			l.damage = append(l.damage, Damage{File: segmentName(seg.previousID), Reason: "the file is missing"})
		}
	}
}

// seqLimit returns a sequence number that is higher than those of all acknowledged records in segment i, or 0 for the last segment,
// which has no known limit.
func (l *diskLog) seqLimit(i int) uint64 {
	if i+1 >= len(l.segments) {
		return 0
	}
	return l.segments[i+1].seqLimitOfPrevious()
}

// scanSegment reads segment i into memory, and calls emit for each valid record with its offset in the file.
func (l *diskLog) scanSegment(i int, emit func(f frame, offset int)) (scanResult, error) {
	seg := l.segments[i]
	data, err := readUpTo(seg.file, seg.size)
	if err != nil {
		return scanResult{}, fmt.Errorf("%s: %w", seg.name, err)
	}
	scan := segmentScan{
		file:       seg.name,
		data:       data,
		header:     seg.header,
		durableSeq: l.durableSeq,
		seqLimit:   l.seqLimit(i),
		failed:     l.failedRanges,
		emit:       emit,
	}
	result := scan.run()
	l.hiddenRecords = l.hiddenRecords || result.hiddenRecords
	if result.sealed && result.seal.records != result.records && len(result.damage) == 0 {
		reason := fmt.Sprintf("has %d records, and was ended with %d", result.records, result.seal.records)
		result.damage = append(result.damage, Damage{File: seg.name, To: seg.size, Reason: reason})
	}
	return result, nil
}
