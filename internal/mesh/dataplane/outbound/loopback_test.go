package outbound

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// listen listens on loopback until the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() }) // a server may have closed the listener
	return l
}

// serve starts a proxy's server on loopback until the end of the test, and returns its address.
func serve(t *testing.T, proxy *Proxy) string {
	t.Helper()
	l := listen(t)
	server := proxy.Server()
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(proxy.Listener(l)) })
	t.Cleanup(func() {
		qt.Check(t, server.Close(), qt.IsNil)
		serving.Wait()
	})
	return l.Addr().String()
}

// dial opens a client's connection, which is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp4", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { closeQuietly(conn) })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return conn
}

// closeQuietly closes a connection. It ignores the error, as the other side may have closed the connection before.
func closeQuietly(conn net.Conn) { _ = conn.Close() }
