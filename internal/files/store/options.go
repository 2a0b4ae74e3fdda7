package store

import (
	"cmp"
	"time"
)

// Options bound a store. The zero value of a field stands for its default.
type Options struct {
	// SegmentBytes is the size from which on a segment is sealed; 4 MiB.
	SegmentBytes int64
	// MaxBytes bounds the live records on the disk; all files together stay below twice this and three segments; 64 MiB.
	MaxBytes int64
	// MaxRecords bounds the live records, whose keys are in memory; 1,048,576.
	MaxRecords int
	// MaxPendingBytes bounds the batches that wait for the disk; 4 MiB.
	MaxPendingBytes int64
	// MinBackoff is how long no write is tried after the disk has failed; it doubles with each failure; 100 ms.
	MinBackoff time.Duration
	// MaxBackoff bounds the doubling; 5 s.
	MaxBackoff time.Duration
	// Clock is the machine's, SystemClock, unless a test sets another one.
	Clock Clock
}

func (o Options) withDefaults() Options {
	o.SegmentBytes = cmp.Or(o.SegmentBytes, 4<<20)
	o.MaxBytes = cmp.Or(o.MaxBytes, 64<<20)
	o.MaxRecords = cmp.Or(o.MaxRecords, 1<<20)
	o.MaxPendingBytes = cmp.Or(o.MaxPendingBytes, 4<<20)
	o.MinBackoff = cmp.Or(o.MinBackoff, 100*time.Millisecond)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, 5*time.Second)
	if o.Clock == nil {
		o.Clock = SystemClock()
	}
	return o
}
