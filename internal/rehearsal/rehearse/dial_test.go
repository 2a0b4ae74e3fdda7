package rehearse

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"
)

// serverConn is a connection of a test to a server.
type serverConn struct{ *net.TCPConn }

// dialFor connects to an address within a limit.
func dialFor(address string, limit time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: limit}).DialContext(context.Background(), "tcp", address)
}

// dialServer connects to a server; the connection is closed at the end of the test.
func dialServer(t *testing.T, address string) serverConn {
	t.Helper()
	c, err := dialFor(address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(c) })
	return serverConn{c.(*net.TCPConn)}
}

// ask sends a request with an id.
func (s serverConn) ask(t *testing.T, request string) {
	t.Helper()
	const head = "GET /trips HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: ask\r\nX-Remaining: 1000m\r\nIdempotency-Key: k\r\n\r\n"
	if _, err := fmt.Fprintf(s, head, request); err != nil {
		t.Fatal(err)
	}
}

// read returns what comes next, "nothing" if nothing does within the limit, or the text of the error.
func (s serverConn) read(t *testing.T, limit time.Duration) string {
	t.Helper()
	b := make([]byte, 4096)
	if err := s.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err.Error()
	}
	n, err := s.Read(b)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return "nothing"
	}
	if err != nil {
		return err.Error()
	}
	return string(b[:n])
}
