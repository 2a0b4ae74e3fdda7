package sockets

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// connect returns both ends of a connection that sockets has accepted.
func connect(t *testing.T, sockets *Sockets) (client, server net.Conn) {
	t.Helper()
	listener, err := sockets.Listen(t.Context(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, listener.Close(), qt.IsNil) })
	var dialer net.Dialer
	client, err = dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	return client, server
}

// Bytes that a process has not read count until it reads them or closes the connection.
func TestUnreadBytesAreCounted(t *testing.T) {
	var sockets Sockets
	client, server := connect(t, &sockets)
	_, err := client.Write(make([]byte, 1000))
	qt.Assert(t, err, qt.IsNil)
	for end := time.Now().Add(10 * time.Second); sockets.Usage().UnreadBytes < 1000 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, sockets.Usage(), qt.Equals, Usage{Connections: 1, UnreadBytes: 1000})
	_, err = server.Read(make([]byte, 400))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, sockets.Usage(), qt.Equals, Usage{Connections: 1, UnreadBytes: 600})
	qt.Assert(t, server.Close(), qt.IsNil)
	qt.Assert(t, sockets.Usage(), qt.Equals, Usage{})
}

func TestDialledConnectionsAreCounted(t *testing.T) {
	var accepting, dialling Sockets
	listener, err := accepting.Listen(t.Context(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	conn, err := dialling.Dial(t.Context(), listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, dialling.Usage(), qt.Equals, Usage{Connections: 1})
	qt.Assert(t, conn.Close(), qt.IsNil)
	qt.Assert(t, dialling.Usage(), qt.Equals, Usage{})
	qt.Assert(t, listener.Close(), qt.IsNil)
}
