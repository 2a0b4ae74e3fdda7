package store

import (
	"errors"
	"fmt"
	"io/fs"
	"time"
)

// inspectAttempts is how often Inspect tries to read a store while compactions of another process remove files.
const inspectAttempts = 11

// Segment describes a file of a store.
type Segment struct {
	File     string `json:"File"`
	Bytes    int64  `json:"Bytes"`
	FirstSeq uint64 `json:"First"` // the lowest sequence number that it can have
	LastSeq  uint64 `json:"Last"`  // of its last record; 0 for none
	Records  uint64 `json:"Records"`
	Replaces int    `json:"Stands"` // number of segments that it replaces
	Sealed   bool   `json:"Ended"`  // it is complete
}

// Report is the result of an inspection.
type Report struct {
	Segments    []Segment `json:"Segments"`
	LiveRecords int       `json:"Live"` // records that are the latest of their key and have not expired
	TornBytes   int64     `json:"Torn"` // bytes of appends that are incomplete, or being written at the moment
	Damage      []Damage  `json:"Damage"`
	Leftovers   []string  `json:"Leftover"` // files that the next Open removes
	InUse       bool      `json:"InUse"`    // some process has the store open
}

// Record is a live record that an inspection has found.
type Record struct {
	Key, Value []byte
	Seq        uint64
	File       string        // the segment that it is in
	TimeLeft   time.Duration // until it expires; negative for a record that never does
}

// Inspect reads a store without changing or locking it, also while another process has it open. It calls visit, unless that is nil,
// for the live records in the order of the log; an error of visit ends the inspection and is returned. A nil clock is SystemClock.
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

// inspectOnce is one attempt of Inspect.
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

// inspection is one pass over a log.
type inspection struct {
	log    *diskLog
	report *Report
	latest map[string]latestRecord // by key
	now    int64                   // store time in ms
}

// latestRecord is the latest record of a key.
type latestRecord struct {
	seq       uint64
	expiresAt int64 // in ms of store time
	segment   int   // index in the log
	offset    int   // in the segment
}

// scan adds a segment of the log to the report, and its records to the latest ones.
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

// dropExpired removes expired records from the latest ones.
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

// timeLeft returns the time until an expiry, and -1 for never.
func (i *inspection) timeLeft(expiresAt int64) time.Duration {
	if expiresAt == never {
		return -1
	}
	return time.Duration(expiresAt-i.now) * time.Millisecond
}
