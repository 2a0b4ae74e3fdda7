package eventlog

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/mesh/operations/events"
)

// memoryStore is a store in memory whose writes fail once writesLeft of them have been made.
type memoryStore struct {
	records    map[string][]byte
	writesLeft int // number of writes that will succeed
}

// newMemoryStore returns an empty store whose writes fail after the given number of writes.
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

// addNumberedEvents opens a log in a store, and adds an event for each number from first to end-1 until the store fails. The number is the
// detail and the cursor of the event. addNumberedEvents returns the number of the first event that was not added.
func addNumberedEvents(t *testing.T, store Store, first, end int) int {
	t.Helper()
	eventLog, err := OpenLog(store, 8, 1)
	qt.Assert(t, err, qt.IsNil)
	for i := first; i < end; i++ {
		number := strconv.Itoa(i)
		if eventLog.Add(events.Event{Kind: events.QuotaExhausted, Detail: number}, "core", number) != nil {
			return i
		}
	}
	return end
}

// The disk fails or the event log crashes at any one of the writes. The log that is opened afterwards has every acknowledged event once and
// in order.
func TestAcknowledgedEventsSurviveAFailureAtAnyWrite(t *testing.T) {
	c := qt.New(t)
	for writes := range 24 {
		store := newMemoryStore(writes)
		added := addNumberedEvents(t, store, 0, 10)
		store.writesLeft = 1000
		c.Assert(addNumberedEvents(t, store, added, 10), qt.Equals, 10)

		eventLog, err := OpenLog(store, 8, 1)
		c.Assert(err, qt.IsNil)
		address, cursor := eventLog.Followed()
		c.Assert([]string{address, cursor}, qt.DeepEquals, []string{"core", "9"})
		found, next, _, err := eventLog.After(events.Cursor{Incarnation: 1, Number: 1}, 99, events.Filter{})
		c.Assert(err, qt.IsNil)
		c.Assert(found[0].Detail, qt.Equals, "1 events are no longer kept", qt.Commentf("the store failed after %d writes", writes))
		for i, e := range found[1:] {
			c.Assert(e.Detail, qt.Equals, strconv.Itoa(i+2), qt.Commentf("the store failed after %d writes", writes))
		}
		c.Assert(next.Number, qt.Equals, uint64(10))
	}
}
