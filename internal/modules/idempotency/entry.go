package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"quincegap/internal/balancer"
)

// Origin is where the repeats of a request are recognized. The names in JSON are those that `store dump` prints.
type Origin struct {
	Zone     string `json:"Zone"`
	Cell     int    `json:"Cell"`
	Endpoint string `json:"Endpoint"` // the name that discovery has for it, for people
}

// Entry is what is known of one request. The names in JSON are those that `store dump` prints.
type Entry struct {
	Class      string        `json:"Class"`
	Origin                   // of the first attempt that may have run
	SentAt     time.Duration `json:"At"`     // when that was sent; on the clock of whoever asks
	Retention  time.Duration `json:"Keep"`   // how long after that it is remembered
	Served     bool          `json:"Served"` // an answer was served
	mayHaveRun bool          // some attempt has ended and may have run
	durable    bool          // it is known to be on disk
	inFlight   int           // attempts that have not ended
}

// MayHaveRun reports whether the entry says that the request may have run. One that says otherwise is of an attempt that is
// proven not to have.
func (e *Entry) MayHaveRun() bool { return e.mayHaveRun || e.Served || e.inFlight > 0 }

// RetentionOf is how long a request of a class is remembered: as long as clients come again with it, and, where it has an
// idempotency key, from the end of the window on in which repeats of its last attempt are dropped.
func RetentionOf(c *balancer.Class) time.Duration {
	if c.Idempotency == balancer.IdempotentWithKey {
		return c.KeyWindow + c.Deadline
	}
	return 2 * c.Deadline
}

// What Decode cannot read.
var (
	ErrUnknownFormat = errors.New("an entry of a layout that is not known")
	ErrTruncated     = errors.New("an entry that was cut")
)

const (
	// formatVersion is the version of what Encode writes.
	formatVersion = 1
	// servedFlag is the bit for Served in the second byte.
	servedFlag = 1
	// headerBytes are the version and the flags.
	headerBytes = 2
	// maxRetentionMillis bounds what is taken for a retention.
	maxRetentionMillis = 1 << 40
)

// Encode is an entry as it is on a disk: version, flags, retention in milliseconds, cell, class, zone and endpoint; numbers are
// varints, texts follow their length. Its time is not in it, for the disk says its age.
func (e *Entry) Encode() []byte {
	b := []byte{formatVersion, 0}
	if e.Served {
		b[1] |= servedFlag
	}
	b = binary.AppendUvarint(b, uint64(e.Retention.Milliseconds()))
	b = binary.AppendVarint(b, int64(e.Cell))
	for _, text := range []string{e.Class, e.Zone, e.Endpoint} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	return b
}

// Decode reads what Encode has written; left is how much longer it stays, and says when the attempt was made. It returns
// ErrUnknownFormat or ErrTruncated for anything else.
func Decode(b []byte, now, left time.Duration) (Entry, error) {
	if len(b) < headerBytes || b[0] != formatVersion {
		return Entry{}, fmt.Errorf("%w: % x", ErrUnknownFormat, b[:min(len(b), headerBytes)])
	}
	d := decoder{rest: b[headerBytes:]}
	e := Entry{Served: b[1]&servedFlag != 0}
	e.Retention = d.retention()
	e.Cell = d.cell()
	e.Class = d.text()
	e.Zone = d.text()
	e.Endpoint = d.text()
	if d.truncated {
		return Entry{}, ErrTruncated
	}
	e.SentAt = now - max(e.Retention-left, 0)
	return e, nil
}

// decoder reads the fields of an entry one by one. Once one cannot be read all others are empty.
type decoder struct {
	rest      []byte
	truncated bool
}

// skip goes on behind a field of n bytes; none if it could not be read.
func (d *decoder) skip(n int) bool {
	if d.truncated || n <= 0 {
		d.truncated = true
		return false
	}
	d.rest = d.rest[n:]
	return true
}

func (d *decoder) retention() time.Duration {
	millis, n := binary.Uvarint(d.rest)
	if !d.skip(n) || millis > maxRetentionMillis {
		d.truncated = true
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

func (d *decoder) cell() int {
	cell, n := binary.Varint(d.rest)
	if !d.skip(n) {
		return 0
	}
	return int(cell)
}

func (d *decoder) text() string {
	size, n := binary.Uvarint(d.rest)
	if !d.skip(n) || size > uint64(len(d.rest)) {
		d.truncated = true
		return ""
	}
	text := string(d.rest[:size])
	d.rest = d.rest[size:]
	return text
}
