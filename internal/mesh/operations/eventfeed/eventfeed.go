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
	eventsMax  = 256              // in one answer, or one write of a stream
	waitMax    = 25 * time.Second // for an event, and for a reader to read
	readersMax = 32               // at once
)

// Source is what keeps events; more is closed when there are newer ones.
type Source interface {
	After(c events.Cursor, most int, f events.Filter) (out []events.Event, next events.Cursor, more <-chan struct{}, err error)
}

// Handler serves GET /events?after=CURSOR&service=&tenant=&zone=&follow=1. Without follow it answers with the events there are,
// and waits up to waitMax if there are none. A slow reader misses only events that are no longer kept, and gets a gap for these.
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
		if readers.Add(1) > readersMax {
			w.Header().Set("Retry-After", "5")
			http.Error(w, "too many readers", http.StatusServiceUnavailable)
			return
		}
		follow, _ := strconv.ParseBool(query.Get("follow"))
		r := reader{w: w, out: http.NewResponseController(w), stream: q.Header.Get("Accept") == "text/event-stream"}
		w.Header().Set("Content-Type", map[bool]string{true: "text/event-stream", false: "application/x-ndjson"}[r.stream])
		filter := events.Filter{Service: query.Get("service"), Tenant: query.Get("tenant"), Zone: query.Get("zone")}
		for end := time.After(waitMax); ; {
			got, next, more, err := source.After(cursor, eventsMax, filter)
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
				end = time.After(waitMax)
			}
		}
	})
}

// reader is one client of a feed.
type reader struct {
	w      io.Writer
	out    *http.ResponseController
	stream bool
}

func (r *reader) write(all []events.Event) error {
	_ = r.out.SetWriteDeadline(time.Now().Add(waitMax)) // the stream of a reader that does not read ends
	for _, e := range all {
		text, err := json.Marshal(e)
		if err != nil {
			return err
		}
		if r.stream {
			_, err = fmt.Fprintf(r.w, "id: %s\nevent: %s\ndata: %s\n\n", e.Cursor, e.Kind, text)
		} else {
			_, err = fmt.Fprintf(r.w, "%s\n", text)
		}
		if err != nil {
			return err
		}
	}
	return r.out.Flush()
}

// keepAlive writes something, so that the reader knows that the stream is there.
func (r *reader) keepAlive() error {
	_ = r.out.SetWriteDeadline(time.Now().Add(waitMax))
	text := "\n"
	if r.stream {
		text = ": still here\n\n"
	}
	if _, err := io.WriteString(r.w, text); err != nil {
		return err
	}
	return r.out.Flush()
}
