package eventfeed

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"quincegap/internal/mesh/operations/events"
)

const (
	maxBatch   = 256              // events in an answer, or in one write of a stream
	maxWait    = 25 * time.Second // until an event occurs, and for a write to a reader
	maxReaders = 32               // concurrently
)

// Query parameters and header fields of a request.
const (
	queryAfter        = "after" // a cursor
	queryFollow       = "follow"
	queryService      = "service"
	queryTenant       = "tenant"
	queryZone         = "zone"
	headerLastEventID = "Last-Event-ID" // a cursor, of a client that resumes a server-sent stream
)

// Content types of answers.
const (
	typeServerSent = "text/event-stream"
	typeJSONLines  = "application/x-ndjson"
)

// Source keeps events. It is safe for concurrent use.
type Source interface {
	// After returns up to limit events after a cursor that pass a filter, and the cursor for the next call. more is closed when there are
	// newer events.
	After(c events.Cursor, limit int, f events.Filter) (found []events.Event, next events.Cursor, more <-chan struct{}, err error)
}

// Handler serves GET /events?after=CURSOR&service=&tenant=&zone=&follow=1. Without follow it answers with the events after the cursor, and
// waits for one up to 25 s if there are none. With follow it streams events until the client disconnects, and sends an empty line (or a
// comment) after 25 s without an event. A slow reader misses only events that are no longer kept, and gets a gap for these.
//
// It answers 400 to an invalid cursor, 405 to other methods, 503 beyond 32 concurrent readers, and 500 if the source fails.
func Handler(source Source) http.Handler { return &handler{source: source} }

// handler serves a source, and counts the readers.
type handler struct {
	source  Source
	readers atomic.Int64
}

// request has the parameters of a reader's request, and its progress.
type request struct {
	cursor     events.Cursor // after the last event that was read from the source
	filter     events.Filter
	follow     bool
	serverSent bool
}

// parseRequest parses a reader's request. The error is an *events.CursorError.
func parseRequest(r *http.Request) (*request, error) {
	query := r.URL.Query()
	after := query.Get(queryAfter)
	if id := r.Header.Get(headerLastEventID); id != "" {
		after = id
	}
	cursor, err := events.ParseCursor(after)
	if err != nil {
		return nil, err
	}
	follow, err := strconv.ParseBool(query.Get(queryFollow))
	return &request{
		cursor:     cursor,
		filter:     events.Filter{Service: query.Get(queryService), Tenant: query.Get(queryTenant), Zone: query.Get(queryZone)},
		follow:     follow && err == nil, // an invalid value counts as false
		serverSent: r.Header.Get("Accept") == typeServerSent,
	}, nil
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "GET only", http.StatusMethodNotAllowed)
		return
	}
	request, err := parseRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer h.readers.Add(-1)
	if h.readers.Add(1) > maxReaders {
		w.Header().Set("Retry-After", "5")
		http.Error(w, "too many readers", http.StatusServiceUnavailable)
		return
	}
	contentType := typeJSONLines
	if request.serverSent {
		contentType = typeServerSent
	}
	w.Header().Set("Content-Type", contentType)
	if err := h.serve(r.Context(), request, newEventWriter(w, request.serverSent)); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// serve writes events until the request is answered or the client has disconnected. The error is the source's.
func (h *handler) serve(ctx context.Context, request *request, writer *eventWriter) error {
	idle := time.NewTimer(maxWait)
	defer idle.Stop()
	for {
		found, next, more, err := h.source.After(request.cursor, maxBatch, request.filter)
		if err != nil {
			return err
		}
		request.cursor = next
		if len(found) > 0 {
			if writer.write(found) != nil || !request.follow {
				return nil
			}
			continue
		}
		select {
		case <-more:
		case <-ctx.Done():
			return nil
		case <-idle.C:
			if !request.follow || writer.keepAlive() != nil {
				return nil
			}
			idle.Reset(maxWait)
		}
	}
}
