package store

// scanResult is what was found in a segment.
type scanResult struct {
	lastSeq   uint64 // of its last record; 0 for none
	records   uint64 // how many were handed out
	sealed    bool
	seal      frame
	storeTime int64 // the latest of its groups; 0 for none
	tornBytes int64 // at the end: of an append that was cut, or of damage to the last one
	damage    []Damage
}

// segmentScan reads the records of one segment. It decides what is believed: what is missing up to the highest number that is
// known to have been durable is lost, and reported as damage; what is missing beyond it was never acknowledged. Nothing is
// believed behind such a gap, for writes that were not synced may have reached the disk in any order. Of a batch all records
// are handed out or none, and none whose write was reported as failed.
type segmentScan struct {
	file   string
	data   []byte
	header header
	// durableSeq is the highest number that is known to have been durable, from this segment or others.
	durableSeq uint64
	// nextSeq is the number that the next segment begins with; 0 where there is none.
	nextSeq uint64
	failed  []seqRange
	emit    func(f frame, offset int)

	result scanResult
	end    int // of the bytes that are accounted for: as header, frames or damage
	batch  []scannedFrame
}

// scannedFrame is a record of a batch whose end was not seen yet.
type scannedFrame struct {
	frame
	offset int
}

// run scans the segment. data, header, durableSeq, nextSeq, failed and emit are set.
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

// isRewritten tells whether the segment was written by a compaction. Such a one lacks the numbers of records that were not
// live, and is sealed before it gets its name.
func (s *segmentScan) isRewritten() bool { return len(s.header.replaces) > 0 }

// lacksDurable tells whether something is missing behind the last record that was durable.
func (s *segmentScan) lacksDurable() bool { return s.isRewritten() || s.durableSeq > s.result.lastSeq }

// scanRun takes the frames of a run.
func (s *segmentScan) scanRun(run frameRun) {
	for at := run.from; at < run.to; {
		f, _ := decodeFrame(s.data[at:])
		switch f.kind {
		case kindGroup:
			s.result.storeTime = max(s.result.storeTime, f.storeTime)
		case kindSeal:
			s.result.sealed = true
			s.result.seal = f
		default:
			s.result.lastSeq = f.seq
			s.batch = append(s.batch, scannedFrame{f, at})
			if !f.moreInBatch {
				s.emitBatch()
			}
		}
		at += f.size
	}
	s.end = run.to
}

// emitBatch hands out the records of a batch that is complete.
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

// finish accounts for the bytes behind the last run, and for what is missing at the end.
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

// reportLoss reports the bytes from s.end to a place as damage; false where nothing that was durable is missing there. nextSeq
// is the number of the record behind it, 0 where it is unknown.
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
		if d.LastSeq < d.FirstSeq { // only the frame of a group, or half a batch
			d.FirstSeq = 0
			d.LastSeq = 0
		}
	}
	s.result.damage = append(s.result.damage, d)
	return true
}
