package outbound

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// deadlineConn remembers its read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (d *deadlineConn) SetReadDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// A request is read just as its connection is ended as idle: the deadline that was to end the connection is taken back before the
// request is served, as the server would take it for the end of the client, and have the request given up.
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
	c.Assert(conn.deadline.IsZero(), qt.IsTrue, qt.Commentf("a request is under way"))
	proxy.connections.track(conn, http.StateClosed)
	c.Assert(proxy.OpenConnections(), qt.Equals, 0)
}
