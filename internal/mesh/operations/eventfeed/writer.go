package eventfeed

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"quincegap/internal/mesh/operations/events"
)

// eventWriter writes events to one reader. Its methods fail if the reader has disconnected or does not read.
type eventWriter struct {
	out        io.Writer
	controller *http.ResponseController
	serverSent bool
}

// newEventWriter returns a writer of events to the body of an answer.
func newEventWriter(w http.ResponseWriter, serverSent bool) *eventWriter {
	return &eventWriter{out: w, controller: http.NewResponseController(w), serverSent: serverSent}
}

// write writes a batch of events, and flushes them to the connection.
func (w *eventWriter) write(batch []events.Event) error {
	w.extendDeadline()
	for i := range batch {
		if err := w.writeEvent(&batch[i]); err != nil {
			return err
		}
	}
	return w.controller.Flush()
}

// writeEvent writes one event, without flushing it.
func (w *eventWriter) writeEvent(e *events.Event) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if w.serverSent {
		_, err = fmt.Fprintf(w.out, "id: %s\nevent: %s\ndata: %s\n\n", e.Cursor, e.Kind, text)
	} else {
		_, err = fmt.Fprintf(w.out, "%s\n", text)
	}
	return err
}

// keepAlive sends an empty line, or a comment in a stream of server-sent events, that tells the reader that the stream is alive.
func (w *eventWriter) keepAlive() error {
	w.extendDeadline()
	text := "\n"
	if w.serverSent {
		text = ": still here\n\n"
	}
	if _, err := io.WriteString(w.out, text); err != nil {
		return err
	}
	return w.controller.Flush()
}

// extendDeadline sets the write deadline to maxWait from now. It ends the stream of a reader that does not read.
func (w *eventWriter) extendDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(maxWait)) // recorders in tests have no connection, and return an error here
}
