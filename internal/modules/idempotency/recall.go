// Package idempotency remembers which requests may have run, so that what a sidecar
// knew when it died still binds the one that follows it. It does no I/O: it
// says what is to be kept before an attempt goes out and after it has ended, and
// is told at a start what was kept.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/structures/deadlinequeue"
)

// ID names a request over its repeats: what its Idempotency-Key, or for want of one its own id, comes to. Keys may
// tell of people and are not to be read off a disk, so it is a digest.
type ID [17]byte

// KeyedID is the ID of a request of a class with an Idempotency-Key.
func KeyedID(class, key string) ID { return digest('k', class, key) }

// RequestID is the ID of a request that has no key: it comes again only where somebody sends the very same again.
func RequestID(class string, id balancer.RequestID) ID { return digest('r', class, string(id)) }

func digest(sort byte, class, text string) (id ID) {
	h := sha256.New()
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(class))) // so that no two pairs read the same
	h.Write(n[:])
	h.Write([]byte(class))
	h.Write([]byte(text))
	id[0] = sort
	copy(id[1:], h.Sum(nil))
	return id
}

// Origin is where repeats of a request are known. The names in JSON are those that `store dump` prints.
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
	durable    bool          // it is known to be durable
	inFlight   int           // attempts that have not ended
}

// MayHaveRun is whether the entry says that the request may have run. One that says otherwise is of an attempt that is
// proven not to have.
func (e *Entry) MayHaveRun() bool { return e.mayHaveRun || e.Served || e.inFlight > 0 }

// RetentionOf is how long a request of a class is remembered: as long as clients come again with it, and, where it has a
// key, from the end of the window on in which repeats of its last attempt are dropped.
func RetentionOf(c *balancer.Class) time.Duration {
	if c.Idempotency == balancer.IdempotentWithKey {
		return c.KeyWindow + c.Deadline
	}
	return 2 * c.Deadline
}

// ErrFull says that a table has as many entries as it may.
var ErrFull = errors.New("as many requests are remembered as may be")

// Table is what is remembered. It is not safe for concurrent use. Times are on one clock, that never goes back.
type Table struct {
	maxEntries  int
	entries     map[ID]*Entry
	expirations deadlinequeue.Queue[ID]
}

// NewTable makes one with a bound on its entries.
func NewTable(most int) *Table { return &Table{maxEntries: most, entries: map[ID]*Entry{}} }

// Len is how many entries there are.
func (t *Table) Len() int { return len(t.entries) }

// expire forgets what has been remembered for long enough. One that has an attempt out stays until that ends.
func (t *Table) expire(now time.Duration) {
	for {
		id, at, ok := t.expirations.Peek()
		if !ok || at > now {
			return
		}
		if e := t.entries[id]; e.inFlight > 0 {
			t.expirations.Put(id, now+max(e.Retention, time.Second))
			continue
		}
		t.remove(id)
	}
}

func (t *Table) remove(id ID) {
	delete(t.entries, id)
	t.expirations.Remove(id)
}

// Lookup is what is known of a request that comes; false for nothing.
func (t *Table) Lookup(now time.Duration, id ID) (Entry, bool) {
	t.expire(now)
	e := t.entries[id]
	if e == nil || !e.MayHaveRun() {
		return Entry{}, false
	}
	return *e, true
}

// BeginAttempt notes that an attempt is about to go out. Unless changed is false, what it returns has to be durable
// before it does. An entry keeps the first attempt's group and time: the window in which repeats are dropped
// counts from there.
func (t *Table) BeginAttempt(now time.Duration, id ID, class string, keep time.Duration, to Origin) (e Entry, changed bool, err error) {
	t.expire(now)
	x := t.entries[id]
	if x == nil {
		if len(t.entries) >= t.maxEntries {
			return Entry{}, false, ErrFull
		}
		x = &Entry{Class: class, Origin: to, SentAt: now, Retention: keep}
		t.entries[id] = x
		t.expirations.Put(id, now+keep)
	}
	x.inFlight++
	return *x, !x.durable, nil
}

// MarkDurable notes that what Before returned has become durable.
func (t *Table) MarkDurable(id ID) {
	if x := t.entries[id]; x != nil {
		x.durable = true
	}
}

// Change is what has to be kept after an attempt has ended.
type Change int

// The changes.
const (
	NoChange    Change = iota // what is kept still says it
	PutEntry                  // the entry anew
	DeleteEntry               // nothing any more: it never ran
)

// EndAttempt notes how an attempt ended; answered tells that its answer goes to the client. What changes need not be
// waited for: until it is kept, more is taken to have run than has. Moved is the entry's ID.
func (t *Table) EndAttempt(now time.Duration, id ID, status balancer.Status, answered bool) (e Entry, c Change) {
	x := t.entries[id]
	if x == nil || x.inFlight == 0 {
		return Entry{}, NoChange
	}
	x.inFlight--
	switch {
	case status == balancer.StatusOK && answered && !x.Served:
		x.Served, x.mayHaveRun = true, true
		return *x, PutEntry
	case !status.NeverRan():
		x.mayHaveRun = true
	}
	if x.inFlight == 0 && !x.mayHaveRun {
		t.remove(id)
		return Entry{}, DeleteEntry
	}
	return *x, NoChange
}

// Restore takes in what was kept, at a start. What was out when the process died may have run.
func (t *Table) Restore(id ID, e Entry) error {
	if len(t.entries) >= t.maxEntries {
		return ErrFull
	}
	e.mayHaveRun, e.durable, e.inFlight = true, true, 0
	t.entries[id] = &e
	t.expirations.Put(id, e.SentAt+e.Retention)
	return nil
}

// formatVersion is the version of what Encode writes.
const formatVersion = 1

// Encode is an entry's text on a disk; its time is not in it, for the disk tells its age.
func (e *Entry) Encode() []byte {
	b := []byte{formatVersion, 0}
	if e.Served {
		b[1] = 1
	}
	b = binary.AppendUvarint(b, uint64(e.Retention.Milliseconds()))
	b = binary.AppendVarint(b, int64(e.Cell))
	for _, s := range []string{e.Class, e.Zone, e.Endpoint} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}

// Decode reads a text of Encode; left is how much longer it stays, and says when the attempt was made.
func Decode(b []byte, now, left time.Duration) (e Entry, err error) {
	if len(b) < 2 || b[0] != formatVersion {
		return e, fmt.Errorf("an entry of a layout that is not known: % x", b[:min(len(b), 2)])
	}
	bad := errors.New("an entry that was cut")
	e.Served = b[1]&1 != 0
	b = b[2:]
	keep, n := binary.Uvarint(b)
	if n <= 0 || keep > uint64(1<<40) {
		return e, bad
	}
	b = b[n:]
	cell, n := binary.Varint(b)
	if n <= 0 {
		return e, bad
	}
	b = b[n:]
	for _, s := range []*string{&e.Class, &e.Zone, &e.Endpoint} {
		size, n := binary.Uvarint(b)
		if n <= 0 || size > uint64(len(b)-n) {
			return e, bad
		}
		*s = string(b[n : n+int(size)])
		b = b[n+int(size):]
	}
	e.Retention, e.Cell = time.Duration(keep)*time.Millisecond, int(cell)
	e.SentAt = now - max(e.Retention-left, 0)
	return e, nil
}
