package idempotency

import (
	"errors"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/structures/deadlinequeue"
)

// ErrFull says that a table has as many entries as it may.
var ErrFull = errors.New("as many requests are remembered as may be")

// minRetry is the least time after which an entry that has an attempt in flight is looked at again.
const minRetry = time.Second

// Table is what is remembered. It is not safe for concurrent use. Times are on one clock, that never goes back.
type Table struct {
	maxEntries  int
	entries     map[ID]*Entry
	expirations deadlinequeue.Queue[ID]
}

// NewTable makes an empty table with a bound on its entries.
func NewTable(maxEntries int) *Table {
	return &Table{maxEntries: maxEntries, entries: map[ID]*Entry{}}
}

// Len is how many entries there are.
func (t *Table) Len() int { return len(t.entries) }

// expire forgets what has been remembered for long enough. One that has an attempt in flight stays until that ends.
func (t *Table) expire(now time.Duration) {
	for {
		id, at, ok := t.expirations.Peek()
		if !ok || at > now {
			return
		}
		if e := t.entries[id]; e.inFlight > 0 {
			t.expirations.Put(id, now+max(e.Retention, minRetry))
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

// BeginAttempt takes in that an attempt is about to go out. Unless changed is false, what it returns has to be durable before it
// does. An entry keeps the first attempt's origin and time: the window in which repeats are dropped counts from there. It returns
// ErrFull where the table has no room for one more request.
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

// MarkDurable takes in that what BeginAttempt returned has become durable.
func (t *Table) MarkDurable(id ID) {
	if e := t.entries[id]; e != nil {
		e.durable = true
	}
}

// Change is what has to be written after an attempt has ended.
type Change int

// The changes.
const (
	NoChange    Change = iota // what is on disk still says it
	PutEntry                  // the entry anew
	DeleteEntry               // nothing any more: it never ran
)

// EndAttempt takes in how an attempt ended; answered says that its answer goes to the client. The change need not be waited for:
// until it is written, more is taken to have run than has.
func (t *Table) EndAttempt(_ time.Duration, id ID, status balancer.Status, answered bool) (Entry, Change) {
	e := t.entries[id]
	if e == nil || e.inFlight == 0 {
		return Entry{}, NoChange
	}
	e.inFlight--
	switch {
	case status == balancer.StatusOK && answered && !e.Served:
		e.Served, e.mayHaveRun = true, true
		return *e, PutEntry
	case !status.NeverRan():
		e.mayHaveRun = true
	}
	if e.inFlight == 0 && !e.mayHaveRun {
		t.remove(id)
		return Entry{}, DeleteEntry
	}
	return *e, NoChange
}

// Restore takes in what was on disk, at a start. What was in flight when the process died may have run. It returns ErrFull where
// the table has no room.
func (t *Table) Restore(id ID, e Entry) error {
	if len(t.entries) >= t.maxEntries {
		return ErrFull
	}
	e.mayHaveRun, e.durable, e.inFlight = true, true, 0
	t.entries[id] = &e
	t.expirations.Put(id, e.SentAt+e.Retention)
	return nil
}
