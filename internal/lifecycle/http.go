package lifecycle

import (
	"context"
	"net/http"
)

// CancelRequestsOnDone serves by a handler whose requests' contexts also end when the given one does. http.Server.Shutdown waits for requests
// that are being served, and tells handlers nothing: one that streams until its client leaves needs to be told.
func CancelRequestsOnDone(ending context.Context, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		ctx, cancel := context.WithCancel(q.Context())
		defer cancel()
		defer context.AfterFunc(ending, cancel)()
		h.ServeHTTP(w, q.WithContext(ctx))
	})
}
