package eventlog_test

import (
	"fmt"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/operations/eventlog"
	"quincegap/internal/mesh/operations/events"
)

// memoryStore is a store in memory.
type memoryStore map[string][]byte

// Get implements eventlog.Store.
func (m memoryStore) Get(key string) ([]byte, error) {
	if data, ok := m[key]; ok {
		return data, nil
	}
	return nil, trace.NotFound("record %q", key)
}

// Put implements eventlog.Store.
func (m memoryStore) Put(key string, data []byte) error {
	m[key] = data
	return nil
}

// A log that is opened again has the events and the cursor at the core process that were added before.
func ExampleOpenLog() {
	store := memoryStore{}
	log, err := eventlog.OpenLog(store, 100, 36)
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := log.Add(events.Event{Kind: events.EndpointServing, Service: "orders"}, "10.0.0.4:8080", "7-41"); err != nil {
		fmt.Println(err)
		return
	}
	log, err = eventlog.OpenLog(store, 100, 37)
	if err != nil {
		fmt.Println(err)
		return
	}
	found, next, _, err := log.After(events.Cursor{}, 10, events.Filter{})
	fmt.Println(found[0].Kind, found[0].Service, next, err)
	fmt.Println(log.Followed())
	// Output:
	// endpoint_serves orders 10-1 <nil>
	// 10.0.0.4:8080 7-41
}
