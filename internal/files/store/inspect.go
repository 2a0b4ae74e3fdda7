package store

import (
	"errors"
	"fmt"
	"io/fs"
	"time"
)

// inspectAttempts is how often a store is read anew because a compaction removed a file meanwhile.
const inspectAttempts = 11

// Segment describes a file of a store.
type Segment struct {
	File     string `json:"File"`
	Bytes    int64  `json:"Bytes"`
	FirstSeq uint64 `json:"First"` // the sequence number that it begins with
	LastSeq  uint64 `json:"Last"`  // of its last record; 0 for none
	Records  uint64 `json:"Records"`
	Replaces int    `json:"Stands"` // how many segments it replaces
	Sealed   bool   `json:"Ended"`  // nothing is added to it any more
}

// Report is what an inspection of a store finds.
type Report struct {
	Segments    []Segment `json:"Segments"`
	LiveRecords int       `json:"Live"` // the latest of their key, and not expired
	TornBytes   int64     `json:"Torn"` // of an append that was cut, or is being written
	Damage      []Damage  `json:"Damage"`
	Leftovers   []string  `json:"Leftover"` // files that the next Open removes
	InUse       bool      `json:"InUse"`    // some process has the store open
}

// Record is a record as it is on the disk.
type Record struct {
	Key, Value []byte
	Seq        uint64
	File       string
	TimeLeft   time.Duration // negative for a record that doesn't expire
}

// Inspect reads a store without changing or locking it, also while a process has it open. Where visit is not nil, it is called
// with the live records in the order in which they were written; its error ends the inspection. A nil clock is the machine's.
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

func inspectOnce(dir FS, clock Clock, visit func(Record) error) (*Report, error) {
	log, err := readLog(dir)
	if err != nil {
		return nil, err
	}
	defer log.close()
	if log.storeID == 0 && len(log.segments) == 0 {
		return nil, errNoStore
	}
	i := &inspection{
		log:    log,
		report: &Report{Damage: log.damage, TornBytes: log.tornBytes, Leftovers: log.leftovers},
		latest: map[string]latestRecord{},
	}
	if i.report.InUse, err = dir.Locked(); err != nil {
		return nil, err
	}
	i.now = storeTimeAt(log.storeTime, log.timestamp, clock())
	for n := range log.segments {
		if err := i.scan(n); err != nil {
			return nil, err
		}
	}
	i.dropExpired()
	i.report.LiveRecords = len(i.latest)
	if visit == nil {
		return i.report, nil
	}
	for n := range log.segments {
		if err := i.visitSegment(n, visit); err != nil {
			return nil, err
		}
	}
	return i.report, nil
}

// inspection is one pass over a log.
type inspection struct {
	log    *diskLog
	report *Report
	latest map[string]latestRecord // by key
	now    int64                   // time of the store in ms
}

type latestRecord struct {
	seq       uint64
	expiresAt int64
	segment   int // index in the log
	offset    int
}

// scan adds a segment to the report, and its records to the latest ones.
func (i *inspection) scan(n int) error {
	result, err := i.log.scanSegment(n, func(f frame, offset int) {
		key := string(f.key)
		if old, ok := i.latest[key]; ok && old.seq > f.seq {
			return
		}
		if f.kind == kindDelete {
			delete(i.latest, key)
			return
		}
		i.latest[key] = latestRecord{seq: f.seq, expiresAt: f.expiresAt, segment: n, offset: offset}
	})
	if err != nil {
		return err
	}
	i.now = max(i.now, result.storeTime)
	i.report.Damage = append(i.report.Damage, result.damage...)
	i.report.TornBytes += result.tornBytes
	seg := i.log.segments[n]
	i.report.Segments = append(i.report.Segments, Segment{
		File: seg.name, Bytes: seg.size, FirstSeq: seg.firstSeq, LastSeq: result.lastSeq,
		Records: result.records, Replaces: len(seg.replaces), Sealed: result.sealed,
	})
	return nil
}

func (i *inspection) dropExpired() {
	for key, l := range i.latest {
		if l.expiresAt <= i.now {
			delete(i.latest, key)
		}
	}
}

// visitSegment calls visit with the live records of a segment.
func (i *inspection) visitSegment(n int, visit func(Record) error) error {
	seg := i.log.segments[n]
	data, err := readUpTo(seg.file, seg.size)
	if err != nil {
		return fmt.Errorf("%s: %w", seg.name, err)
	}
	for at := seg.header.size(); at < len(data); {
		f, ok := decodeFrame(data[at:])
		if !ok {
			at++
			continue
		}
		if i.isLatest(&f, n, at) {
			record := Record{Key: f.key, Value: f.value, Seq: f.seq, File: seg.name, TimeLeft: i.timeLeft(f.expiresAt)}
			if err := visit(record); err != nil {
				return err
			}
		}
		at += f.size
	}
	return nil
}

func (i *inspection) isLatest(f *frame, segment, offset int) bool {
	if f.kind != kindPut {
		return false
	}
	l, ok := i.latest[string(f.key)]
	return ok && l.segment == segment && l.offset == offset
}

func (i *inspection) timeLeft(expiresAt int64) time.Duration {
	if expiresAt == never {
		return -1
	}
	return time.Duration(expiresAt-i.now) * time.Millisecond
}
