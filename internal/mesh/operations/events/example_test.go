package events_test

import (
	"fmt"

	"quincegap/internal/mesh/operations/events"
)

// A reader that has missed events gets a gap before the events that are still retained.
func ExampleFeed() {
	feed := events.NewFeed(36, 2)
	first := feed.Add(events.Event{Kind: events.EndpointServing, Service: "orders"})
	feed.Add(events.Event{Kind: events.EndpointDraining, Service: "orders"})
	cursor, err := events.ParseCursor(first.Cursor)
	if err != nil {
		fmt.Println(err)
		return
	}
	feed.Add(events.Event{Kind: events.EndpointGone, Service: "orders"})
	feed.Add(events.Event{Kind: events.QuotaExhausted, Tenant: "north"})
	found, next := feed.After(cursor, 10, events.Filter{Service: "orders"})
	for _, e := range found {
		fmt.Printf("%s %s %q\n", e.Cursor, e.Kind, e.Detail)
	}
	fmt.Println("next:", next)
	// Output:
	// 10-2 gap "1 events are no longer kept"
	// 10-3 endpoint_left ""
	// next: 10-4
}
