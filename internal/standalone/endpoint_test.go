package standalone

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	qh3 "github.com/quic-go/quic-go/http3"

	"quincegap/internal/standin/h3"
)

// startEndpoint starts an endpoint with a handler, and returns it as discovery lists it.
func startEndpoint(t *testing.T, uid string, serve http.HandlerFunc) listedEndpoint {
	t.Helper()
	return listedEndpoint{UID: uid, Address: listenEndpoint(t, serve), Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1}
}

// closeConnection closes the connection of a request, or resets its HTTP/3 stream, without an answer.
func closeConnection(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		closeQuietly(c)
	} else {
		h3.ResetStream(w, qh3.ErrCodeInternalError)
	}
}

// awaitCancel blocks until the sidecar has cancelled the attempt.
func awaitCancel(r *http.Request) {
	drainBody(r.Body)
	<-r.Context().Done()
}

// write writes a part of an answer. Errors are ignored, because the sidecar may have closed the connection.
func write(w io.Writer, values ...any) { _, _ = fmt.Fprint(w, values...) }

// answerOK is the handler of an endpoint that answers each request with 200.
func answerOK(w http.ResponseWriter, _ *http.Request) { write(w, "ok") }

// flush sends what was written. Errors are ignored, because the sidecar may have closed the connection.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// drainBody reads a body until its end or its first error.
func drainBody(body io.Reader) { _, _ = io.Copy(io.Discard, body) }
