package store

// scanResult is the result of scanning a segment.
type scanResult struct {
	lastSeq   uint64   // sequence number of the last record; 0 for none
	records   uint64   // number of records that were emitted
	sealed    bool     // whether the segment ends with a seal
	seal      frame    // the seal, if sealed is set
	storeTime int64    // latest store time of the groups in ms; 0 for none
	tornBytes int64    // bytes at the end that belong to an incomplete or damaged last append
	damage    []Damage // ranges of bytes that cannot be read and were durable
	// hiddenRecords reports whether a compacted segment has records that earlier versions may not have read, as they took them for a
	// part of an incomplete batch.
	hiddenRecords bool
}

// segmentScan reads the records of one segment, and decides which of them are valid:
//
//   - A missing record that was durable is lost, and is reported as damage. The log shows up to which sequence number records were
//     durable.
//   - A missing record that is not known to have been durable was never acknowledged. All records after it are discarded, as
//     unsynced writes may reach the disk in any order.
//   - A batch is atomic: either all of its records are emitted or none. In a compacted segment each record is a batch by itself, as
//     others of its batch may not have been copied. Earlier versions copied the flag of the batch nevertheless.
//   - Records whose write was reported as failed are not emitted.
type segmentScan struct {
	file   string // name of the segment file
	data   []byte // content of the complete segment
	header header // decoded header of the segment
	// durableSeq is the highest sequence number that this or another segment shows to have been durable.
	durableSeq uint64
	// seqLimit is higher than the sequence numbers of all acknowledged records in this segment, or 0 for the last segment. See
	// diskLog.seqLimit.
	seqLimit uint64
	failed   []seqRange                // sequence numbers of records whose write was reported as failed
	emit     func(f frame, offset int) // called for each valid record

	result scanResult     // result so far
	end    int            // offset up to which all bytes are classified as header, frames or damage
	batch  []scannedFrame // records of a batch whose last record has not been read yet
}

// scannedFrame is a record with its offset in the segment.
type scannedFrame struct {
	frame
	offset int
}

// run scans the segment. The caller must have set the fields above result.
func (s *segmentScan) run() scanResult {
	runs := findFrameRuns(s.data, s.header.size(), s.header.firstSeq)
	for _, run := range runs {
		s.durableSeq = max(s.durableSeq, run.durableSeq)
	}
	if s.seqLimit > 0 {
		s.durableSeq = min(s.durableSeq, s.seqLimit-1)
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

// mayLackDurable reports whether durable records may be missing after the last one that was read.
func (s *segmentScan) mayLackDurable() bool {
	return s.header.isCompacted() || s.durableSeq > s.result.lastSeq
}

// scanRun reads the frames of a run, and emits the records of complete batches.
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
			s.result.hiddenRecords = s.result.hiddenRecords || found.moreInBatch && s.header.isCompacted()
			s.batch = append(s.batch, scannedFrame{found, offset})
			if !found.moreInBatch || s.header.isCompacted() {
				s.emitBatch()
			}
		}
		offset += found.size
	}
	s.end = run.to
}

// emitBatch emits the records of a complete batch, except those whose write was reported as failed.
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

// finish classifies the bytes after the last run as damage or as a torn append, and reports durable records that are missing at the
// end.
func (s *segmentScan) finish() {
	switch {
	case s.end < len(s.data):
		if !s.reportLoss(len(s.data), s.seqLimit) {
			s.result.tornBytes = int64(len(s.data) - s.end)
		}
	case s.end == len(s.data) && !s.result.sealed && s.mayLackDurable():
		s.reportLoss(s.end, s.seqLimit)
	}
}

// reportLoss reports the bytes from s.end up to the offset to as damage, if durable records may be missing there. Otherwise it
// returns false. nextSeq is the sequence number of the first record after the damage, or 0 if that is unknown.
func (s *segmentScan) reportLoss(to int, nextSeq uint64) bool {
	if !s.mayLackDurable() {
		return false
	}
	damage := Damage{File: s.file, From: int64(s.end), To: int64(to), Reason: "unreadable, and was durable"}
	if !s.header.isCompacted() {
		damage.FirstSeq = s.result.lastSeq + 1
		damage.LastSeq = s.durableSeq
		if nextSeq > 0 {
			damage.LastSeq = min(s.durableSeq, nextSeq-1)
		}
		if damage.LastSeq < damage.FirstSeq { // the damage affects only the start of a group, or a part of a batch
			damage.FirstSeq = 0
			damage.LastSeq = 0
		}
	}
	s.result.damage = append(s.result.damage, damage)
	return true
}
