package store

// maxLostRecords is how many records one damage can have swallowed, as far as findFrameRuns believes.
const maxLostRecords = 1 << 32

// frameRun is a run of undamaged frames in a segment.
type frameRun struct {
	from, to   int    // in bytes
	firstSeq   uint64 // of its records; both 0 where it has none
	lastSeq    uint64
	durableSeq uint64 // the highest of its groups
}

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

// findFrameRuns finds the runs of undamaged frames behind a segment's header. firstSeq is the first number that the segment
// can have, 0 where it is unknown. Behind damage each byte is tried as the start of a frame: a length that was hit says
// nothing of where the next one is. A frame counts only if its number can follow those before, so that a value which holds
// frames, as a copy of a store's file does, is hardly taken for some.
func findFrameRuns(data []byte, start int, firstSeq uint64) (runs []frameRun) {
	lastSeq := firstSeq - 1
	run := frameRun{from: start, to: start}
	for at := start; at < len(data); {
		f, ok := decodeFrame(data[at:])
		if !ok || firstSeq > 0 && !canFollow(&f, firstSeq, lastSeq) {
			if run.to > run.from {
				runs = append(runs, run)
			}
			at++
			run = frameRun{from: at, to: at}
			continue
		}
		run.add(&f)
		at = run.to
		if f.isRecord() {
			lastSeq = f.seq
		}
	}
	if run.to > run.from {
		runs = append(runs, run)
	}
	return runs
}

// canFollow tells whether a frame can come after the record with a given number, in a segment that begins with firstSeq. A
// group has the number of the next record and a seal that of the last one, so that they may repeat one.
func canFollow(f *frame, firstSeq, lastSeq uint64) bool {
	if f.isRecord() && f.seq <= lastSeq {
		return false
	}
	return f.seq <= lastSeq+maxLostRecords && f.seq+1 >= firstSeq
}
