package lifecycle

import (
	"context"
	"net/http"
)

// CancelRequestsOnDone serves by a handler whose requests' contexts also end when ending does. http.Server.Shutdown waits for requests
// that are being served, and does not notify their handlers: one that streams until its client disconnects needs it.
func CancelRequestsOnDone(ending context.Context, handler http.Handler) http.Handler {
	//nolint:contextcheck // a request's context derives from the request; ending only cancels it
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(ending, cancel)
		defer stop()
		handler.ServeHTTP(w, r.WithContext(ctx))
	})
}
