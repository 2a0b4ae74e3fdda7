package outbound

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// deadlineConn is a connection that records its read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (d *deadlineConn) SetReadDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// A request is read just as its connection is being closed as idle. The read deadline that was set to close the connection must be reset
// before the request is served; otherwise the server would treat it as a disconnected client and cancel the request.
func TestARequestThatCrossesTheCloseIsServed(t *testing.T) {
	c := qt.New(t)
	proxy := New(Options{})
	conn := &deadlineConn{}
	proxy.connections.track(conn, http.StateNew)
	proxy.connections.track(conn, http.StateActive)
	c.Assert(conn.deadline.IsZero(), qt.IsTrue)
	proxy.connections.track(conn, http.StateIdle)
	proxy.connections.close(closingIdle)
	c.Assert(conn.deadline.Before(time.Now()) && !conn.deadline.IsZero(), qt.IsTrue)
	proxy.connections.track(conn, http.StateActive)
	c.Assert(conn.deadline.IsZero(), qt.IsTrue)
	proxy.connections.sweep()
	c.Assert(conn.deadline.IsZero(), qt.IsTrue, qt.Commentf("sweep must set no read deadline while a request is in flight"))
	proxy.connections.track(conn, http.StateClosed)
	c.Assert(proxy.OpenConnections(), qt.Equals, 0)
}
