package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

const (
	// reuseDelay is the minimum time between a response and the next request on a connection. HTTP/1.1 has nothing that ties a
	// response to its request, so surplus bytes after a response must be detected before the next request is written.
	reuseDelay = time.Millisecond
	// resetSpread is the time within which all connections of an exiting process are reset.
	resetSpread = 3 * time.Millisecond
)

// attempt is an attempt over HTTP/1.1.
type attempt struct{ *exchange.Attempt }

// run makes the attempt on the idle connection c, or on a new one if c is nil or no longer usable. When it returns the connection is
// closed or idle, so that the balancer may send the request again.
func (a *attempt) run(c *conn, connectTimeout time.Duration) (res exchange.Result) {
	defer func() { res.Elapsed = time.Since(a.Sent) }()
	if c != nil {
		time.Sleep(time.Until(c.idleSince.Add(reuseDelay)))
		if !c.alive() {
			c.discard()
			c = nil
		}
	}
	if c == nil {
		var err error
		if c, err = a.dial(connectTimeout); err != nil {
			return exchange.Result{Status: a.UnsentStatus()}
		}
	}
	res = a.runOn(c)
	if res.Status == balancer.StatusReset {
		a.checkEndpoint(&res, connectTimeout)
	}
	return res
}

// dial connects to the endpoint; timeout limits each try. If the connection is refused or reset it tries once more: a healthy endpoint
// occasionally resets a new connection, but only a failed one does so twice in a row.
func (a *attempt) dial(timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	raw, err := dialer.DialContext(a.Context, "tcp", a.Endpoint.Address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		raw, err = dialer.DialContext(a.Context, "tcp", a.Endpoint.Address)
	}
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// checkEndpoint is called after a connection broke. It changes the status from StatusReset to StatusInvalidResponse if the endpoint is
// still running: then other attempts still await a response from it, or it accepts a new connection, which res gets for reuse. If a
// single broken connection counted as a failure of the endpoint, a healthy endpoint would be ejected and then go through slow start.
func (a *attempt) checkEndpoint(res *exchange.Result, connectTimeout time.Duration) {
	time.Sleep(resetSpread)
	if a.Endpoint.Waiting.Load() > 0 {
		res.Status = balancer.StatusInvalidResponse
		return
	}
	if c, err := a.dial(connectTimeout); err == nil {
		res.Status = balancer.StatusInvalidResponse
		res.Conn = c
	}
}

// runOn makes the attempt on a connection, and closes the connection if it can't be reused.
func (a *attempt) runOn(c *conn) exchange.Result {
	stop := context.AfterFunc(a.Context, c.discard)
	res := a.exchange(c)
	if !stop() || res.Conn == nil {
		c.discard()
		res.Conn = nil
	}
	return res
}

// exchange writes the request once and reads the response.
func (a *attempt) exchange(c *conn) exchange.Result {
	deadline, _ := a.Context.Deadline()
	text := encode(a.Request, time.Until(deadline))
	// The endpoint may have started to drain during the dial.
	if !a.Endpoint.Open.Load() || a.Context.Err() != nil {
		return exchange.Result{Status: balancer.StatusNotSent}
	}
	if n, err := c.Write(text); err != nil && n < len(text) {
		return exchange.Result{Status: a.UnsentStatus()}
	}
	a.Endpoint.Waiting.Add(1)
	res, err := a.read(c)
	a.Endpoint.Waiting.Add(-1)
	if err != nil {
		res.Status = a.IncompleteStatus(isConnError(err))
	}
	return res
}

// isConnError reports whether reading a response failed because the connection broke, and not because of the response's content.
func isConnError(err error) bool {
	return errors.As(err, new(*net.OpError)) ||
		errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, io.ErrClosedPipe)
}
