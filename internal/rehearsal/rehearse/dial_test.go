package rehearse

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// serverConn is a connection from a test to a server.
type serverConn struct{ *net.TCPConn }

// dialWithin connects to an address. It fails if that takes longer than the timeout.
func dialWithin(address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(context.Background(), "tcp", address)
}

// dialServer connects to a server, and closes the connection at the end of the test.
func dialServer(t *testing.T, address string) serverConn {
	t.Helper()
	c, err := dialWithin(address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(c) })
	return serverConn{c.(*net.TCPConn)}
}

// dialAndRead connects to a server, and returns what read returns. A server may reset a connection so soon that connecting to it already
// fails with the reset, whose text is returned then.
func dialAndRead(t *testing.T, address string) string {
	t.Helper()
	c, err := dialWithin(address, time.Second)
	if errors.Is(err, syscall.ECONNRESET) {
		return err.Error()
	}
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(c)
	return serverConn{c.(*net.TCPConn)}.read(t, time.Second)
}

// ask sends a request with the given id.
func (s serverConn) ask(t *testing.T, request string) {
	t.Helper()
	const head = "GET /trips HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: ask\r\nX-Remaining: 1000m\r\nIdempotency-Key: k\r\n\r\n"
	if _, err := fmt.Fprintf(s, head, request); err != nil {
		t.Fatal(err)
	}
}

// read returns the next bytes received, "nothing" if none arrive within the limit, or the text of the error.
func (s serverConn) read(t *testing.T, limit time.Duration) string {
	t.Helper()
	buffer := make([]byte, 4096)
	if err := s.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err.Error()
	}
	n, err := s.Read(buffer)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return "nothing"
	}
	if err != nil {
		return err.Error()
	}
	return string(buffer[:n])
}
