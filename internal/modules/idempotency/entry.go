package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"quincegap/internal/balancer"
)

// Origin is where repeats of a request are recognised. The names in JSON are those that `store dump` prints.
type Origin struct {
	Zone     string `json:"Zone"`
	Cell     int    `json:"Cell"`
	Endpoint string `json:"Endpoint"` // its uid in discovery, for people
}

// Entry is the state of one request. The names in JSON are those that `store dump` prints.
type Entry struct {
	Class      string        `json:"Class"`
	Origin                   // of the first attempt
	SentAt     time.Duration `json:"At"`     // when the first attempt was sent, on the caller's clock
	Retention  time.Duration `json:"Keep"`   // how long the entry is kept after that
	Served     bool          `json:"Served"` // the caller got a response
	mayHaveRun bool          // an attempt has ended and may have run
	durable    bool          // the entry is on disk
	inFlight   int           // attempts that have not ended
}

// MayHaveRun reports whether the request may have run: an attempt is in flight, or one has ended that may have run.
func (e *Entry) MayHaveRun() bool { return e.mayHaveRun || e.Served || e.inFlight > 0 }

// RetentionOf returns how long the entry of a request of a class is kept: twice the deadline, in which callers may repeat it, or, with
// an idempotency key, the window in which endpoints recognise repeats and the deadline.
func RetentionOf(c *balancer.Class) time.Duration {
	if c.Idempotency == balancer.IdempotentWithKey {
		return c.KeyWindow + c.Deadline
	}
	return 2 * c.Deadline
}

// The errors of Decode.
var (
	ErrUnknownFormat = errors.New("an entry of a layout that is not known")
	ErrTruncated     = errors.New("an entry that was cut")
)

const (
	// formatVersion is the version of the encoding.
	formatVersion = 1
	// servedFlag is the bit for Served in the second byte.
	servedFlag = 1
	// headerBytes is the length of the version and the flags.
	headerBytes = 2
	// maxRetentionMillis bounds the retention that Decode accepts, in milliseconds.
	maxRetentionMillis = 1 << 40
)

// Encode returns the entry as it is on a disk: version, flags, retention in milliseconds, cell, class, zone and endpoint; numbers are
// varints, texts follow their length. SentAt is left out: Decode computes it from the remaining time to live of the record.
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

// Decode decodes an entry; left is the remaining time to live of its record, from which SentAt is computed. The error is
// ErrUnknownFormat or ErrTruncated.
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

// decoder reads the fields of an entry one by one. After one that cannot be read all others are zero.
type decoder struct {
	rest      []byte
	truncated bool
}

// skip moves on by a field of n bytes, and reports whether the field was read; n is not above 0 if it could not be.
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
