package standalone

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/config/appfile"
)

// A connection that its endpoint closed while it was idle is not used for further requests.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	var conns atomic.Int64
	endpoint := httptest.NewUnstartedServer(http.HandlerFunc(answerOK))
	closed := make(chan bool, 8)
	endpoint.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			conns.Add(1)
		case http.StateClosed:
			closed <- true
		}
	}
	endpoint.Start()
	defer endpoint.Close()
	sidecar := startSidecar(t, 1024, listedEndpoint{UID: "s-1", Address: endpoint.Listener.Addr().String(), State: "Ready", Weight: 1})
	for range 3 {
		if status, _ := sidecar.call(sidecar.request("once", 5*time.Second)); status != 200 {
			t.Fatalf("request on an open endpoint: got status %d, want 200", status)
		}
		sidecar.waitUntil("the connection is idle", func() (idle bool) {
			sidecar.onLoop(func() { _, n := sidecar.server.loop.http1.Counts(); idle = n == 1 })
			return idle
		})
	}
	if conns.Load() != 1 {
		t.Errorf("three requests in turn used %d connections, want 1", conns.Load())
	}
	endpoint.CloseClientConnections()
	<-closed
	if status, body := sidecar.call(sidecar.request("once", 5*time.Second)); status != 200 || conns.Load() != 2 {
		t.Errorf("request after the close: got status %d, body %q, on %d connections; want 200 on 2", status, body, conns.Load())
	}
}

// New connections that send no request do not displace others: when room is needed they are closed before idle connections, and they
// are closed after a while in any case.
func TestFreshConnectionsMakeRoom(t *testing.T) {
	sidecar := startSidecar(t, appfile.MinSockets, startEndpoint(t, "s-1", answerOK))
	http.DefaultClient.CloseIdleConnections()
	used := sidecar.dial()
	send := func() {
		t.Helper()
		used.writeRequest(sidecar.request("once", 9*time.Second))
		res, err := used.nextReply()
		if err != nil || res.status != 200 {
			t.Fatalf("request on the connection that is in use: got %v, error %v; want status 200", res, err)
		}
	}
	send()
	var fresh []*clientConn
	for range 5 * sidecar.maxConnections() {
		fresh = append(fresh, sidecar.dial())
	}
	send()
	if status, _ := sidecar.call(sidecar.request("once", 9*time.Second)); status != 200 {
		t.Errorf("request on a new connection: got status %d, want 200", status)
	}
	for i, c := range fresh {
		if got, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("connection %d without a request is still open: read %q, error %v", i, got, err)
		}
	}
}

// A request that is not complete in time gets an error or its connection is closed, at whatever point the caller stops sending.
func TestSlowRequestsEnd(t *testing.T) {
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, _ *http.Request) {
		t.Error("an incomplete request was forwarded")
	}))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nX-Lane: once\r\nX-Remaining: 900m\r\n"
	ended := make(chan bool)
	texts := []string{"", "POST", head, head + "Content-Length: 9\r\n\r\n", head + "Content-Length: 9\r\n\r\nabc"}
	began := time.Now()
	for _, text := range texts {
		go func() {
			if status, _ := sidecar.sendRaw(text); status > 0 && status < 400 {
				t.Errorf("%.80q: got status %d, want 400 or above, or no answer", text, status)
			}
			ended <- true
		}()
	}
	for range texts {
		<-ended
	}
	if took := time.Since(began); took > CallersTable.Default().RequestTimeout+eventTimeout/4 {
		t.Errorf("the incomplete requests ended after %v, want at most %v", took, CallersTable.Default().RequestTimeout+eventTimeout/4)
	}
}

// When connections have used up their share, a new one is still accepted: the connection that has been idle the longest is closed.
func TestIdleCallersMakeRoom(t *testing.T) {
	sidecar := startSidecar(t, appfile.MinSockets, startEndpoint(t, "s-1", answerOK))
	var first *clientConn
	for i := range 3 * sidecar.maxConnections() {
		c := sidecar.dial()
		if i == 0 {
			first = c
		}
		c.writeRequest(sidecar.request("once", 5*time.Second))
		res, err := c.nextReply()
		if err != nil || res.status != 200 {
			t.Fatalf("request on connection %d: got %v, error %v; want status 200", i, res, err)
		}
	}
	first.extendDeadline()
	if n, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("first connection: read %d bytes, error %v; want EOF", n, err)
	}
	sidecar.waitUntil("open connections are within their share", func() bool {
		open, _, _, limit := sidecar.http1Front().Counts()
		return open <= limit
	})
}

// When all connections are busy, the next caller still gets an answer, because closing its connection would lose what it has sent. Its
// request has not run, so it is rejected.
func TestCallerBeyondTheBoundIsAnswered(t *testing.T) {
	release := make(chan bool)
	sidecar := startSidecar(t, appfile.MinSockets, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		<-release
		write(w, "ok")
	}))
	sidecar.http1Front().SetMaxConnections(2) // simulates a machine with few sockets
	dial := func() *clientConn {
		c := sidecar.dial()
		c.writeRequest(sidecar.request("once", 9*time.Second))
		return c
	}
	status := func(c *clientConn) int {
		t.Helper()
		got, err := c.nextReply()
		if err != nil {
			t.Fatal(err)
		}
		return got.status
	}
	var accepted []*clientConn
	for i := range 2 {
		c := dial()
		accepted = append(accepted, c)
		sidecar.waitUntil("its request is accepted", func() (done bool) {
			sidecar.onLoop(func() { done = len(sidecar.server.loop.requests) == i+1 })
			return done
		})
	}
	extra := dial()
	if got := status(extra); got != http.StatusServiceUnavailable {
		t.Errorf("request beyond the maximum number of connections: got status %d, want 503", got)
	}
	close(release)
	for _, c := range accepted {
		if got := status(c); got != http.StatusOK {
			t.Errorf("accepted request: got status %d, want 200", got)
		}
	}
}
