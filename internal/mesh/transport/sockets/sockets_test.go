package sockets

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/membudget"
)

// connect returns both ends of a connection that a group has accepted.
func connect(t *testing.T, group *Group) (client, server net.Conn) {
	t.Helper()
	listener, err := group.Listen(t.Context(), "127.0.0.1:0")
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
	group := NewGroup(Options{})
	client, server := connect(t, group)
	_, err := client.Write(make([]byte, 1000))
	qt.Assert(t, err, qt.IsNil)
	for end := time.Now().Add(10 * time.Second); group.Usage().UnreadBytes < 1000 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, group.Usage(), qt.Equals, Usage{Connections: 1, UnreadBytes: 1000})
	_, err = server.Read(make([]byte, 400))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, group.Usage(), qt.Equals, Usage{Connections: 1, UnreadBytes: 600})
	qt.Assert(t, server.Close(), qt.IsNil)
	qt.Assert(t, group.Usage(), qt.Equals, Usage{})
}

func TestDialledConnectionsAreCounted(t *testing.T) {
	accepting, dialling := NewGroup(Options{}), NewGroup(Options{})
	listener, err := accepting.Listen(t.Context(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	conn, err := dialling.Dial(t.Context(), listener.Addr().String(), time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, dialling.Usage(), qt.Equals, Usage{Connections: 1})
	qt.Assert(t, conn.Close(), qt.IsNil)
	qt.Assert(t, dialling.Usage(), qt.Equals, Usage{})
	qt.Assert(t, listener.Close(), qt.IsNil)
}

// Connections beyond the memory of receive buffers get smaller ones, and give back what they had.
func TestReceiveBuffersStayWithinMemory(t *testing.T) {
	pool := membudget.NewPool(3 * 2 * 16 << 10) // of three connections
	group := NewGroup(Options{ReceiveBytes: 16 << 10, MinReceiveBytes: 4 << 10, Memory: pool})
	listener, err := group.Listen(t.Context(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var sizes []int
	var connections []net.Conn
	for range 4 {
		dialled, err := group.Dial(t.Context(), listener.Addr().String(), time.Second)
		qt.Assert(t, err, qt.IsNil)
		connections = append(connections, dialled)
		sizes = append(sizes, dialled.(*conn).receiveBytes)
	}
	qt.Assert(t, sizes, qt.DeepEquals, []int{16 << 10, 16 << 10, 16 << 10, 4 << 10})
	for _, conn := range connections {
		qt.Assert(t, conn.Close(), qt.IsNil)
		_ = conn.Close() // a second close releases nothing
	}
	qt.Assert(t, pool.Used(), qt.Equals, int64(0))
	qt.Assert(t, listener.Close(), qt.IsNil)
}

// Clients that never stop sending leave no more than the receive buffer's memory in the kernel, before and after they are accepted.
func TestUnreadBytesAreBounded(t *testing.T) {
	group := NewGroup(Options{ReceiveBytes: 16 << 10, Memory: membudget.NewPool(1 << 20)})
	client, server := connect(t, group)
	go func() {
		for {
			if _, err := client.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	_, err := io.CopyN(io.Discard, server, 1<<20)
	qt.Assert(t, err, qt.IsNil)
	for range 50 {
		unread := group.Usage().UnreadBytes
		qt.Assert(t, unread <= 32<<10, qt.IsTrue, qt.Commentf("%d bytes", unread))
		time.Sleep(2 * time.Millisecond)
	}
	qt.Assert(t, server.Close(), qt.IsNil)
}

// A frozen process accepts nothing: the connections that wait were bounded by the kernel's default of 4096 alone.
func TestConnectionsThatWaitAreBounded(t *testing.T) {
	group := NewGroup(Options{ReceiveBytes: 16 << 10, AcceptBytes: minAcceptQueue * 32 << 10})
	listener, err := group.Listen(t.Context(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	opened := 0
	dialer := net.Dialer{Timeout: 200 * time.Millisecond}
	for range 2 * minAcceptQueue {
		conn, err := dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
		if err != nil {
			break
		}
		opened++
		t.Cleanup(func() { _ = conn.Close() })
	}
	qt.Assert(t, opened >= minAcceptQueue && opened <= minAcceptQueue+1, qt.IsTrue, qt.Commentf("%d connections", opened))
	qt.Assert(t, listener.Close(), qt.IsNil)
}
