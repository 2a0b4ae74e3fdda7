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

// The headers of endpoints' responses that the sidecar evaluates. They are part of the protocol and must not change.
const (
	headerLoad     = "X-Pressure"    // load report in the format of settings.ParseLoad
	headerRejected = "X-Turned-Away" // "1" in a 503 or 504 response if the endpoint has not executed the request
)

// Inbound is the part of a caller's request that a transport forwards to an endpoint unchanged.
type Inbound struct {
	Method string
	Target string // request target as the client wrote it
	Host   string
	Header http.Header
	Body   []byte
	// Safe marks a request that may be executed any number of times. A transport may send it in early data, which can be replayed.
	Safe bool
}

// Response is a complete response from an endpoint.
type Response struct {
	Header http.Header
	Body   []byte
}

// Endpoint is one incarnation of an endpoint at one address. A restart or a change of address makes a new Endpoint.
type Endpoint struct {
	ID      balancer.EndpointID
	UID     string
	Address string       // host:port
	BootMS  int64        // start time of the endpoint, Unix time in milliseconds; 0 if unknown
	Zone    string       // current zone in the endpoint list; accessed by the loop only
	Cell    int          // current cell in the endpoint list; accessed by the loop only
	Open    atomic.Bool  // whether new attempts are allowed
	Waiting atomic.Int32 // number of attempts that await a response on an established connection
}

// Attempt is one attempt to send a request to an endpoint and receive its response.
type Attempt struct {
	Request  *Inbound
	Endpoint *Endpoint
	Sent     time.Time
	Context  context.Context // done at the attempt's deadline or when the attempt is cancelled
	Bodies   *Budget         // budget from which the memory for the response body is reserved
}

// UnsentStatus returns the status of an attempt whose request was certainly not written completely: StatusNotSent if the attempt's
// deadline has passed or it was cancelled, StatusConnectFailed otherwise.
func (a *Attempt) UnsentStatus() balancer.Status {
	// The deadline is checked besides the context because a dialer enforces it with a separate timer, which may fire before the
	// context's. If an expired request deadline counted as a failed connection, a healthy endpoint would be ejected.
	if deadline, _ := a.Context.Deadline(); a.Context.Err() != nil || !time.Now().Before(deadline) {
		return balancer.StatusNotSent
	}
	return balancer.StatusConnectFailed
}

// IncompleteStatus returns the status of an attempt that was sent but got no complete, valid response. broken means that the connection
// failed; otherwise the content of the response was invalid.
func (a *Attempt) IncompleteStatus(broken bool) balancer.Status {
	switch {
	case errors.Is(a.Context.Err(), context.DeadlineExceeded):
		return balancer.StatusTimeout
	case a.Context.Err() != nil:
		return balancer.StatusCancelled
	case broken:
		return balancer.StatusReset
	}
	// The endpoint is healthy and has executed the request, but its response is invalid.
	return balancer.StatusInvalidResponse
}

// Result is the outcome of an attempt.
type Result struct {
	Status   balancer.Status
	Elapsed  time.Duration
	Response *Response      // nil unless Status is StatusOK
	Load     *balancer.Load // nil if the response had no valid load report
	Conn     Conn           // connection to reuse for other attempts; nil if there is none
	// Unreachable means that nothing was sent because the endpoint can't be reached over this protocol. The attempt may be repeated
	// over another protocol.
	Unreachable bool
	// Blocked means that the endpoint is running but can no longer be reached over this protocol.
	Blocked bool
}

// ResultOf returns the result of an attempt that received a complete response. It takes ownership of header and body, and removes
// hop-by-hop headers from header.
func ResultOf(code int, header http.Header, body []byte) Result {
	res := Result{Status: balancer.StatusError}
	if report := header.Get(headerLoad); report != "" {
		res.Load, _ = settings.ParseLoad(report, "=") // an invalid report is ignored
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
		res.Status = balancer.StatusInvalidResponse // the request is invalid; the endpoint is healthy
	}
	return res
}
