package eventlog

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/operations/events"
)

// Key of the head record, and prefix of the keys of event records.
const (
	headKey        = "head"
	eventKeyPrefix = "event/"
)

// Store stores records by key. Package control/storage implements it.
type Store interface {
	// Get returns the record with a key. If there is none, the error is trace.NotFound.
	Get(key string) ([]byte, error)
	// Put writes a record, and returns when the record is on disk.
	Put(key string, data []byte) error
}

// RecordError reports a record on disk that can't be parsed. trace.IsBadParameter reports true for it.
type RecordError struct {
	Key string // key of the record
	Err error  // the parser's error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("record %q: %v", e.Key, e.Err) }

// Unwrap returns the parser's error, and an error for which trace.IsBadParameter reports true.
func (e *RecordError) Unwrap() []error {
	return []error{e.Err, &trace.BadParameterError{Message: e.Error()}}
}

// Log retains the newest events in a ring of records, under numbers that it assigns itself. It implements eventfeed.Source. It is safe for
// concurrent use. Its methods block until the store has read or written the records.
type Log struct {
	store    Store
	capacity uint64 // number of events that the log retains

	mu    sync.Mutex
	head  head
	added chan struct{} // closed and replaced whenever an event has been added
}

// head is the record with the state of the log. Its JSON keys are part of the format on disk.
type head struct {
	Incarnation uint64 `json:"life"` // identifies the log; a new number is drawn for an empty store
	Next        uint64 `json:"next"` // number of the next event
	CoreCursor  string `json:"core"` // cursor of the last event at the core process
	CoreAddress string `json:"from"` // control address of the core process that sent the last event
}

// OpenLog opens the log in a store. The log retains up to capacity events, but at least one. For an empty store, OpenLog returns a new log
// with the given incarnation. It fails with an error of the store, or with a *RecordError if the head is invalid.
func OpenLog(store Store, capacity, incarnation uint64) (*Log, error) {
	log := &Log{
		store:    store,
		capacity: max(capacity, 1),
		head:     head{Incarnation: incarnation, Next: 1},
		added:    make(chan struct{}),
	}
	data, err := store.Get(headKey)
	if err != nil && !trace.IsNotFound(err) {
		return nil, trace.Wrap(err)
	}
	if len(data) == 0 {
		return log, nil
	}
	if err := json.Unmarshal(data, &log.head); err != nil {
		return nil, &RecordError{Key: headKey, Err: err}
	}
	return log, nil
}

// eventKey returns the key of the record for an event. The event whose number is higher by the capacity overwrites that record.
func (l *Log) eventKey(number uint64) string {
	return eventKeyPrefix + strconv.FormatUint(number%l.capacity, 10)
}

// Add appends an event that a core process has sent; coreCursor is the cursor of the event at that process. The event is written before the
// head: after a crash between the two writes, the event is received again, and gets the same number. Add fails if the store does.
func (l *Log) Add(e events.Event, coreAddress, coreCursor string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.head
	e.Cursor = events.Cursor{Incarnation: next.Incarnation, Number: next.Next}.String()
	if err := l.put(l.eventKey(next.Next), e); err != nil {
		return err
	}
	next.Next++
	next.CoreCursor = coreCursor
	next.CoreAddress = coreAddress
	if err := l.put(headKey, next); err != nil {
		return err
	}
	l.head = next
	close(l.added)
	l.added = make(chan struct{})
	return nil
}

// put writes a record to the store as JSON.
func (l *Log) put(key string, record any) error {
	text, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.store.Put(key, text))
}

// Followed returns the control address of the core process that sent the last event, and the cursor of that event at the process. Both are
// empty for a new log. The cursor is empty if the last event is the gap that marks the change to another core process.
func (l *Log) Followed() (coreAddress, coreCursor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head.CoreAddress, l.head.CoreCursor
}

// After implements eventfeed.Source. It fails with an error of the store, or with a *RecordError if the record of an event is invalid.
func (l *Log) After(cursor events.Cursor, limit int, filter events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []events.Event
	number, gap := l.windowLocked().Resume(cursor)
	if gap != nil {
		found = append(found, *gap)
	}
	for ; number < l.head.Next && len(found) < limit; number++ {
		e, err := l.read(number)
		if err != nil {
			return found, cursor, l.added, err
		}
		if filter.Matches(e) {
			found = append(found, *e)
		}
	}
	return found, events.Cursor{Incarnation: l.head.Incarnation, Number: number - 1}, l.added, nil
}

// windowLocked returns the range of events that the log retains.
func (l *Log) windowLocked() *events.Window {
	window := &events.Window{
		Incarnation:            l.head.Incarnation,
		First:                  1,
		Next:                   l.head.Next,
		OtherIncarnationDetail: "the cursor is of another log, or of one whose disk was lost",
		AheadDetail:            "the cursor is ahead of the log",
	}
	if l.head.Next > l.capacity {
		window.First = l.head.Next - l.capacity
	}
	return window
}

// read reads the event with a number, which must be in the window, from the store.
func (l *Log) read(number uint64) (*events.Event, error) {
	key := l.eventKey(number)
	data, err := l.store.Get(key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var e events.Event
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, &RecordError{Key: key, Err: err}
	}
	return &e, nil
}
