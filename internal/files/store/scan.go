package store

// scanResult is the result of scanning a segment.
type scanResult struct {
	lastSeq   uint64 // of its last record; 0 for none
	records   uint64 // number of records that were emitted
	sealed    bool
	seal      frame // if sealed
	storeTime int64 // in ms, the latest of its groups; 0 for none
	tornBytes int64 // bytes at the end that belong to an incomplete append, or to damage of the last append
	damage    []Damage
}

// segmentScan reads the records of one segment, and decides which of them are valid:
//
//   - A record that is missing and was durable is lost, and reported as damage. The log shows up to which sequence number records
//     were durable.
//   - A record that is missing and is not known to have been durable was never acknowledged. All records after it are dropped, as
//     writes without a sync may reach the disk in any order.
//   - The records of a batch are emitted as a whole or not at all.
//   - Records whose write was reported as failed are not emitted.
type segmentScan struct {
	file   string
	data   []byte // of the complete segment
	header header
	// durableSeq is the highest sequence number that is known to have been durable, from this segment or others.
	durableSeq uint64
	// nextSeq is above the sequence numbers of this segment; 0 for the last segment. See diskLog.seqLimit.
	nextSeq uint64
	failed  []seqRange
	emit    func(f frame, offset int) // called for each valid record

	result scanResult
	end    int            // offset up to which the bytes are accounted for as header, frames or damage
	batch  []scannedFrame // records of a batch whose last record was not read yet
}

// scannedFrame is a record with its offset in the segment.
type scannedFrame struct {
	frame
	offset int
}

// run scans the segment. The caller has set the fields above result.
func (s *segmentScan) run() scanResult {
	runs := findFrameRuns(s.data, s.header.size(), s.header.firstSeq)
	for _, run := range runs {
		s.durableSeq = max(s.durableSeq, run.durableSeq)
	}
	if s.nextSeq > 0 {
		s.durableSeq = min(s.durableSeq, s.nextSeq-1)
	}
	s.end = s.header.size()
	seqBefore := max(s.header.firstSeq, 1) - 1
	s.result.lastSeq = seqBefore
	for _, run := range runs {
		if run.from > s.end {
			s.batch = nil
			if !s.reportLoss(run.from, run.firstSeq) {
				break
			}
		}
		s.scanRun(run)
	}
	s.finish()
	if s.result.lastSeq == seqBefore {
		s.result.lastSeq = 0
	}
	return s.result
}

// isRewritten reports whether a compaction has written the segment. Such a segment lacks the sequence numbers of the records that
// were not live, and it is always sealed, as it was complete before it got its name.
func (s *segmentScan) isRewritten() bool { return len(s.header.replaces) > 0 }

// lacksDurable reports whether durable records may be missing after the last one that was read.
func (s *segmentScan) lacksDurable() bool { return s.isRewritten() || s.durableSeq > s.result.lastSeq }

// scanRun reads the frames of a run.
func (s *segmentScan) scanRun(run frameRun) {
	for offset := run.from; offset < run.to; {
		found, _ := decodeFrame(s.data[offset:])
		switch found.kind {
		case kindGroup:
			s.result.storeTime = max(s.result.storeTime, found.storeTime)
		case kindSeal:
			s.result.sealed = true
			s.result.seal = found
		default:
			s.result.lastSeq = found.seq
			s.batch = append(s.batch, scannedFrame{found, offset})
			if !found.moreInBatch {
				s.emitBatch()
			}
		}
		offset += found.size
	}
	s.end = run.to
}

// emitBatch emits the records of a complete batch.
func (s *segmentScan) emitBatch() {
	for _, record := range s.batch {
		if inAnyRange(s.failed, record.seq) {
			continue
		}
		s.result.records++
		s.emit(record.frame, record.offset)
	}
	s.batch = s.batch[:0]
}

// finish accounts for the bytes after the last run, and for durable records that are missing at the end.
func (s *segmentScan) finish() {
	switch {
	case s.end < len(s.data):
		if !s.reportLoss(len(s.data), s.nextSeq) {
			s.result.tornBytes = int64(len(s.data) - s.end)
		}
	case s.end == len(s.data) && !s.result.sealed && s.lacksDurable():
		s.reportLoss(s.end, s.nextSeq)
	}
}

// reportLoss reports the bytes from s.end to an offset as damage, if durable records may be missing there. It returns false
// otherwise. nextSeq is the number of the first record after the damage, 0 if it is unknown.
func (s *segmentScan) reportLoss(to int, nextSeq uint64) bool {
	if !s.lacksDurable() {
		return false
	}
	d := Damage{File: s.file, From: int64(s.end), To: int64(to), Reason: "unreadable, and was durable"}
	if !s.isRewritten() {
		d.FirstSeq = s.result.lastSeq + 1
		d.LastSeq = s.durableSeq
		if nextSeq > 0 {
			d.LastSeq = min(s.durableSeq, nextSeq-1)
		}
		if d.LastSeq < d.FirstSeq { // the damage hit only the start of a group, or a part of a batch
			d.FirstSeq = 0
			d.LastSeq = 0
		}
	}
	s.result.damage = append(s.result.damage, d)
	return true
}
