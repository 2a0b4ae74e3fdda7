package store

import (
	"errors"
	"fmt"
	"slices"
)

var errHeaderUnreadable = errors.New("no header")

// Damage is a place where what was durable cannot be read, with what of it is known to be lost.
type Damage struct {
	File     string `json:"File"`
	From     int64  `json:"From"`  // bytes that cannot be read
	To       int64  `json:"To"`    // the first byte behind them
	FirstSeq uint64 `json:"First"` // sequence numbers of the records that may have stood there; both 0 where that is not known
	LastSeq  uint64 `json:"Last"`
	Reason   string `json:"Why"`
}

func (d Damage) String() string {
	text := fmt.Sprintf("%s: bytes %d to %d: %s", d.File, d.From, d.To, d.Reason)
	if d.LastSeq > 0 {
		text += fmt.Sprintf("; records %d to %d", d.FirstSeq, d.LastSeq)
	}
	return text
}

// frameRun is a run of sound frames in a segment.
type frameRun struct {
	from, to          int
	firstSeq, lastSeq uint64 // sequence numbers of its records; 0 where it has none
	durableSeq        uint64 // the highest of its groups
	sealed            bool
}

// seqRange are the numbers from the first on and before the second: of records whose write failed, and which may stand
// in a file all the same.
type seqRange [2]uint64

// findFrameRuns finds the runs of sound frames in what follows a segment's header. Behind damage it looks at each byte
// for the next one: a length that was hit says nothing of where that is. A frame only counts there if its number
// could stand there, so that a value that holds frames, as a copy of a store's file does, is hardly taken for some.
func findFrameRuns(data []byte, at int, first uint64) (all []frameRun) {
	const furthest = 1 << 32 // records that one damage can have swallowed
	last := first - 1        // of the records seen; first may be 0 where it is not known
	s := frameRun{from: at, to: at}
	for at < len(data) {
		f, ok := decodeFrame(data[at:])
		record := f.kind == kindPut || f.kind == kindDelete // a mark stands between two numbers
		if ok && first > 0 && (f.seq > last+furthest || record && f.seq <= last || f.seq+1 < first) {
			ok = false
		}
		if !ok {
			if s.to > s.from {
				all = append(all, s)
			}
			at++
			s = frameRun{from: at, to: at}
			continue
		}
		at += f.size
		s.to = at
		switch f.kind {
		case kindGroup:
			s.durableSeq = max(s.durableSeq, f.durableSeq)
		case kindSeal:
			s.sealed = true
		default:
			last = f.seq
			if s.firstSeq == 0 {
				s.firstSeq = f.seq
			}
			s.lastSeq = f.seq
		}
	}
	if s.to > s.from {
		all = append(all, s)
	}
	return all
}

// scanResult is what was found in a segment.
type scanResult struct {
	lastSeq   uint64 // record; 0 for none
	records   uint64
	sealed    bool
	expiresAt int64 // the latest of its records
	seal      frame
	storeTime int64
	tornBytes int64 // bytes at the end of an append that was cut, or of damage to the last one
	damage    []Damage
}

// scanSegment hands the records of a segment to emit, with the places of their frames. durable is the highest number
// that is known from elsewhere to have been durable, and before the one that the next segment begins with (0 where
// there is none): what is missing up to there is lost, while what is missing beyond it was never acknowledged.
// Nothing is believed behind such a gap, for writes that were not synced may have come out in any order. Of a
// batch all records are handed over or none, and none that was said to have failed.
func scan(file string, data []byte, h header, durable, before uint64, voids []seqRange, emit func(f frame, at int)) (s scanResult) {
	all := findFrameRuns(data, h.size(), h.firstSeq)
	known := durable
	for _, p := range all {
		known = max(known, p.durableSeq)
	}
	if before > 0 {
		known = min(known, before-1)
	}
	rewritten := len(h.replaces) > 0 // it lacks what nobody needs, and is sealed or not there
	type held struct {
		frame
		at int
	}
	var batch []held
	end := h.size()
	s.lastSeq = max(h.firstSeq, 1) - 1
	base := s.lastSeq
	// lose names what is missing up to a place; false where it was never acknowledged.
	lose := func(to int, next uint64) bool {
		if !rewritten && known <= s.lastSeq {
			return false
		}
		d := Damage{File: file, From: int64(end), To: int64(to), Reason: "unreadable, and was durable"}
		if !rewritten {
			d.FirstSeq, d.LastSeq = s.lastSeq+1, known
			if next > 0 {
				d.LastSeq = min(known, next-1)
			}
			if d.LastSeq < d.FirstSeq {
				d.FirstSeq, d.LastSeq = 0, 0 // a group's mark alone, or half a batch
			}
		}
		s.damage = append(s.damage, d)
		return true
	}
	for _, p := range all {
		if p.from > end {
			batch = nil
			if !lose(p.from, p.firstSeq) {
				break
			}
		}
		for at := p.from; at < p.to; {
			f, _ := decodeFrame(data[at:])
			switch f.kind {
			case kindGroup:
				s.storeTime = max(s.storeTime, f.storeTime)
			case kindSeal:
				s.sealed, s.seal = true, f
			default:
				s.lastSeq = f.seq
				batch = append(batch, held{f, at})
				if !f.moreInBatch {
					for _, x := range batch {
						if !slices.ContainsFunc(voids, func(v seqRange) bool { return v[0] <= x.seq && x.seq < v[1] }) {
							s.records++
							if x.kind == kindPut {
								s.expiresAt = max(s.expiresAt, x.expiresAt)
							}
							emit(x.frame, x.at)
						}
					}
					batch = batch[:0]
				}
			}
			at += f.size
		}
		end = p.to
	}
	if end < len(data) && !lose(len(data), before) || end == len(data) && !s.sealed && (rewritten || known > s.lastSeq) {
		if end == len(data) {
			lose(end, before)
		} else {
			s.tornBytes = int64(len(data) - end)
		}
	}
	if s.lastSeq == base {
		s.lastSeq = 0
	}
	return s
}
