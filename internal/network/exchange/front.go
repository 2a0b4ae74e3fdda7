package exchange

import (
	"context"
	"net/http"
	"time"
)

// ExcessSockets are for callers that come when all connections are busy, and are rejected: to cut them off
// would lose what they have sent.
const ExcessSockets = 12

// Front takes requests by one protocol.
type Front interface {
	// Serve takes requests until Stop or Close.
	Serve() error
	// Quiet reports whether nobody is connected and nobody has come for a while.
	Quiet(d time.Duration) bool
	// Stop takes no further connections and returns when what was taken is answered, or with the context's end, whose error it
	// then gives.
	Stop(ctx context.Context) error
	// Close cuts off what is left.
	Close() error
}

// Caller is the way by which a request comes: a connection of HTTP/1.1, a stream of HTTP/3.
type Caller interface {
	// BeginRequest notes that a request's headers have come, and tells when it began and whether there is no room for it.
	BeginRequest() (began time.Time, over bool)
	// BodyReceived notes that it has come complete, and tells how many connections stand idle beside its own.
	BodyReceived() (idles int)
	// CloseAfter has the connection end after this answer where the protocol needs that: what follows on it may be
	// no request, or nobody will be here to answer it.
	CloseAfter(answer http.Header)
	// AddHeaders adds what answers carry by this protocol.
	AddHeaders(answer http.Header)
	// Confirm waits until the request cannot be a replay of another's early data. It is false where that
	// will not be known in time.
	Confirm(ctx context.Context) bool
	// Early reports whether the request came in early data that is not confirmed yet.
	Early() bool
}

// callerKey is the key of a Caller in a context.
type callerKey struct{}

// WithCaller puts a Caller into the context of its requests.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerOf is the Caller of a request; nil for none.
func CallerOf(r *http.Request) Caller {
	c, _ := r.Context().Value(callerKey{}).(Caller)
	return c
}
