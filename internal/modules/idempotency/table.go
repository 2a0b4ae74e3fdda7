package idempotency

import (
	"errors"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/structures/deadlinequeue"
)

// ErrFull means that a table already has its maximum number of entries.
var ErrFull = errors.New("request table is full")

// minExpiryRetry is the minimum time after which the expiry of an entry with an attempt in flight is tried again.
const minExpiryRetry = time.Second

// Table is a table of requests that may have run. It is not safe for concurrent use. All times are on one clock that never goes back.
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

// expire removes the entries whose retention has ended. An entry with an attempt in flight is retained until the attempt has ended.
func (t *Table) expire(now time.Duration) {
	for {
		id, at, ok := t.expirations.Peek()
		if !ok || at > now {
			return
		}
		if entry := t.entries[id]; entry.inFlight > 0 {
			t.expirations.Put(id, now+max(entry.Retention, minExpiryRetry))
			continue
		}
		t.remove(id)
	}
}

func (t *Table) remove(id ID) {
	delete(t.entries, id)
	t.expirations.Remove(id)
}

// Lookup returns the entry of a request that may have run, and false if there is none.
func (t *Table) Lookup(now time.Duration, id ID) (Entry, bool) {
	t.expire(now)
	entry := t.entries[id]
	if entry == nil || !entry.MayHaveRun() {
		return Entry{}, false
	}
	return *entry, true
}

// BeginAttempt records that an attempt is about to be sent to an origin, and returns the entry of the request. If changed is true, the
// entry has to be durable before the attempt is sent. An entry keeps the origin and the time of its first attempt, because the window
// in which endpoints recognise repeats starts with that attempt. The error is ErrFull if the table has no room for another request.
func (t *Table) BeginAttempt(now time.Duration, id ID, class string, retention time.Duration, to Origin) (_ Entry, changed bool, _ error) {
	t.expire(now)
	entry := t.entries[id]
	if entry == nil {
		if len(t.entries) >= t.maxEntries {
			return Entry{}, false, ErrFull
		}
		entry = &Entry{Class: class, Origin: to, SentAt: now, Retention: retention}
		t.entries[id] = entry
		t.expirations.Put(id, now+retention)
	}
	entry.inFlight++
	return *entry, !entry.durable, nil
}

// MarkDurable records that the entry that BeginAttempt returned is on disk.
func (t *Table) MarkDurable(id ID) {
	if entry := t.entries[id]; entry != nil {
		entry.durable = true
	}
}

// Change is the change that has to be written to disk after an attempt has ended.
type Change int

// The changes.
const (
	NoChange    Change = iota // the record on disk stays as it is
	PutEntry                  // the entry has to be written again
	DeleteEntry               // the record has to be deleted, because the request has not run
)

// EndAttempt records the outcome of an attempt. answered is true if the response of the attempt goes to the caller. It returns the entry
// and the change to write to disk. The caller need not wait for this write: until it is done, a request that has not run counts as one
// that may have run, which is safe.
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

// Restore adds an entry from the disk at a start. The request counts as one that may have run, because it may have been in flight when
// the previous process ended. The error is ErrFull if the table has no room.
func (t *Table) Restore(id ID, entry Entry) error {
	if len(t.entries) >= t.maxEntries {
		return ErrFull
	}
	entry.mayHaveRun, entry.durable, entry.inFlight = true, true, 0
	t.entries[id] = &entry
	t.expirations.Put(id, entry.SentAt+entry.Retention)
	return nil
}
