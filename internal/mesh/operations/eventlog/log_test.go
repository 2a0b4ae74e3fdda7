package eventlog

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/mesh/operations/events"
)

// memoryStore is a store in memory that fails after a number of writes.
type memoryStore struct {
	records    map[string][]byte
	writesLeft int
}

// newMemoryStore returns an empty store that fails after a number of writes.
func newMemoryStore(writes int) *memoryStore {
	return &memoryStore{records: map[string][]byte{}, writesLeft: writes}
}

// Get implements Store.
func (m *memoryStore) Get(key string) ([]byte, error) {
	if data, ok := m.records[key]; ok {
		return data, nil
	}
	return nil, trace.NotFound("record %q", key)
}

// Put implements Store.
func (m *memoryStore) Put(key string, data []byte) error {
	m.writesLeft--
	if m.writesLeft < 0 {
		return trace.LimitExceeded("disk full")
	}
	m.records[key] = data
	return nil
}

// addNumbered opens a log in a store, and adds events with the numbers from first on, below end, as their details and cursors, until the
// store fails. It returns the number of the first event that was not added.
func addNumbered(t *testing.T, s Store, first, end int) int {
	t.Helper()
	l, err := OpenLog(s, 8, 1)
	qt.Assert(t, err, qt.IsNil)
	for i := first; i < end; i++ {
		number := strconv.Itoa(i)
		if l.Add(events.Event{Kind: events.QuotaExhausted, Detail: number}, "core", number) != nil {
			return i
		}
	}
	return end
}

// The disk fails, or the event log crashes, at any write: the log that is opened then has every acknowledged event, once and in order.
func TestEventsOutliveAnyWrite(t *testing.T) {
	c := qt.New(t)
	for writes := range 24 {
		store := newMemoryStore(writes)
		kept := addNumbered(t, store, 0, 10)
		store.writesLeft = 1000
		c.Assert(addNumbered(t, store, kept, 10), qt.Equals, 10)

		l, err := OpenLog(store, 8, 1)
		c.Assert(err, qt.IsNil)
		address, cursor := l.Followed()
		c.Assert([]string{address, cursor}, qt.DeepEquals, []string{"core", "9"})
		found, next, _, err := l.After(events.Cursor{Incarnation: 1, Number: 1}, 99, events.Filter{})
		c.Assert(err, qt.IsNil)
		c.Assert(found[0].Detail, qt.Equals, "1 events are no longer kept")
		for i, e := range found[1:] {
			c.Assert(e.Detail, qt.Equals, strconv.Itoa(i+2))
		}
		c.Assert(next.Number, qt.Equals, uint64(10))
	}
}
