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
	maxBatch   = 256              // number of events in an answer, or in one write of a stream
	maxWait    = 25 * time.Second // time to wait for an event, and for a write to a reader to succeed
	maxReaders = 32               // number of concurrent readers
)

// Names of the query parameters and of the header field of a request.
const (
	queryAfter        = "after" // a cursor
	queryFollow       = "follow"
	queryService      = "service"
	queryTenant       = "tenant"
	queryZone         = "zone"
	headerLastEventID = "Last-Event-ID" // a cursor, from a client that resumes a stream of server-sent events
)

// Content types of answers.
const (
	typeServerSent = "text/event-stream"
	typeJSONLines  = "application/x-ndjson"
)

// Source stores events. It must be safe for concurrent use.
type Source interface {
	// After returns up to limit events after a cursor that match a filter, and the cursor for the next call. The channel more is closed
	// when there are newer events.
	After(cursor events.Cursor, limit int, filter events.Filter) (
		found []events.Event, next events.Cursor, more <-chan struct{}, err error)
}

// Handler returns a handler for GET /events?after=CURSOR&service=&tenant=&zone=&follow=1. Without follow, the handler answers with the
// events after the cursor; if there are none, it waits for one for up to 25 s. With follow, it streams events until the client
// disconnects, and sends an empty line (in a stream of server-sent events: a comment) at least every 25 s while there are no events. A slow
// reader misses only events that the source has discarded, and gets a gap for them.
//
// The handler answers 400 to an invalid cursor, 405 to other methods, 503 to a reader in excess of 32 concurrent ones, and 500 if the
// source fails.
func Handler(source Source) http.Handler { return &handler{source: source} }

// handler serves the events of a source.
type handler struct {
	source  Source
	readers atomic.Int64 // number of current readers
}

// request has the parameters of a reader's request, and the reader's progress.
type request struct {
	cursor     events.Cursor // position after the last event that was read from the source
	filter     events.Filter
	follow     bool // whether to stream events until the client disconnects
	serverSent bool // whether to encode events as server-sent events
}

// parseRequest parses a reader's request. The error for an invalid cursor is an *events.CursorError.
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

// serve writes events until the request is answered or the client has disconnected. It fails only with an error of the source.
func (h *handler) serve(ctx context.Context, request *request, writer *eventWriter) error {
	idle := time.NewTimer(maxWait)
	defer idle.Stop()
	defer writer.extendDeadline() // the end of the answer is still to be written
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
