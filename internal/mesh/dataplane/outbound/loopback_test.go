package outbound

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// listen listens on loopback until the end of the test.
func listen(tb testing.TB) net.Listener {
	tb.Helper()
	var config net.ListenConfig
	l, err := config.Listen(tb.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = l.Close() }) // a server may have closed the listener
	return l
}

// serve starts a proxy's server on loopback until the end of the test, and returns its address.
func serve(tb testing.TB, proxy *Proxy) string {
	tb.Helper()
	l := listen(tb)
	server := proxy.Server()
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(proxy.Listener(l)) })
	tb.Cleanup(func() {
		qt.Check(tb, server.Close(), qt.IsNil)
		serving.Wait()
	})
	return l.Addr().String()
}

// dial opens a client's connection, which is closed at the end of the test.
func dial(tb testing.TB, address string) net.Conn {
	tb.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(tb.Context(), "tcp4", address)
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { closeQuietly(conn) })
	qt.Assert(tb, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return conn
}

// closeQuietly closes a connection. It ignores the error, as the other side may have closed the connection before.
func closeQuietly(conn net.Conn) { _ = conn.Close() }
