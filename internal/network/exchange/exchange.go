// Package exchange is what callers' protocols, the loop and endpoints'
// protocols hand one another: requests, answers, attempts and their outcomes.
//
// A front speaks a protocol with callers. It checks nothing of a request that
// the other fronts would have to check too; it hands an http.Request to the
// desk, with a Caller that tells of the connection it came by. A transport
// speaks a protocol with endpoints, and makes attempts. The loop between them
// knows neither protocol.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

// MaxBody bounds the body of one request and of one answer, in bytes.
const MaxBody = 64 << 10

// ExcessSockets are for callers that come when all connections are busy, and are turned away: to cut them off
// would lose what they have sent.
const ExcessSockets = 12

// Inbound is what of a request goes on to an endpoint unchanged.
type Inbound struct {
	Method string
	Target string // as the client wrote it
	Host   string
	Header http.Header
	Body   []byte
	// Safe says that it may run any number of times: a transport may send it where it could be replayed.
	Safe bool
}

// Response is an endpoint's whole answer.
type Response struct {
	Header http.Header
	Body   []byte
}

// Endpoint is one start of an endpoint at one address. When either changes, another takes its place.
type Endpoint struct {
	ID      balancer.EndpointID
	UID     string
	Address string
	BootMS  int64
	Zone    string       // the loop alone reads and sets these,
	Cell    int          // as they are listed now
	Open    atomic.Bool  // it may get new attempts
	Waiting atomic.Int32 // attempts that wait for its answer, on connections that stand
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request  *Inbound
	Endpoint *Endpoint
	Sent     time.Time
	Context  context.Context // ends with the time-out, or when the attempt is cancelled
	Bodies   *Budget
}

// UnsentStatus is the status of an attempt whose last byte was certainly not written.
func (a *Attempt) UnsentStatus() balancer.Status {
	// A dialer keeps the context's deadline by a timer of its own, which may fire before the context's does.
	// Taken for a failed connection, a request's own deadline would isolate a sound endpoint.
	if deadline, _ := a.Context.Deadline(); a.Context.Err() != nil || !time.Now().Before(deadline) {
		return balancer.StatusNotSent
	}
	return balancer.StatusConnectFailed
}

// IncompleteStatus is the status of an attempt whose answer did not come whole; broken says that its connection is why,
// and not what the answer says.
func (a *Attempt) IncompleteStatus(broken bool) balancer.Status {
	switch {
	case errors.Is(a.Context.Err(), context.DeadlineExceeded):
		return balancer.StatusTimeout
	case a.Context.Err() != nil:
		return balancer.StatusCancelled
	case broken:
		return balancer.StatusReset
	}
	// The endpoint has run it and is well, but what it says cannot be used.
	return balancer.StatusInvalidResponse
}

// ResultOf is the outcome of an attempt by the answer to it.
func ResultOf(code int, header http.Header, body []byte) Result {
	res := Result{Status: balancer.StatusError}
	if report := header.Get("X-Pressure"); report != "" {
		res.Load, _ = settings.ParseLoad(report, "=") // a report that cannot be read is none
	}
	switch {
	case code == http.StatusOK:
		res.Status = balancer.StatusOK
		RemoveHopByHop(header)
		res.Response = &Response{Header: header, Body: body}
	case code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout:
		if header.Get("X-Turned-Away") == "1" {
			res.Status = balancer.StatusRejected
		}
	case code < http.StatusInternalServerError:
		res.Status = balancer.StatusInvalidResponse // the request is at fault, not the endpoint
	}
	return res
}

// Conn is what a transport acquires for an attempt, in a form of its own; nil is none.
type Conn any

// Result is how an attempt ended.
type Result struct {
	Status   balancer.Status
	Elapsed  time.Duration
	Response *Response // nil unless served
	Load     *balancer.Load
	Conn     Conn // nil unless it can carry another attempt
	// Unreachable says that nothing was sent for want of a way to speak this protocol with the endpoint: the
	// same attempt may be made by another one.
	Unreachable bool
	// Blocked says that this protocol does not reach the endpoint any more, though the endpoint is there.
	Blocked bool
}

// Transport makes attempts by one protocol. Run is called from goroutines, all else by the loop alone; none of
// that waits.
type Transport interface {
	// Acquire takes a connection, or room for one that Run makes. It is false when there may be no further.
	Acquire(e *Endpoint, now time.Time) (c Conn, ok bool)
	// Run makes an attempt: the request is written once at most. When it returns nothing of the attempt is under
	// way any more, as far as this side can tell.
	Run(a *Attempt, c Conn) Result
	// Release takes back what Acquire gave, as Run left it.
	Release(e *Endpoint, acquired, left Conn)
	// CloseIdle closes what no attempt uses; for an endpoint that is not Open that comes true for what is used
	// too, when its last attempt ends.
	CloseIdle(e *Endpoint)
	// Sweep closes what has been idle for too long or is of no more use.
	Sweep(now time.Time)
	// Close ends the transport.
	Close()
}

// Caller is the way by which a request comes: a connection of HTTP/1.1, a stream of HTTP/3.
type Caller interface {
	// BeginRequest notes that a request's headers have come, and tells when it began and whether there is room for it.
	BeginRequest() (began time.Time, over bool)
	// BodyReceived notes that it has come whole, and tells how many connections stand idle beside its own.
	BodyReceived() (idles int)
	// CloseAfter has the connection end after this answer where the protocol needs that: what follows on it may be
	// no request, or nobody will be here to answer it.
	CloseAfter(answer http.Header)
	// AddHeaders adds what answers carry by this protocol.
	AddHeaders(answer http.Header)
	// Confirm waits until the request cannot be a replay of another's early data. It is false where that
	// will not be known in time.
	Confirm(ctx context.Context) bool
	// Early tells whether the request came in early data that is not confirmed yet.
	Early() bool
}

type callerKey struct{}

// WithCaller puts a Caller into the context of its requests.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerOf is the Caller of a request.
func CallerOf(r *http.Request) Caller {
	c, _ := r.Context().Value(callerKey{}).(Caller)
	return c
}

// Front takes requests by one protocol.
type Front interface {
	// Serve takes requests until Stop or Close.
	Serve() error
	// Quiet tells whether nobody is connected and nobody has come for a while.
	Quiet(d time.Duration) bool
	// Stop takes no further connections and returns when what was taken is answered, or with the context's end.
	Stop(ctx context.Context) error
	// Close cuts off what is left.
	Close() error
}

// Budget bounds the bytes that are held for the bodies of all requests and answers together.
type Budget struct{ left atomic.Int64 }

// Reserve takes n bytes, false where there are not so many.
func (b *Budget) Reserve(n int) bool {
	if b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release gives n bytes back, or in the first place.
func (b *Budget) Release(n int) { b.left.Add(int64(n)) }

// Available is how many there are.
func (b *Budget) Available() int64 { return b.left.Load() }

// ErrBodyTooLarge is for what a peer sends beyond a bound.
var ErrBodyTooLarge = errors.New("too large")

// ReadAll reads a body of at most MaxBody bytes. Space is taken as they come: a length is only a word.
func ReadAll(body io.Reader) ([]byte, error) {
	b := bytes.NewBuffer(make([]byte, 0, bytes.MinRead))
	if _, err := b.ReadFrom(io.LimitReader(body, MaxBody+1)); err != nil {
		return nil, err
	}
	if b.Len() > MaxBody {
		return nil, ErrBodyTooLarge
	}
	return b.Bytes(), nil
}

// hopByHop are the headers that belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop takes those out.
func RemoveHopByHop(h http.Header) {
	for _, line := range slices.Clone(h["Connection"]) {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
