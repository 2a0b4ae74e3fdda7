package exchange

import (
	"context"
	"net/http"
	"time"
)

// ExcessSockets is the number of additional connections that are accepted from callers while all regular ones are busy. Their requests
// get a response that rejects them: closing the connection instead would lose the request without a response.
const ExcessSockets = 12

// Front serves callers over one protocol.
type Front interface {
	// Serve accepts connections until Stop or Close is called. It returns nil after these, and otherwise the reason why it ended.
	Serve() error
	// Quiet reports whether no connection is open and none has been accepted for the duration d.
	Quiet(d time.Duration) bool
	// Stop shuts down gracefully: it accepts no new connections, and returns when all accepted requests have been answered. If ctx
	// is done before that it returns the context's error.
	Stop(ctx context.Context) error
	// Close closes all connections immediately.
	Close() error
}

// Caller represents the connection that a request arrived on: a connection of HTTP/1.1, or a stream of HTTP/3.
type Caller interface {
	// BeginRequest is called when a request's headers have been received. It returns when the request began, and whether it must be
	// rejected because its connection exceeds the limit on connections.
	BeginRequest() (began time.Time, excess bool)
	// BodyReceived is called when the request has been received completely. It returns the front's number of idle connections.
	BodyReceived() (idle int)
	// CloseAfter makes the front close the connection after this response, if the protocol requires it: the bytes that follow may
	// not be a new request, or the sidecar may have shut down by then.
	CloseAfter(response http.Header)
	// AddHeaders adds the headers that all responses over this protocol have.
	AddHeaders(response http.Header)
	// Confirm waits until the request can't be a replay of another connection's early data. It returns false if the context is done
	// or the connection ends before that is known.
	Confirm(ctx context.Context) bool
	// Early reports whether the request arrived in early data that may still be a replay.
	Early() bool
}

// callerKey is the context key for a Caller.
type callerKey struct{}

// WithCaller returns a context for requests of c; CallerOf returns c from it.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerOf returns the Caller in a request's context, or nil if there is none.
func CallerOf(r *http.Request) Caller {
	c, _ := r.Context().Value(callerKey{}).(Caller)
	return c
}
