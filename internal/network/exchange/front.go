package exchange

import (
	"context"
	"net/http"
	"time"
)

// ExcessSockets is the number of sockets for callers that connect while all connections are busy. They get an answer that rejects their
// request: closing the connection would lose what they have sent.
const ExcessSockets = 12

// Front serves callers over one protocol.
type Front interface {
	// Serve accepts requests until Stop or Close.
	Serve() error
	// Quiet reports whether no connection is open and none has been accepted for d.
	Quiet(d time.Duration) bool
	// Stop shuts down gracefully: it accepts no new connection and returns when all accepted requests are answered, or with the
	// context's error when that ends first.
	Stop(ctx context.Context) error
	// Close closes all connections at once.
	Close() error
}

// Caller is the connection that a request came on: a connection of HTTP/1.1, a stream of HTTP/3.
type Caller interface {
	// BeginRequest is called when a request's headers have been received. It returns when the request began, and whether it came in
	// excess of the bound on connections and is to be rejected.
	BeginRequest() (began time.Time, excess bool)
	// BodyReceived is called when the request has been received completely. It returns the number of idle connections.
	BodyReceived() (idle int)
	// CloseAfter closes the connection after this answer if the protocol needs that: the bytes that follow may be no request, or
	// the sidecar may be gone by then.
	CloseAfter(answer http.Header)
	// AddHeaders adds the headers that answers over this protocol have.
	AddHeaders(answer http.Header)
	// Confirm waits until the request can't be a replay of another's early data. It returns false if the context or the connection
	// ends before that is known.
	Confirm(ctx context.Context) bool
	// Early reports whether the request came in early data that is not confirmed yet.
	Early() bool
}

// callerKey is the context key of a Caller.
type callerKey struct{}

// WithCaller returns a context that has a Caller, for the Caller's requests.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerOf returns the Caller in a request's context; nil if there is none.
func CallerOf(r *http.Request) Caller {
	c, _ := r.Context().Value(callerKey{}).(Caller)
	return c
}
