package assembly

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport/sockets"
	"quincegap/internal/standin/pipe"
)

// Connections to the control address were not bounded: with headers and bodies that stop midway they took all the memory of a machine.
func TestConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &process{settings: &settings.Settings{MemoryMB: 1}, log: log, serverErrors: make(chan error, 8)}
	limit := maxConnections(1 << 20)
	c.Assert(limit, qt.Equals, 2)
	listeners, err := p.listenAll(t.Context(), anyPort())
	c.Assert(err, qt.IsNil)
	p.serveHTTP(http.NotFoundHandler(), listeners[0])
	defer p.shutDownHTTPServers(t.Context())
	var stalled []net.Conn
	for range limit {
		stalled = append(stalled, dialHalfRequest(t, c, listeners[0].Addr()))
	}
	waiting := dialHalfRequest(t, c, listeners[0].Addr())
	defer waiting.Close() //nolint:errcheck // the test is over
	_, err = io.WriteString(waiting, "\r\n")
	c.Assert(err, qt.IsNil)
	answer := make([]byte, 12)
	c.Assert(waiting.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	_, err = waiting.Read(answer)
	c.Assert(err, qt.ErrorMatches, ".*timeout")
	for _, conn := range stalled {
		c.Assert(conn.Close(), qt.IsNil)
	}
	c.Assert(waiting.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.ReadFull(waiting, answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "HTTP/1.1 404")
}

// anyPort returns an address whose port the kernel chooses.
func anyPort() listenAddress {
	return listenAddress{sockets.NewGroup(sockets.Options{}), "127.0.0.1:0"}
}

// dialHalfRequest connects to an address and sends a request without the end of its header.
func dialHalfRequest(t *testing.T, c *qt.C, address net.Addr) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), address.Network(), address.String())
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n")
	c.Assert(err, qt.IsNil)
	return conn
}

// A client that does not read its answer held its memory for as long as it stayed.
func TestAnswersThatAreNotReadEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &process{settings: &settings.Settings{MemoryMB: 128}, log: logrus.New(), serverErrors: make(chan error, 8)}
		p.log.SetOutput(io.Discard)
		listener := pipe.NewListener()
		written := make(chan error, 1)
		p.serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 1<<20))
			written <- err
		}), listener)
		client, err := listener.Dial()
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		c.Assert(err, qt.IsNil)
		began := time.Now()
		c.Assert(<-written, qt.ErrorMatches, ".*timeout")
		c.Assert(time.Since(began) <= httpWriteTimeout, qt.IsTrue)
		c.Assert(listener.Close(), qt.IsNil)
		c.Assert(client.Close(), qt.IsNil)
	})
}
