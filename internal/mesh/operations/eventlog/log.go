package eventlog

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/operations/events"
)

// Keys of records: that of the head, and the prefix of an event's.
const (
	headKey        = "head"
	eventKeyPrefix = "event/"
)

// Store keeps records by their keys (control/storage.Store).
type Store interface {
	// Get returns a record. The error for a key without a record is trace.NotFound.
	Get(key string) ([]byte, error)
	// Put writes a record, and returns when it is on disk.
	Put(key string, data []byte) error
}

// RecordError reports a record on disk that can't be parsed. To package trace it is a BadParameter.
type RecordError struct {
	Key string // of the record
	Err error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("record %q: %v", e.Key, e.Err) }

// Unwrap returns the parser's error, and one by which trace.IsBadParameter reports true.
func (e *RecordError) Unwrap() []error {
	return []error{e.Err, &trace.BadParameterError{Message: e.Error()}}
}

// Log keeps the newest events under numbers of its own, in a ring of records. It implements eventfeed.Source. It is safe for concurrent
// use; its methods wait for the disk.
type Log struct {
	store    Store
	capacity uint64 // events that are kept

	mu    sync.Mutex
	head  head
	added chan struct{} // closed, and replaced, when an event has been added
}

// head is the record of the log's state. Its JSON keys are part of the format on disk.
type head struct {
	Incarnation uint64 `json:"life"` // of the log; drawn anew for an empty store
	Next        uint64 `json:"next"` // number of the next event
	CoreCursor  string `json:"core"` // of the last event, at the core process
	CoreAddress string `json:"from"` // control address of the core process
}

// OpenLog opens the log in a store, which keeps up to capacity events, one at least. For an empty store it returns a new log, of the given
// incarnation. The error is the store's, or a *RecordError.
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

// eventKey returns the key of an event's record, which a later event will replace.
func (l *Log) eventKey(number uint64) string {
	return eventKeyPrefix + strconv.FormatUint(number%l.capacity, 10)
}

// Add adds an event of a core process, with the event's cursor at that process. The event is written before the head: after a crash between
// the two writes, the event is received again, and gets the same number.
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

// put writes a record as JSON.
func (l *Log) put(key string, record any) error {
	text, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.store.Put(key, text))
}

// Followed returns the control address of the core process from which the last event came, and the event's cursor there; both are empty
// for a new log.
func (l *Log) Followed() (coreAddress, coreCursor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head.CoreAddress, l.head.CoreCursor
}

// After implements eventfeed.Source. The error is the store's, or a *RecordError.
func (l *Log) After(c events.Cursor, limit int, filter events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []events.Event
	number, gap := l.windowLocked().Resume(c)
	if gap != nil {
		found = append(found, *gap)
	}
	for ; number < l.head.Next && len(found) < limit; number++ {
		e, err := l.read(number)
		if err != nil {
			return found, c, l.added, err
		}
		if filter.Passes(e) {
			found = append(found, *e)
		}
	}
	return found, events.Cursor{Incarnation: l.head.Incarnation, Number: number - 1}, l.added, nil
}

// windowLocked returns the range of events that the log keeps.
func (l *Log) windowLocked() *events.Window {
	w := &events.Window{
		Incarnation:      l.head.Incarnation,
		First:            1,
		Next:             l.head.Next,
		OtherIncarnation: "the cursor is of another log, or of one whose disk was lost",
		Ahead:            "the cursor is ahead of the log",
	}
	if l.head.Next > l.capacity {
		w.First = l.head.Next - l.capacity
	}
	return w
}

// read reads the event with a number, which must be in the window.
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
