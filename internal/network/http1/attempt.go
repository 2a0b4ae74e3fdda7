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
	// settleTime is the least time between an answer and the next request on a connection. Nothing ties an answer to its request, so
	// bytes that an endpoint sends after an answer must arrive before the next request is written.
	settleTime = time.Millisecond
	// resetSpread is the time in which a dying process resets all its connections.
	resetSpread = 3 * time.Millisecond
)

// attempt is an attempt over HTTP/1.1.
type attempt struct{ *exchange.Attempt }

// run makes the attempt on an idle connection or, if c is nil, on a new one. When it returns the connection is closed or idle, so that
// the balancer may send the request again.
func (a *attempt) run(c *conn, connectTimeout time.Duration) (res exchange.Result) {
	defer func() { res.Elapsed = time.Since(a.Sent) }()
	if c != nil {
		time.Sleep(time.Until(c.idleSince.Add(settleTime)))
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

// dial connects to the endpoint. It tries once more after a connection that is refused or reset at once: endpoints reset new connections
// now and then, and only a dead one does so twice.
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

// checkEndpoint distinguishes a connection that broke alone from an endpoint that ended, which breaks all its connections and accepts no
// new one. If a single broken connection counted as the endpoint's end, a healthy endpoint would be ejected and then go through its slow
// start. On success the result has a new connection in the place of the broken one.
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

// runOn makes the attempt on a connection, and closes the connection if it can't carry another attempt.
func (a *attempt) runOn(c *conn) exchange.Result {
	release := context.AfterFunc(a.Context, c.discard)
	res := a.exchange(c)
	if !release() || res.Conn == nil {
		c.discard()
		res.Conn = nil
	}
	return res
}

// exchange writes the request once, and reads the answer.
func (a *attempt) exchange(c *conn) exchange.Result {
	deadline, _ := a.Context.Deadline()
	text := encode(a.Request, time.Until(deadline))
	// The endpoint may be draining since the dial began.
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

// isConnError reports whether an answer could not be read because of the connection, and not because of its content.
func isConnError(err error) bool {
	return errors.As(err, new(*net.OpError)) ||
		errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, io.ErrClosedPipe)
}
