package http3

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

var (
	errMalformed = errors.New("cannot be read")
	errNoMemory  = errors.New("no memory for the body")
)

// Run implements exchange.Transport.
func (t *Transport) Run(attempt *exchange.Attempt, c exchange.Conn) (res exchange.Result) {
	defer func() { res.Elapsed = time.Since(attempt.Sent) }()
	acquired := c.(*endpointConn)
	select {
	case <-acquired.ready:
	case <-attempt.Context.Done():
		return exchange.Result{Status: attempt.UnsentStatus()}
	}
	if acquired.err != nil {
		if attempt.Context.Err() == nil && !isAuthError(acquired.err) {
			return exchange.Result{Status: balancer.StatusConnectFailed, Unreachable: true}
		}
		return exchange.Result{Status: attempt.UnsentStatus()}
	}
	early := attempt.Request.Safe && t.settings.EarlyRequests
	res, unsent := t.runOn(attempt, acquired, early)
	if !unsent {
		return res
	}
	// The connection could not be used, and nothing was sent on it. The attempt goes to a new one, as with an idle connection of
	// HTTP/1.1 that its endpoint has closed.
	next := t.dialNow(attempt.Endpoint.Address)
	if next.err != nil {
		return exchange.Result{Status: attempt.UnsentStatus(), Unreachable: attempt.Context.Err() == nil && !isAuthError(next.err)}
	}
	res, unsent = t.runOn(attempt, next, false)
	if unsent {
		res = exchange.Result{Status: attempt.UnsentStatus()}
	}
	res.Conn = next
	return res
}

// dialNow makes a connection without early data, and waits for it. It uses the transport's context, since the connection outlives the
// attempt.
func (t *Transport) dialNow(address string) *endpointConn {
	c := &endpointConn{ready: make(chan struct{})}
	t.dial(c, address, false)
	return c
}

// runOn makes the attempt on a connection. unsent means that nothing was sent because the connection can't be used any more.
func (t *Transport) runOn(attempt *exchange.Attempt, conn *endpointConn, early bool) (res exchange.Result, unsent bool) {
	if !early {
		if err := conn.waitConfirmed(attempt.Context); err != nil {
			return exchange.Result{Status: attempt.UnsentStatus()}, attempt.Context.Err() == nil
		}
	}
	// The endpoint may be draining since the handshake began.
	if !attempt.Endpoint.Open.Load() || attempt.Context.Err() != nil {
		return exchange.Result{Status: balancer.StatusNotSent}, false
	}
	attempt.Endpoint.Waiting.Add(1)
	res, err := t.exchange(attempt, conn.client, early)
	attempt.Endpoint.Waiting.Add(-1)
	switch {
	case err == nil:
	case errors.Is(err, quic.Err0RTTRejected):
		// The endpoint has discarded all early data (RFC 9001, section 4.6.2). The connection could go on with new streams, but
		// the library still sends frames for the old ones, which have the same numbers.
		conn.abandon()
		return exchange.Result{Status: attempt.UnsentStatus()}, attempt.Context.Err() == nil
	case isNeverSent(err):
		return exchange.Result{Status: attempt.UnsentStatus()}, attempt.Context.Err() == nil
	case isRejected(err):
		// RFC 9114, section 4.1.1: the request was not processed.
		res = exchange.Result{Status: balancer.StatusRejected}
	default:
		res = exchange.Result{Status: attempt.IncompleteStatus(conn.conn.Context().Err() != nil)}
		if res.Status == balancer.StatusReset {
			t.checkEndpoint(attempt, &res)
		}
	}
	return res, false
}

// checkEndpoint distinguishes a connection that broke alone from an endpoint that ended, as over HTTP/1.1. If no new connection can be
// made over UDP, the path may have broken: an endpoint that accepts a connection over TCP still runs.
func (t *Transport) checkEndpoint(attempt *exchange.Attempt, res *exchange.Result) {
	if attempt.Endpoint.Waiting.Load() > 0 {
		res.Status = balancer.StatusInvalidResponse
		return
	}
	if next := t.dialNow(attempt.Endpoint.Address); next.err == nil {
		res.Status = balancer.StatusInvalidResponse
		res.Conn = next
		return
	}
	dialer := net.Dialer{Timeout: t.settings.HandshakeTimeout}
	if c, err := dialer.DialContext(attempt.Context, "tcp", attempt.Endpoint.Address); err == nil {
		_ = c.Close() // nothing was sent on it
		res.Status = balancer.StatusInvalidResponse
		res.Blocked = true
	}
}

// isNeverSent reports whether an error means that no stream could be opened for a request. The library does not export that error's type,
// so its text is compared. Should the text change, the attempt counts as one that may have run.
func isNeverSent(err error) bool { return strings.HasPrefix(err.Error(), "http3: conn unusable: ") }

// isRejected reports whether an error means that the endpoint has not processed the request.
func isRejected(err error) bool {
	e, ok := errors.AsType[*http3.Error](err)
	if !ok || !e.Remote || e.ErrorCode != http3.ErrCodeRequestRejected {
		return false
	}
	_, stream := errors.AsType[*quic.StreamError](err)
	return stream
}

// exchange sends the request on a stream of its own, and reads the answer.
func (t *Transport) exchange(attempt *exchange.Attempt, client *http3.ClientConn, early bool) (res exchange.Result, err error) {
	r, err := newRequest(attempt, early)
	if err != nil {
		return res, err
	}
	answer, err := client.RoundTrip(r)
	if err != nil {
		return res, err
	}
	defer func() { _ = answer.Body.Close() }() // cancels what is left of it
	if answer.StatusCode < http.StatusOK || answer.ContentLength > exchange.MaxBody {
		return res, errMalformed
	}
	if !attempt.Bodies.Reserve(exchange.MaxBody) {
		return res, errNoMemory
	}
	kept := 0
	defer func() { attempt.Bodies.Release(exchange.MaxBody - kept) }()
	body, err := exchange.ReadAll(answer.Body)
	if err != nil {
		return res, err
	}
	res = exchange.ResultOf(answer.StatusCode, answer.Header, body)
	if res.Response != nil {
		kept = len(body)
	}
	if answer.StatusCode == http.StatusTooEarly && early {
		res.Status = balancer.StatusRejected // it has not run (RFC 8470, section 5.2)
	}
	return res, nil
}
