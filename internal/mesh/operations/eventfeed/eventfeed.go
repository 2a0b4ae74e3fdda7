// Package eventfeed serves a feed of events over HTTP: JSON lines, or server-sent events where they are asked for.
package eventfeed

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"quincegap/internal/mesh/operations/events"
)

const (
	maxBatch   = 256              // in one answer, or one write of a stream
	maxWait    = 25 * time.Second // for an event, and for a reader to read
	maxReaders = 32               // at once
)

// Source is what keeps events; more is closed when there are newer ones.
type Source interface {
	After(c events.Cursor, most int, f events.Filter) (out []events.Event, next events.Cursor, more <-chan struct{}, err error)
}

// Handler serves GET /events?after=CURSOR&service=&tenant=&zone=&follow=1. Without follow it answers with the events there are,
// and waits up to maxWait if there are none. A slow reader misses only events that are no longer kept, and gets a gap for these.
func Handler(source Source) http.Handler {
	var readers atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method != http.MethodGet {
			http.Error(w, "GET only", http.StatusMethodNotAllowed)
			return
		}
		query := q.URL.Query()
		after := query.Get("after")
		if id := q.Header.Get("Last-Event-ID"); id != "" {
			after = id
		}
		cursor, err := events.ParseCursor(after)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		defer readers.Add(-1)
		if readers.Add(1) > maxReaders {
			w.Header().Set("Retry-After", "5")
			http.Error(w, "too many readers", http.StatusServiceUnavailable)
			return
		}
		follow, _ := strconv.ParseBool(query.Get("follow"))
		r := eventWriter{out: w, controller: http.NewResponseController(w), serverSent: q.Header.Get("Accept") == "text/event-stream"}
		w.Header().Set("Content-Type", map[bool]string{true: "text/event-stream", false: "application/x-ndjson"}[r.serverSent])
		filter := events.Filter{Service: query.Get("service"), Tenant: query.Get("tenant"), Zone: query.Get("zone")}
		for end := time.After(maxWait); ; {
			got, next, more, err := source.After(cursor, maxBatch, filter)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			if cursor = next; len(got) > 0 {
				if r.write(got) != nil || !follow {
					return
				}
				continue
			}
			select {
			case <-more:
			case <-q.Context().Done():
				return
			case <-end:
				if !follow || r.keepAlive() != nil {
					return
				}
				end = time.After(maxWait)
			}
		}
	})
}

// eventWriter is one client of a feed.
type eventWriter struct {
	out        io.Writer
	controller *http.ResponseController
	serverSent bool
}

func (e *eventWriter) write(all []events.Event) error {
	_ = e.controller.SetWriteDeadline(time.Now().Add(maxWait)) // the stream of a reader that does not read ends
	for _, event := range all {
		text, err := json.Marshal(event)
		if err != nil {
			return err
		}
		if e.serverSent {
			_, err = fmt.Fprintf(e.out, "id: %s\nevent: %s\ndata: %s\n\n", event.Cursor, event.Kind, text)
		} else {
			_, err = fmt.Fprintf(e.out, "%s\n", text)
		}
		if err != nil {
			return err
		}
	}
	return e.controller.Flush()
}

// keepAlive writes something, so that the reader knows that the stream is there.
func (e *eventWriter) keepAlive() error {
	_ = e.controller.SetWriteDeadline(time.Now().Add(maxWait))
	text := "\n"
	if e.serverSent {
		text = ": still here\n\n"
	}
	if _, err := io.WriteString(e.out, text); err != nil {
		return err
	}
	return e.controller.Flush()
}
