package idempotency

import (
	"errors"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/structures/deadlinequeue"
)

// ErrFull means that a table has as many entries as it may have.
var ErrFull = errors.New("as many requests are remembered as may be")

// minExpiryRetry is the least time after which the expiry of an entry with an attempt in flight is tried again.
const minExpiryRetry = time.Second

// Table is a table of requests that may have run. It is not safe for concurrent use. Times are on one clock that never goes back.
type Table struct {
	maxEntries  int
	entries     map[ID]*Entry
	expirations deadlinequeue.Queue[ID]
}

// NewTable returns an empty table for at most maxEntries entries.
func NewTable(maxEntries int) *Table {
	return &Table{maxEntries: maxEntries, entries: map[ID]*Entry{}}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// expire removes the entries whose retention is over. An entry with an attempt in flight is kept until that has ended.
func (t *Table) expire(now time.Duration) {
	for {
		id, at, ok := t.expirations.Peek()
		if !ok || at > now {
			return
		}
		if e := t.entries[id]; e.inFlight > 0 {
			t.expirations.Put(id, now+max(e.Retention, minExpiryRetry))
			continue
		}
		t.remove(id)
	}
}

func (t *Table) remove(id ID) {
	delete(t.entries, id)
	t.expirations.Remove(id)
}

// Lookup returns the entry of a request that may have run; false if there is none.
func (t *Table) Lookup(now time.Duration, id ID) (Entry, bool) {
	t.expire(now)
	e := t.entries[id]
	if e == nil || !e.MayHaveRun() {
		return Entry{}, false
	}
	return *e, true
}

// BeginAttempt records that an attempt is about to be sent to an origin. It returns the entry, which has to be durable before the
// attempt is sent if changed is true. An entry keeps the origin and the time of its first attempt, because the window in which
// endpoints recognise repeats counts from there. The error is ErrFull if the table has no room for another request.
func (t *Table) BeginAttempt(now time.Duration, id ID, class string, retention time.Duration, to Origin) (_ Entry, changed bool, _ error) {
	t.expire(now)
	e := t.entries[id]
	if e == nil {
		if len(t.entries) >= t.maxEntries {
			return Entry{}, false, ErrFull
		}
		e = &Entry{Class: class, Origin: to, SentAt: now, Retention: retention}
		t.entries[id] = e
		t.expirations.Put(id, now+retention)
	}
	e.inFlight++
	return *e, !e.durable, nil
}

// MarkDurable records that the entry that BeginAttempt returned is durable.
func (t *Table) MarkDurable(id ID) {
	if e := t.entries[id]; e != nil {
		e.durable = true
	}
}

// Change is what has to be written after an attempt has ended.
type Change int

// The changes.
const (
	NoChange    Change = iota // the record on disk is kept
	PutEntry                  // the entry is written again
	DeleteEntry               // the record is deleted: the request has not run
)

// EndAttempt records the outcome of an attempt; answered means that its response goes to the caller. The returned change need not be
// waited for: until it is on disk, a request counts as one that may have run though it has not, which is safe.
func (t *Table) EndAttempt(id ID, status balancer.Status, answered bool) (Entry, Change) {
	entry := t.entries[id]
	if entry == nil || entry.inFlight == 0 {
		return Entry{}, NoChange
	}
	entry.inFlight--
	switch {
	case status == balancer.StatusOK && answered && !entry.Served:
		entry.Served, entry.mayHaveRun = true, true
		return *entry, PutEntry
	case !status.NeverRan():
		entry.mayHaveRun = true
	}
	if entry.inFlight == 0 && !entry.mayHaveRun {
		t.remove(id)
		return Entry{}, DeleteEntry
	}
	return *entry, NoChange
}

// Restore adds an entry from the disk at a start. A request that was in flight when the process died may have run. The error is
// ErrFull if the table has no room.
func (t *Table) Restore(id ID, e Entry) error {
	if len(t.entries) >= t.maxEntries {
		return ErrFull
	}
	e.mayHaveRun, e.durable, e.inFlight = true, true, 0
	t.entries[id] = &e
	t.expirations.Put(id, e.SentAt+e.Retention)
	return nil
}
