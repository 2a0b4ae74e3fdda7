package store

import (
	"cmp"
	"time"
)

// Options are the limits and the clock of a store. A zero field means the default.
type Options struct {
	// SegmentBytes is the size at which a segment is sealed. With smaller segments, space is freed sooner; with larger ones, there are
	// fewer files. The default is 4 MiB.
	SegmentBytes int64
	// MaxBytes limits the encoded size of the live records. All files together remain below 2*MaxBytes + 3*SegmentBytes. The
	// default is 64 MiB.
	MaxBytes int64
	// MaxRecords limits the number of live records, and thereby the memory for their keys. The default is 1,048,576.
	MaxRecords int
	// MaxPendingBytes limits the size of the batches that are not durable yet. With a higher limit, a slow disk delays writers for
	// longer before they get ErrBusy. The default is 4 MiB.
	MaxPendingBytes int64
	// MinBackoff is the time after a disk error in which no write is attempted. It doubles with each consecutive error. The default
	// is 100 ms.
	MinBackoff time.Duration
	// MaxBackoff limits the time after repeated disk errors. The default is 5 s.
	MaxBackoff time.Duration
	// Clock is the clock of the machine. The default is SystemClock.
	Clock Clock
}

// withDefaults returns the options with zero fields replaced by their defaults.
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
