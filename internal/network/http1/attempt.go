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
	// settleTime is how long a connection rests after an answer. Nothing ties an answer to its request, so what an endpoint sends
	// beyond an answer must be seen before the next request is written.
	settleTime = time.Millisecond
	// resetSpread is how long a process that dies may take to reset all its connections.
	resetSpread = 3 * time.Millisecond
)

// attempt is one over this protocol.
type attempt struct{ *exchange.Attempt }

// run makes the attempt, on a connection that was idle or, with nil, on a new one. When it returns the connection is either closed or
// free, so the Balancer may send the request again.
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

// dial makes a connection. A failure that comes at once is tried once more: endpoints reset new connections now and then, and a dead
// one does it twice.
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

// checkEndpoint tells a connection that alone broke from an endpoint that ended: the latter takes all its connections along and
// accepts no new ones. If one broken connection were taken for that, a healthy endpoint would be ejected, and then start slowly. A
// new connection takes the broken one's place.
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

// runOn makes the attempt on a connection, which is closed if it can't carry another one.
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

// isConnError tells whether a connection is why an answer could not be read, and not what the answer says.
func isConnError(err error) bool {
	return errors.As(err, new(*net.OpError)) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}
