package store

import (
	"errors"
	"fmt"
	"io/fs"
	"time"
)

// Segment is what a file of a store holds.
type Segment struct {
	File     string `json:"File"`
	Bytes    int64  `json:"Bytes"`
	FirstSeq uint64 `json:"First"` // sequence number that it begins with
	LastSeq  uint64 `json:"Last"`  // of its last record; 0 for none
	Records  uint64 `json:"Records"`
	Replaces int    `json:"Stands"` // segments that it stands for
	Sealed   bool   `json:"Ended"`  // nothing is added to it any more
}

// Report is what a look at a store finds.
type Report struct {
	Segments    []Segment `json:"Segments"`
	LiveRecords int       `json:"Live"` // records that are the latest of their key and have not expired
	TornBytes   int64     `json:"Torn"` // bytes of an append that was cut, or is under way
	Damage      []Damage  `json:"Damage"`
	Leftovers   []string  `json:"Leftover"` // files that the next start removes
	InUse       bool      `json:"InUse"`    // some process has it open
}

// Record is one of a store, as it is on the disk.
type Record struct {
	Key, Value []byte
	Seq        uint64
	File       string
	TimeLeft   time.Duration // negative for one that stays
}

// Inspect reads a store without changing anything or locking it, beside a process that uses it or not. With each, that
// is called with its live records in the order in which they were written.
func Inspect(dir FS, clock Clock, each func(Record) error) (*Report, error) {
	if clock == nil {
		clock = SystemClock()
	}
	// A compaction may remove files meanwhile: then it is read again.
	for tries := 0; ; tries++ {
		report, err := inspectOnce(dir, clock, each)
		if errors.Is(err, fs.ErrNotExist) && tries < 10 {
			continue
		}
		return report, err
	}
}

func inspectOnce(dir FS, clock Clock, each func(Record) error) (*Report, error) {
	f, err := readLog(dir)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if f.storeID == 0 && len(f.segments) == 0 {
		return nil, errors.New("there is no store here")
	}
	r := &Report{Damage: f.damage, TornBytes: f.tornBytes, Leftovers: f.leftovers}
	if r.InUse, err = dir.Locked(); err != nil {
		return nil, err
	}
	type latest struct {
		seq     uint64
		expires int64
		seg     int
		at      int
		size    int
	}
	index := map[string]latest{}
	now := storeTimeAt(f.storeTime, f.timestamp, clock())
	for i, seg := range f.segments {
		got, err := f.scanSegment(i, func(x frame, at int) {
			key := string(x.key)
			if old, ok := index[key]; ok && old.seq > x.seq {
				return
			}
			if x.kind == kindDelete {
				delete(index, key)
				return
			}
			index[key] = latest{x.seq, x.expiresAt, i, at, x.size}
		})
		if err != nil {
			return nil, err
		}
		now = max(now, got.storeTime)
		r.Damage = append(r.Damage, got.damage...)
		r.TornBytes += got.tornBytes
		r.Segments = append(r.Segments, Segment{seg.name, seg.size, seg.firstSeq, got.lastSeq, got.records, len(seg.replaces), got.sealed})
	}
	for key, x := range index {
		if x.expires <= now {
			delete(index, key)
		}
	}
	r.LiveRecords = len(index)
	if each == nil {
		return r, nil
	}
	for i, seg := range f.segments {
		data, err := readUpTo(seg.file, seg.size)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", seg.name, err)
		}
		for at := seg.header.size(); at < len(data); {
			x, ok := decodeFrame(data[at:])
			if !ok {
				at++
				continue
			}
			if l, live := index[string(x.key)]; live && x.kind == kindPut && l.seg == i && l.at == at {
				left := time.Duration(-1)
				if x.expiresAt != never {
					left = time.Duration(x.expiresAt-now) * time.Millisecond
				}
				if err := each(Record{x.key, x.value, x.seq, seg.name, left}); err != nil {
					return nil, err
				}
			}
			at += x.size
		}
	}
	return r, nil
}
