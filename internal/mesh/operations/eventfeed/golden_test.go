package eventfeed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/operations/events"
)

// goldenSource serves the events of a feed that does not change.
type goldenSource struct{ feed *events.Feed }

// After implements Source.
func (g goldenSource) After(cursor events.Cursor, limit int, filter events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	found, next := g.feed.After(cursor, limit, filter)
	return found, next, nil, nil
}

// failingSource returns an error instead of events.
type failingSource struct{}

// After implements Source.
func (failingSource) After(cursor events.Cursor, _ int, _ events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	return nil, cursor, nil, trace.NotFound("record %q", "event/3")
}

// goldenFeed returns a feed that retains four events, after five were added.
func goldenFeed() *events.Feed {
	feed := events.NewFeed(36, 4)
	for i, service := range []string{"orders", "orders", "carts", "orders", "carts"} {
		feed.Add(events.Event{
			Time: fmt.Sprintf("2026-01-02T03:04:0%dZ", i), Kind: events.EndpointServing, Service: service, Zone: "south-b",
			Tenant: "north", Node: "10.1.0.40:7640", Endpoint: fmt.Sprintf("ep-%d", i),
		})
	}
	return feed
}

// The golden file has the answers to GET /events: JSON lines, server-sent events, gaps, and rejected requests.
func TestGoldenAnswers(t *testing.T) {
	var lines strings.Builder
	for _, call := range []struct {
		name, method, path string
		header             http.Header
		source             Source
	}{
		{"all there are", "GET", "/events", nil, goldenSource{goldenFeed()}},
		{"after a cursor", "GET", "/events?after=10-4", nil, goldenSource{goldenFeed()}},
		{"after a cursor that is no longer kept", "GET", "/events?after=10-0", nil, goldenSource{goldenFeed()}},
		{"after a cursor of another process", "GET", "/events?after=11-3", nil, goldenSource{goldenFeed()}},
		{"one service", "GET", "/events?service=carts", nil, goldenSource{goldenFeed()}},
		{"another zone, after a gap", "GET", "/events?zone=north-b&after=11-1", nil, goldenSource{goldenFeed()}},
		{"a tenant", "GET", "/events?tenant=north&after=10-3", nil, goldenSource{goldenFeed()}},
		{"server-sent events", "GET", "/events?after=10-3", http.Header{"Accept": {"text/event-stream"}}, goldenSource{goldenFeed()}},
		{"the last id counts more", "GET", "/events?after=10-1", http.Header{"Last-Event-Id": {"10-4"}}, goldenSource{goldenFeed()}},
		{"no cursor", "GET", "/events?after=x", nil, goldenSource{goldenFeed()}},
		{"another method", "POST", "/events", nil, goldenSource{goldenFeed()}},
		{"a source that fails", "GET", "/events", nil, failingSource{}},
	} {
		answer := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), call.method, call.path, nil)
		if call.header != nil {
			request.Header = call.header
		}
		Handler(call.source).ServeHTTP(answer, request)
		fmt.Fprintf(&lines, "# %s: %s %s\n%d %s\n%s",
			call.name, call.method, call.path, answer.Code, answer.Header().Get("Content-Type"), answer.Body)
	}
	golden.Text(t, "answers.txt", []byte(lines.String()))
}

// A stream continues until its reader disconnects. A reader above the limit of concurrent readers is rejected.
func TestGoldenStreams(t *testing.T) {
	c := qt.New(t)
	handler := Handler(goldenSource{goldenFeed()})
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan *httptest.ResponseRecorder, maxReaders)
	for range maxReaders {
		go func() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/events?follow=1&after=10-3", nil))
			done <- w
		}()
	}
	var rejected *httptest.ResponseRecorder
	for end := time.Now().Add(20 * time.Second); rejected == nil || rejected.Code == http.StatusOK; time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no reader was rejected within 20 s"))
		rejected = httptest.NewRecorder()
		handler.ServeHTTP(rejected, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/events", nil))
	}
	disconnect()
	var lines strings.Builder
	fmt.Fprintf(&lines, "%d, retry after %s\n%s", rejected.Code, rejected.Header().Get("Retry-After"), rejected.Body)
	for range maxReaders {
		if w := <-done; lines.Len() < 200 {
			fmt.Fprintf(&lines, "%d %s\n%s", w.Code, w.Header().Get("Content-Type"), w.Body)
		}
	}
	golden.Text(t, "streams.txt", []byte(lines.String()))
}
