package standalone

import (
	"net/http"
	"strconv"
	"time"

	"quincegap/internal/network/exchange"
)

// closeNoticeWindow is the period before the end of a shutdown in which each answer announces that its connection will be closed.
// Without the notice a request could arrive while its idle connection is being closed, and the caller would have to send it again.
const closeNoticeWindow = 100 * time.Millisecond

// writeAnswer writes the final answer: 200 with an endpoint's response; 503 for a rejection, which means that the request has not run
// and may be repeated; or 502 for a failure, which means that the request may have run.
func (s *server) writeAnswer(w http.ResponseWriter, caller exchange.Caller, final answer) {
	if end := s.shutdownAt.Load(); end != nil && time.Until(*end) < closeNoticeWindow {
		caller.CloseAfter(w.Header())
	}
	caller.AddHeaders(w.Header())
	switch {
	case final.response != nil:
		header := w.Header()
		for name, values := range final.response.Header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(final.response.Body)))
		_, _ = w.Write(final.response.Body) // an error means that the client has disconnected
	case final.rejected:
		if final.retryAfter > 0 {
			w.Header().Set(headerRetryAfter, strconv.FormatFloat(final.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
