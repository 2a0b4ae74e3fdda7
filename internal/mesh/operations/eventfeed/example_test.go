package eventfeed_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"quincegap/internal/mesh/operations/eventfeed"
	"quincegap/internal/mesh/operations/events"
)

// source has the events of a feed, to which none are added.
type source struct{ feed *events.Feed }

// After implements eventfeed.Source.
func (s source) After(c events.Cursor, limit int, f events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	found, next := s.feed.After(c, limit, f)
	return found, next, nil, nil
}

// A tool reads the events after its cursor.
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
