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

// The headers of endpoints' answers, which are data.
const (
	headerLoad     = "X-Pressure"    // a load report, see settings.ParseLoad
	headerRejected = "X-Turned-Away" // "1" in a 503 or 504 for a request that has not run
)

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

// Response is an endpoint's complete answer.
type Response struct {
	Header http.Header
	Body   []byte
}

// Endpoint is one start of an endpoint at one address. When either changes, another takes its place.
type Endpoint struct {
	ID      balancer.EndpointID
	UID     string
	Address string       // host:port
	BootMS  int64        // its start in Unix time, in milliseconds; 0 where it is not known
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
	Context  context.Context // ends with the timeout, or when the attempt is cancelled
	Bodies   *Budget         // for the answer's body
}

// UnsentStatus is the status of an attempt whose last byte was certainly not written: StatusNotSent when its time is over or it
// was cancelled, StatusConnectFailed otherwise.
func (a *Attempt) UnsentStatus() balancer.Status {
	// A dialer keeps the context's deadline by a timer of its own, which may fire before the context's does.
	// Taken for a failed connection, a request's own deadline would isolate a sound endpoint.
	if deadline, _ := a.Context.Deadline(); a.Context.Err() != nil || !time.Now().Before(deadline) {
		return balancer.StatusNotSent
	}
	return balancer.StatusConnectFailed
}

// IncompleteStatus is the status of an attempt whose answer did not come complete; broken says that its connection is why,
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
	// The endpoint has run it and is healthy, but what it says cannot be used.
	return balancer.StatusInvalidResponse
}

// Result is how an attempt ended.
type Result struct {
	Status   balancer.Status
	Elapsed  time.Duration
	Response *Response      // nil unless served
	Load     *balancer.Load // nil where the endpoint reported none
	Conn     Conn           // nil unless it can carry another attempt
	// Unreachable says that nothing was sent for want of a way to speak this protocol with the endpoint: the
	// same attempt may be made by another one.
	Unreachable bool
	// Blocked says that this protocol does not reach the endpoint any more, though the endpoint is there.
	Blocked bool
}

// ResultOf is the result of an attempt by the answer to it. It takes header for its own.
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
