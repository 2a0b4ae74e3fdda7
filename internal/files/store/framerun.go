package store

// maxLostRecords is the largest gap in the sequence numbers after damage that findFrameRuns accepts.
const maxLostRecords = 1 << 32

// frameRun is a run of consecutive undamaged frames in a segment.
type frameRun struct {
	from, to   int    // offsets of its first byte and of the one after its last
	firstSeq   uint64 // of its first record; 0 if it has none
	lastSeq    uint64 // of its last record; 0 if it has none
	durableSeq uint64 // the highest of its groups
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
// sequence number that the segment can have, 0 if it is unknown. After damage, each byte is tried as the start of a frame, since a
// damaged length does not show where the next frame is. A frame counts only if its sequence number can follow those before it.
// Otherwise frames within a value, such as a copy of a segment, could be mistaken for frames of this one.
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

// canFollow reports whether a frame can come after the record lastSeq, in a segment that begins with firstSeq. A group has the
// number of the next record, and a seal that of the last one, so that both may have the same number as a record.
func canFollow(f *frame, firstSeq, lastSeq uint64) bool {
	if f.isRecord() && f.seq <= lastSeq {
		return false
	}
	return f.seq <= lastSeq+maxLostRecords && f.seq+1 >= firstSeq
}
