package store

import (
	"cmp"
	"time"
)

// Options are the limits of a store. A field with its zero value has the default.
type Options struct {
	// SegmentBytes is the size at which a segment is sealed. Smaller segments free space sooner, larger ones are fewer files. The
	// default is 4 MiB.
	SegmentBytes int64
	// MaxBytes limits the live records on the disk. All files together stay below twice this and three segments. The default is
	// 64 MiB.
	MaxBytes int64
	// MaxRecords limits the number of live records, whose keys are in memory. The default is 1,048,576.
	MaxRecords int
	// MaxPendingBytes limits the batches that are not durable yet. More of them let a slow disk delay writers for longer before they
	// get ErrBusy. The default is 4 MiB.
	MaxPendingBytes int64
	// MinBackoff is the time after a failure of the disk in which no write is tried. It doubles with each further failure. The
	// default is 100 ms.
	MinBackoff time.Duration
	// MaxBackoff limits the doubling. The default is 5 s.
	MaxBackoff time.Duration
	// Clock is the clock of the machine. The default is SystemClock.
	Clock Clock
}

// withDefaults returns the options with the defaults of the fields that are not set.
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
