package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"quincegap/internal/balancer"
)

// Origin is the place where repeats of a request are recognised. `store dump` prints its JSON form.
type Origin struct {
	Zone     string `json:"Zone"`
	Cell     int    `json:"Cell"`
	Endpoint string `json:"Endpoint"` // uid of the endpoint in discovery, as information for operators
}

// Entry is the state of one request. `store dump` prints its JSON form.
type Entry struct {
	Class      string        `json:"Class"`
	Origin                   // where the first attempt was sent
	SentAt     time.Duration `json:"At"`     // time at which the first attempt was sent, on the caller's clock
	Retention  time.Duration `json:"Keep"`   // how long the entry is retained after SentAt
	Served     bool          `json:"Served"` // the caller got a response
	mayHaveRun bool          // an attempt has ended and may have run
	durable    bool          // the entry is on disk
	inFlight   int           // number of attempts that have not ended
}

// MayHaveRun reports whether the request may have run: an attempt is in flight, or one that may have run has ended.
func (e *Entry) MayHaveRun() bool { return e.mayHaveRun || e.Served || e.inFlight > 0 }

// RetentionOf returns how long the entry of a request of a class is retained. With an idempotency key this is the window in which
// endpoints recognise repeats plus the deadline; otherwise it is twice the deadline, the time in which callers may repeat the request.
func RetentionOf(c *balancer.Class) time.Duration {
	if c.Idempotency == balancer.IdempotentWithKey {
		return c.KeyWindow + c.Deadline
	}
	return 2 * c.Deadline
}

// The errors of Decode.
var (
	ErrUnknownFormat = errors.New("request entry has an unknown format")
	ErrTruncated     = errors.New("request entry is truncated")
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

// Encode returns the entry as it is stored on disk: version, flags, retention in milliseconds, cell, class, zone and endpoint. Numbers
// are varints, and each text is preceded by its length. SentAt is not stored: Decode computes it from the remaining time to live of the
// record.
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

// Decode decodes an entry. It computes SentAt from timeLeft, the remaining time to live of the record. The error is ErrUnknownFormat or
// ErrTruncated.
func Decode(b []byte, now, timeLeft time.Duration) (Entry, error) {
	if len(b) < headerBytes || b[0] != formatVersion {
		return Entry{}, fmt.Errorf("%w: % x", ErrUnknownFormat, b[:min(len(b), headerBytes)])
	}
	d := decoder{rest: b[headerBytes:]}
	entry := Entry{Served: b[1]&servedFlag != 0}
	entry.Retention = d.retention()
	entry.Cell = d.cell()
	entry.Class = d.text()
	entry.Zone = d.text()
	entry.Endpoint = d.text()
	if d.truncated {
		return Entry{}, ErrTruncated
	}
	entry.SentAt = now - max(entry.Retention-timeLeft, 0)
	return entry, nil
}

// decoder reads the fields of an entry one by one. After a field that cannot be read, all further fields are zero.
type decoder struct {
	rest      []byte
	truncated bool
}

// advance skips a field of n bytes and reports whether the field could be read. If it could not, n is 0 or negative, as
// binary.Uvarint returns it.
func (d *decoder) advance(n int) bool {
	if d.truncated || n <= 0 {
		d.truncated = true
		return false
	}
	d.rest = d.rest[n:]
	return true
}

func (d *decoder) retention() time.Duration {
	millis, n := binary.Uvarint(d.rest)
	if !d.advance(n) || millis > maxRetentionMillis {
		d.truncated = true
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

func (d *decoder) cell() int {
	cell, n := binary.Varint(d.rest)
	if !d.advance(n) {
		return 0
	}
	return int(cell)
}

func (d *decoder) text() string {
	length, n := binary.Uvarint(d.rest)
	if !d.advance(n) || length > uint64(len(d.rest)) {
		d.truncated = true
		return ""
	}
	text := string(d.rest[:length])
	d.rest = d.rest[length:]
	return text
}
