package standalone

import (
	"net/http"
	"strconv"
	"time"

	"quincegap/internal/network/exchange"
)

// closeNoticeWindow is how long before the end of a shutdown each answer announces that it is the last on its connection. A request
// that arrives on an idle connection while it is closed has to be sent again, so callers should not send one.
const closeNoticeWindow = 100 * time.Millisecond

// writeAnswer writes the final answer: 200 with an endpoint's response, 503 for a rejection, which means that the request has not run
// and may be repeated, or 502 for a failure, after which it may have run.
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
		_, _ = w.Write(final.response.Body) // an error means that the client has gone
	case final.rejected:
		if final.retryAfter > 0 {
			w.Header().Set(headerRetryAfter, strconv.FormatFloat(final.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
