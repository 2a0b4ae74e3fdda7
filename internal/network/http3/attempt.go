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
	errMalformed = errors.New("malformed response")
	errNoMemory  = errors.New("memory budget for bodies is exhausted")
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
	// The connection could not be used, and nothing was sent on it. The attempt is made on a new connection, as HTTP/1.1 does if an
	// idle connection has been closed by the endpoint.
	next := t.dialAndWait(attempt.Endpoint.Address)
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

// dialAndWait makes a connection without early data, and waits until it is ready or has failed; the result's err tells which. It uses the
// transport's context, since the connection outlives the attempt.
func (t *Transport) dialAndWait(address string) *endpointConn {
	c := &endpointConn{ready: make(chan struct{})}
	t.dial(c, address, false)
	return c
}

// runOn makes the attempt on a connection; early allows it to send the request in early data. unsent means that nothing was sent because
// the connection can no longer be used.
func (t *Transport) runOn(attempt *exchange.Attempt, conn *endpointConn, early bool) (res exchange.Result, unsent bool) {
	if !early {
		if err := conn.waitHandshake(attempt.Context); err != nil {
			return exchange.Result{Status: attempt.UnsentStatus()}, attempt.Context.Err() == nil
		}
	}
	// The endpoint may have started to drain during the handshake.
	if !attempt.Endpoint.Open.Load() || attempt.Context.Err() != nil {
		return exchange.Result{Status: balancer.StatusNotSent}, false
	}
	attempt.Endpoint.Waiting.Add(1)
	res, err := t.exchange(attempt, conn.client, early)
	attempt.Endpoint.Waiting.Add(-1)
	switch {
	case err == nil:
	case errors.Is(err, quic.Err0RTTRejected):
		// The endpoint has discarded all early data (RFC 9001, section 4.6.2). The protocol allows new streams on this connection,
		// but the library still sends frames for the old streams, which have the same IDs.
		conn.closeEstablished()
		return exchange.Result{Status: attempt.UnsentStatus()}, attempt.Context.Err() == nil
	case isNeverSent(err):
		return exchange.Result{Status: attempt.UnsentStatus()}, attempt.Context.Err() == nil
	case isRejected(err):
		// The request was not processed (RFC 9114, section 4.1.1).
		res = exchange.Result{Status: balancer.StatusRejected}
	default:
		res = exchange.Result{Status: attempt.IncompleteStatus(conn.conn.Context().Err() != nil)}
		if res.Status == balancer.StatusReset {
			t.checkEndpoint(attempt, &res)
		}
	}
	return res, false
}

// checkEndpoint is called after a connection broke. It changes the status from StatusReset to StatusInvalidResponse if the endpoint is
// still running: then other attempts still await a response from it, or it accepts a new connection, which res gets for reuse. If no new
// connection can be made, UDP may be blocked on the path: an endpoint that accepts a TCP connection is still running, and res is marked
// as Blocked.
func (t *Transport) checkEndpoint(attempt *exchange.Attempt, res *exchange.Result) {
	if attempt.Endpoint.Waiting.Load() > 0 {
		res.Status = balancer.StatusInvalidResponse
		return
	}
	if next := t.dialAndWait(attempt.Endpoint.Address); next.err == nil {
		res.Status = balancer.StatusInvalidResponse
		res.Conn = next
		return
	}
	dialer := net.Dialer{Timeout: t.settings.HandshakeTimeout}
	if c, err := dialer.DialContext(attempt.Context, "tcp", attempt.Endpoint.Address); err == nil {
		_ = c.Close() // no data was sent, so an error loses nothing
		res.Status = balancer.StatusInvalidResponse
		res.Blocked = true
	}
}

// isNeverSent reports whether an error means that no stream could be opened for a request. The library does not export that error's type,
// so its text is compared. If a later version changes the text, the request counts as one that may have been executed.
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

// exchange sends the request on a new stream and reads the response.
func (t *Transport) exchange(attempt *exchange.Attempt, client *http3.ClientConn, early bool) (res exchange.Result, err error) {
	r, err := newRequest(attempt, early)
	if err != nil {
		return res, err
	}
	response, err := client.RoundTrip(r)
	if err != nil {
		return res, err
	}
	defer func() { _ = response.Body.Close() }() // cancels reading the rest of the body
	if response.StatusCode < http.StatusOK || response.ContentLength > exchange.MaxBody {
		return res, errMalformed
	}
	if !attempt.Bodies.Reserve(exchange.MaxBody) {
		return res, errNoMemory
	}
	retained := 0 // bytes of the reservation that the result still uses
	defer func() { attempt.Bodies.Release(exchange.MaxBody - retained) }()
	body, err := exchange.ReadAll(response.Body)
	if err != nil {
		return res, err
	}
	res = exchange.ResultOf(response.StatusCode, response.Header, body)
	if res.Response != nil {
		retained = len(body)
	}
	if response.StatusCode == http.StatusTooEarly && early {
		res.Status = balancer.StatusRejected // the endpoint has not processed the request (RFC 8470, section 5.2)
	}
	return res, nil
}
