package standalone

import (
	"net/http"
	"strconv"
	"time"

	"quincegap/internal/network/exchange"
)

// closeNoticeWindow is how long before the end of a shutdown each answer says that it is the last on its connection: a request
// that is on its way when an idle one is closed has to be sent again.
const closeNoticeWindow = 100 * time.Millisecond

// writeAnswer writes the final answer: 200 with an endpoint's response, 503 for a rejection, which says that a repeat is
// harmless, or 502 for a failure, which promises nothing.
func (s *server) writeAnswer(w http.ResponseWriter, caller exchange.Caller, a answer) {
	if end := s.shutdownAt.Load(); end != nil && time.Until(*end) < closeNoticeWindow {
		caller.CloseAfter(w.Header())
	}
	caller.AddHeaders(w.Header())
	switch {
	case a.response != nil:
		header := w.Header()
		for name, values := range a.response.Header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(a.response.Body)))
		_, _ = w.Write(a.response.Body) // a client that has gone cannot be told
	case a.rejected:
		if a.retryAfter > 0 {
			w.Header().Set(headerRetryAfter, strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
