package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"quincegap/internal/network/exchange"
)

const testTimeout = 10 * time.Second

// newAttempt returns an attempt at an endpoint that allows attempts, and the function that cancels the attempt.
func newAttempt(t *testing.T, address string, timeout time.Duration, bodies *exchange.Budget) (*attempt, func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	a := &attempt{&exchange.Attempt{
		Sent:     time.Now(),
		Context:  ctx,
		Bodies:   bodies,
		Endpoint: &exchange.Endpoint{Address: address},
		Request:  &exchange.Inbound{Method: http.MethodPost, Target: "/api", Host: "h", Header: http.Header{}, Body: []byte("trip")},
	}}
	a.Endpoint.Open.Store(true)
	return a, cancel
}

// runAttempt makes an attempt at an endpoint, on the connection c or on a new one if c is nil. open tells whether the endpoint allows
// attempts. during runs concurrently with the attempt unless it is nil.
func runAttempt(t *testing.T, address string, open bool, c net.Conn, timeout time.Duration, during func(cancel func())) exchange.Result {
	t.Helper()
	a, cancel := newAttempt(t, address, timeout, largeBudget())
	defer cancel()
	a.Endpoint.Open.Store(open)
	if during != nil {
		go during(cancel)
	}
	if c == nil {
		return a.run(nil, testTimeout)
	}
	return a.runOn(newConn(c))
}

// largeBudget returns a memory budget that is sufficient for every test.
func largeBudget() *exchange.Budget {
	b := &exchange.Budget{}
	b.Release(1 << 30)
	return b
}

// pipe returns the sidecar's end of an unbuffered connection, and runs endpoint with the other end.
func pipe(t *testing.T, endpoint func(net.Conn)) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		endpoint(far)
	}()
	t.Cleanup(func() {
		closeAll(t, near, far)
		<-done
	})
	return near
}

// tcpPair returns both ends of a loopback TCP connection: the sidecar's and the endpoint's.
func tcpPair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, l)
	near, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(t, near, far) })
	return newConn(near), far
}

// readRequest reads a request, or as much of it as arrives.
func readRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// send writes a text to an attempt. Errors are ignored, since the attempt may have closed the connection.
func send(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// closeAll closes connections and listeners, which may have been closed before.
func closeAll(t *testing.T, all ...io.Closer) {
	t.Helper()
	for _, c := range all {
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}
