package exchange

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

// The headers of endpoints' answers. They are data.
const (
	headerLoad     = "X-Pressure"    // a load report, see settings.ParseLoad
	headerRejected = "X-Turned-Away" // "1" in a 503 or 504 for a request that has not run
)

// Inbound is the part of a caller's request that is forwarded to an endpoint unchanged.
type Inbound struct {
	Method string
	Target string // request target as the client wrote it
	Host   string
	Header http.Header
	Body   []byte
	// Safe marks a request that may run any number of times: a transport may send it in early data, which can be replayed.
	Safe bool
}

// Response is an endpoint's complete answer.
type Response struct {
	Header http.Header
	Body   []byte
}

// Endpoint is one incarnation of an endpoint at one address. After a restart or at another address the endpoint is a new Endpoint.
type Endpoint struct {
	ID      balancer.EndpointID
	UID     string
	Address string       // host:port
	BootMS  int64        // its start, Unix time in milliseconds; 0 if it is unknown
	Zone    string       // as listed now; read and set by the loop alone
	Cell    int          // likewise
	Open    atomic.Bool  // new attempts are allowed
	Waiting atomic.Int32 // attempts that wait for an answer on connections that are open
}

// Attempt is one attempt to have a request served by an endpoint.
type Attempt struct {
	Request  *Inbound
	Endpoint *Endpoint
	Sent     time.Time
	Context  context.Context // ends at the attempt's deadline, or when the attempt is cancelled
	Bodies   *Budget         // from which the answer's body is reserved
}

// UnsentStatus returns the status of an attempt whose last byte was certainly not written: StatusNotSent after its deadline or when
// it was cancelled, StatusConnectFailed otherwise.
func (a *Attempt) UnsentStatus() balancer.Status {
	// A dialer keeps the context's deadline by a timer of its own, which may fire before the context's does. If a request's own
	// deadline counted as a failed connection, a healthy endpoint would be ejected.
	if deadline, _ := a.Context.Deadline(); a.Context.Err() != nil || !time.Now().Before(deadline) {
		return balancer.StatusNotSent
	}
	return balancer.StatusConnectFailed
}

// IncompleteStatus returns the status of an attempt without a complete, valid answer. broken means that the connection failed, and not
// the answer's content.
func (a *Attempt) IncompleteStatus(broken bool) balancer.Status {
	switch {
	case errors.Is(a.Context.Err(), context.DeadlineExceeded):
		return balancer.StatusTimeout
	case a.Context.Err() != nil:
		return balancer.StatusCancelled
	case broken:
		return balancer.StatusReset
	}
	// The endpoint is healthy and has run the request, but its answer is invalid.
	return balancer.StatusInvalidResponse
}

// Result is the outcome of an attempt.
type Result struct {
	Status   balancer.Status
	Elapsed  time.Duration
	Response *Response      // nil unless Status is StatusOK
	Load     *balancer.Load // nil if the endpoint reported none
	Conn     Conn           // nil unless the connection can carry another attempt
	// Unreachable means that nothing was sent because the endpoint can't be reached by this protocol: the attempt may be made by
	// another protocol.
	Unreachable bool
	// Blocked means that this protocol no longer reaches the endpoint, though the endpoint runs.
	Blocked bool
}

// ResultOf returns the result of an attempt that was answered. It keeps header and changes it.
func ResultOf(code int, header http.Header, body []byte) Result {
	res := Result{Status: balancer.StatusError}
	if report := header.Get(headerLoad); report != "" {
		res.Load, _ = settings.ParseLoad(report, "=") // a report that cannot be read is none
	}
	switch {
	case code == http.StatusOK:
		res.Status = balancer.StatusOK
		RemoveHopByHop(header)
		res.Response = &Response{Header: header, Body: body}
	case code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout:
		if header.Get(headerRejected) == "1" {
			res.Status = balancer.StatusRejected
		}
	case code < http.StatusInternalServerError:
		res.Status = balancer.StatusInvalidResponse // the request is at fault, not the endpoint
	}
	return res
}
