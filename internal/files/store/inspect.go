package store

import (
	"errors"
	"fmt"
	"io/fs"
	"time"
)

// inspectAttempts is the maximum number of times that Inspect reads a store if another process removes files by compaction meanwhile.
const inspectAttempts = 11

// Segment describes a segment of a store.
type Segment struct {
	File     string `json:"File"`
	Bytes    int64  `json:"Bytes"`
	FirstSeq uint64 `json:"First"`   // lowest sequence number that the segment can have
	LastSeq  uint64 `json:"Last"`    // sequence number of the last record; 0 for none
	Records  uint64 `json:"Records"` // number of records, both puts and deletions
	Replaces int    `json:"Stands"`  // number of segments that this one replaces
	Sealed   bool   `json:"Ended"`   // whether the segment is complete
}

// Report is the result of an inspection.
type Report struct {
	Segments    []Segment `json:"Segments"`
	LiveRecords int       `json:"Live"` // number of records that are the latest of their key and have not expired
	TornBytes   int64     `json:"Torn"` // bytes of appends that are incomplete or in progress
	Damage      []Damage  `json:"Damage"`
	Leftovers   []string  `json:"Leftover"` // names of files that the next Open removes
	InUse       bool      `json:"InUse"`    // whether a process has the store open
}

// Record is a live record that Inspect has found.
type Record struct {
	Key, Value []byte
	Seq        uint64        // sequence number
	File       string        // name of the segment that contains the record
	TimeLeft   time.Duration // time until the record expires; negative if it never does
}

// Inspect reads a store without changing or locking it, even while another process has it open. It calls visit for each live record
// in log order, unless visit is nil. If visit returns an error, Inspect stops and returns that error. A nil clock means SystemClock.
// Inspect fails if the directory contains no store, or if a segment cannot be read.
func Inspect(dir FS, clock Clock, visit func(Record) error) (*Report, error) {
	if clock == nil {
		clock = SystemClock()
	}
	for attempt := 1; ; attempt++ {
		report, err := inspectOnce(dir, clock, visit)
		if errors.Is(err, fs.ErrNotExist) && attempt < inspectAttempts {
			continue
		}
		return report, err
	}
}

// inspectOnce makes one attempt for Inspect.
func inspectOnce(dir FS, clock Clock, visit func(Record) error) (*Report, error) {
	log, err := readLog(dir)
	if err != nil {
		return nil, err
	}
	defer log.close()
	if log.storeID == 0 && len(log.segments) == 0 {
		return nil, errNoStore
	}
	pass := &inspection{
		log:    log,
		report: &Report{Damage: log.damage, TornBytes: log.tornBytes, Leftovers: log.leftovers},
		latest: map[string]latestRecord{},
	}
	if pass.report.InUse, err = dir.Locked(); err != nil {
		return nil, err
	}
	pass.now = storeTimeAt(log.storeTime, log.timestamp, clock())
	for n := range log.segments {
		if err := pass.scan(n); err != nil {
			return nil, err
		}
	}
	pass.dropExpired()
	pass.report.LiveRecords = len(pass.latest)
	if visit == nil {
		return pass.report, nil
	}
	for n := range log.segments {
		if err := pass.visitSegment(n, visit); err != nil {
			return nil, err
		}
	}
	return pass.report, nil
}

// inspection is the state of one inspection of a log.
type inspection struct {
	log    *diskLog
	report *Report
	latest map[string]latestRecord // latest record of each key
	now    int64                   // store time in ms, at which the live records are determined
}

// latestRecord describes the latest record of a key.
type latestRecord struct {
	seq       uint64 // sequence number
	expiresAt int64  // store time in ms at which the record expires
	segment   int    // index of the segment in the log
	offset    int    // offset of the record in the segment
}

// scan adds a segment of the log to the report, and updates the latest records from those in the segment.
func (i *inspection) scan(segmentIndex int) error {
	result, err := i.log.scanSegment(segmentIndex, func(f frame, offset int) {
		key := string(f.key)
		if old, ok := i.latest[key]; ok && old.seq > f.seq {
			return
		}
		if f.kind == kindDelete {
			delete(i.latest, key)
			return
		}
		i.latest[key] = latestRecord{seq: f.seq, expiresAt: f.expiresAt, segment: segmentIndex, offset: offset}
	})
	if err != nil {
		return err
	}
	i.now = max(i.now, result.storeTime)
	i.report.Damage = append(i.report.Damage, result.damage...)
	i.report.TornBytes += result.tornBytes
	seg := i.log.segments[segmentIndex]
	i.report.Segments = append(i.report.Segments, Segment{
		File:     seg.name,
		Bytes:    seg.size,
		FirstSeq: seg.firstSeq,
		LastSeq:  result.lastSeq,
		Records:  result.records,
		Replaces: len(seg.replaces),
		Sealed:   result.sealed,
	})
	return nil
}

// dropExpired removes the expired records from the latest ones.
func (i *inspection) dropExpired() {
	for key, l := range i.latest {
		if l.expiresAt <= i.now {
			delete(i.latest, key)
		}
	}
}

// visitSegment calls visit for the live records of a segment of the log.
func (i *inspection) visitSegment(segmentIndex int, visit func(Record) error) error {
	seg := i.log.segments[segmentIndex]
	data, err := readUpTo(seg.file, seg.size)
	if err != nil {
		return fmt.Errorf("%s: %w", seg.name, err)
	}
	for offset := seg.header.size(); offset < len(data); {
		f, ok := decodeFrame(data[offset:])
		if !ok {
			offset++
			continue
		}
		if i.isLatest(&f, segmentIndex, offset) {
			record := Record{Key: f.key, Value: f.value, Seq: f.seq, File: seg.name, TimeLeft: i.timeLeft(f.expiresAt)}
			if err := visit(record); err != nil {
				return err
			}
		}
		offset += f.size
	}
	return nil
}

// isLatest reports whether a frame is the latest record of its key.
func (i *inspection) isLatest(f *frame, segment, offset int) bool {
	if f.kind != kindPut {
		return false
	}
	l, ok := i.latest[string(f.key)]
	return ok && l.segment == segment && l.offset == offset
}

// timeLeft returns the time until a record expires, or -1 if it never does.
func (i *inspection) timeLeft(expiresAt int64) time.Duration {
	if expiresAt == never {
		return -1
	}
	return time.Duration(expiresAt-i.now) * time.Millisecond
}
