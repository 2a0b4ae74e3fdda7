package store

// maxLostRecords is the largest gap in the sequence numbers that findFrameRuns accepts after damage.
const maxLostRecords = 1 << 32

// frameRun is a range of consecutive undamaged frames in a segment.
type frameRun struct {
	from, to   int    // start offset and exclusive end offset
	firstSeq   uint64 // sequence number of the first record; 0 for none
	lastSeq    uint64 // sequence number of the last record; 0 for none
	durableSeq uint64 // highest durableSeq of the groups in the run
}

// add appends the next frame to the run.
func (r *frameRun) add(f *frame) {
	r.to += f.size
	switch {
	case f.kind == kindGroup:
		r.durableSeq = max(r.durableSeq, f.durableSeq)
	case f.isRecord():
		if r.firstSeq == 0 {
			r.firstSeq = f.seq
		}
		r.lastSeq = f.seq
	}
}

// findFrameRuns finds the runs of undamaged frames in a segment. start is the offset after the header. firstSeq is the lowest
// sequence number that the segment can have, or 0 if that is unknown. After damage, findFrameRuns tries each byte as the start of a
// frame, since a damaged length does not show where the next frame is. It accepts a frame only if its sequence number can follow the
// preceding ones. Otherwise frames within a value, such as a copy of a segment, could be mistaken for frames of this segment.
func findFrameRuns(data []byte, start int, firstSeq uint64) (runs []frameRun) {
	lastSeq := firstSeq - 1
	run := frameRun{from: start, to: start}
	for offset := start; offset < len(data); {
		f, ok := decodeFrame(data[offset:])
		if !ok || firstSeq > 0 && !canFollow(&f, firstSeq, lastSeq) {
			if run.to > run.from {
				runs = append(runs, run)
			}
			offset++
			run = frameRun{from: offset, to: offset}
			continue
		}
		run.add(&f)
		offset = run.to
		if f.isRecord() {
			lastSeq = f.seq
		}
	}
	if run.to > run.from {
		runs = append(runs, run)
	}
	return runs
}

// canFollow reports whether a frame can follow the record lastSeq in a segment whose lowest sequence number is firstSeq. A group has
// the number of the next record, and a seal that of the last record, so that either can have the same number as a record.
func canFollow(f *frame, firstSeq, lastSeq uint64) bool {
	if f.isRecord() && f.seq <= lastSeq {
		return false
	}
	return f.seq <= lastSeq+maxLostRecords && f.seq+1 >= firstSeq
}
