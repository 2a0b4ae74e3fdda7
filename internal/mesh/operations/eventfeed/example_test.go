package eventfeed_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"quincegap/internal/mesh/operations/eventfeed"
	"quincegap/internal/mesh/operations/events"
)

// source serves the events of a feed that does not change.
type source struct{ feed *events.Feed }

// After implements eventfeed.Source.
func (s source) After(cursor events.Cursor, limit int, filter events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	found, next := s.feed.After(cursor, limit, filter)
	return found, next, nil, nil
}

// A tool requests the events after its cursor.
func ExampleHandler() {
	feed := events.NewFeed(36, 16)
	feed.Add(events.Event{Kind: events.EndpointServing, Service: "orders"})
	feed.Add(events.Event{Kind: events.EndpointDraining, Service: "orders"})
	request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/events?after=10-1", nil)
	answer := httptest.NewRecorder()
	eventfeed.Handler(source{feed}).ServeHTTP(answer, request)
	fmt.Print(answer.Body)
	// Output:
	// {"cursor":"10-2","kind":"endpoint_drains","service":"orders"}
}
