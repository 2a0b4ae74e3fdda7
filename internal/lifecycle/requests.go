package lifecycle

import (
	"context"
	"net/http"
)

// CancelRequestsOnDone returns a handler that passes requests on to the given one, and cancels their contexts when ending is done.
// http.Server.Shutdown waits for requests in progress and does not notify their handlers, so that a handler which streams until its client
// disconnects would delay the shutdown.
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
