package standalone

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	qh3 "github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/http3"
	"quincegap/internal/standin/authority"
	"quincegap/internal/standin/h3"
	"quincegap/internal/standin/udp"
)

// protocols are the protocols that a test uses from callers (front) and to endpoints (transport), each "http1" or "http3".
type protocols struct{ front, transport string }

// currentProtocols are the protocols of the running test. The tests of this package do not run in parallel.
var currentProtocols = protocols{"http1", "http1"}

// adjustConfig changes the configuration of the sidecars that a test starts.
var adjustConfig = func(*Config) {}

// forEachProtocol runs a test with every combination of front and transport.
func forEachProtocol(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	for _, p := range []protocols{{"http1", "http1"}, {"http3", "http1"}, {"http1", "http3"}, {"http3", "http3"}} {
		t.Run(p.front+" to "+p.transport, func(t *testing.T) {
			currentProtocols = p
			defer func() { currentProtocols = protocols{"http1", "http1"} }()
			test(t)
		})
	}
}

// Server names in the certificates of endpoints and of the sidecar's front.
const endpointName, frontName = "slot-keeper.example.org", "front.example.org"

// testAuthority signs the certificates of all tests.
var testAuthority = func() *authority.Authority {
	a, err := authority.New()
	if err != nil {
		panic(err)
	}
	return a
}()

// apply calls adjustConfig and then sets the protocols in a sidecar's configuration.
func (p protocols) apply(t *testing.T, config *Config) {
	t.Helper()
	adjustConfig(config)
	dir := t.TempDir()
	writeFile := func(name string, text []byte) (path string) {
		path = filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	config.product.Resolve = func(path string) string { return path }
	if p.front == "http3" {
		cert, key, err := testAuthority.Issue(frontName, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		callers := &config.tuning.http3Callers
		callers.Listen = "127.0.0.1:0"
		callers.CertFile = writeFile("cert.pem", cert)
		callers.KeyFile = writeFile("key.pem", key)
		callers.EarlyData = http3.EarlySafe
	}
	if p.transport == "http3" {
		endpoints := &config.tuning.http3Endpoints
		endpoints.Use = http3.Prefer
		endpoints.CAFile = writeFile("ca.pem", testAuthority.PEM())
		endpoints.ServerName = endpointName
		endpoints.EarlyRequests = true
		endpoints.HandshakeTimeout = 5 * time.Second
	}
}

// client returns a caller's transport to the sidecar over the protocol of the front, and the base URL of requests.
func (s *testSidecar) client() (c http.RoundTripper, base string) {
	if len(s.server.fronts) == 1 {
		return http.DefaultTransport, s.url
	}
	if s.h3 == nil {
		s.h3 = &qh3.Transport{
			TLSClientConfig: &tls.Config{RootCAs: testAuthority.Pool(), ServerName: frontName},
			QUICConfig:      &quic.Config{MaxIdleTimeout: time.Minute},
		}
		s.t.Cleanup(func() { closeQuietly(s.h3) })
	}
	return s.h3, "https://" + s.server.fronts[1].(*http3.Front).Address().String()
}

// listenEndpoint starts an endpoint that serves over the current protocol. If that is HTTP/3, a request over HTTP/1.1 fails the test,
// except for health checks.
func listenEndpoint(t *testing.T, serve http.HandlerFunc) (address string) {
	t.Helper()
	http1Handler := serve
	if currentProtocols.transport == "http3" {
		http1Handler = func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/health" {
				t.Errorf("request for %s arrived over HTTP/1.1, want HTTP/3", r.URL.Path)
			}
		}
	}
	for range 20 {
		server := httptest.NewServer(http1Handler)
		address = server.Listener.Addr().String()
		if currentProtocols.transport == "http3" {
			cert, err := testAuthority.Pair(endpointName)
			if err != nil {
				t.Fatal(err)
			}
			e, err := h3.Start(address, cert, h3.Options{EarlyData: true}, serve)
			if err != nil { // the port is taken for UDP
				server.Close()
				continue
			}
			t.Cleanup(e.Close)
		}
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return address
	}
	t.Fatal("no port is free for both TCP and UDP")
	return ""
}

// Requests that are in flight at SIGTERM, and those that arrive until the end of the shutdown, are answered by every front; then the
// sidecar ends.
func TestShutdownOverEachProtocol(t *testing.T) {
	forEachProtocol(t, func(t *testing.T) {
		t.Helper()
		arrived, release := make(chan bool, 10), make(chan bool)
		sidecar := startReplica(t, 2, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
			arrived <- true
			select {
			case <-release:
				write(w, "ok")
			case <-r.Context().Done():
			}
		}))
		sidecar.server.quietPeriod = time.Millisecond
		sidecar.setShutdown(4*time.Second, 0)
		answer := make(chan int, 2)
		send := func() {
			status, _ := sidecar.call(sidecar.request("once", 9*time.Second))
			answer <- status
		}
		go send()
		<-arrived
		sidecar.beginShutdown()
		close(release)
		go send()
		for range 2 {
			if status := <-answer; status != http.StatusOK {
				t.Errorf("request in flight during the shutdown: got status %d, want 200", status)
			}
		}
		http.DefaultClient.CloseIdleConnections()
		if sidecar.h3 != nil {
			sidecar.h3.CloseIdleConnections()
		}
		sidecar.waitForEnd()
	})
}

// A proxy in front of the sidecar marks early data with a header. Requests that are not idempotent are answered 425, so that they are sent
// again after the handshake.
func TestTooEarly(t *testing.T) {
	forEachProtocol(t, func(t *testing.T) {
		t.Helper()
		arrived := make(chan string, 10)
		sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
			arrived <- r.Header.Get("X-Lane") + r.Header.Get("Early-Data")
		}))
		tuning := *sidecar.server.tuning.Load()
		tuning.callers.RejectEarlyData = true
		sidecar.server.tuning.Store(&tuning)
		for class, want := range map[string]int{"read": 200, "book": 425, "once": 425} {
			r := sidecar.request(class, 5*time.Second)
			r.Header.Set("Early-Data", "1")
			if status, _ := sidecar.call(r); status != want {
				t.Errorf("early request of class %s: got status %d, want %d", class, status, want)
			}
		}
		if n := len(arrived); n != 1 {
			t.Errorf("endpoints got %d requests, want 1", n)
		} else if got := <-arrived; got != "read1" {
			t.Errorf("endpoints got class and Early-Data %s, want read1", got)
		}
	})
}

// recordedCaller sends requests of class book over HTTP/3. Each uses a new connection through a relay that records the datagrams.
type recordedCaller struct {
	sidecar *testSidecar
	front   *http3.Front
	relay   *udp.Relay
	tls     *tls.Config
}

// send sends a request on a new connection, in early data if there is a ticket, and returns the datagrams of its first flight.
func (c *recordedCaller) send(early bool) [][]byte {
	t := c.sidecar.t
	t.Helper()
	// With early data, replies are dropped until the request has arrived, for two reasons: on a busy machine the handshake could be
	// complete before; and quic-go 0.65.0 has a data race, which the race detector reports now and then: opening a stream in early
	// data reads the peer's transport parameters while the end of the handshake writes them.
	c.relay.SetFault(udp.Fault{DropReplies: early})
	c.relay.StartRecording()
	conn, err := quic.DialAddrEarly(t.Context(), c.relay.Address(), c.tls, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.CloseWithError(0x100, "") }()
	stream, err := (&qh3.Transport{DisableCompression: true}).NewClientConn(conn).OpenRequestStream(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r := c.sidecar.request("book", 5*time.Second)
	r.Body, r.ContentLength = nil, 0
	if err := stream.SendRequestHeader(r); err != nil {
		t.Fatal(err)
	}
	closeQuietly(stream)
	if early {
		c.sidecar.waitUntil("the early request has arrived and waits for the handshake", func() bool {
			open, idle, _ := c.front.Counts()
			return open > idle
		})
		c.relay.SetFault(udp.Fault{})
	}
	res, err := stream.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(res.Body)
	if res.StatusCode != http.StatusOK {
		t.Fatalf("got response %+v, want status 200", res)
	}
	time.Sleep(50 * time.Millisecond) // wait for the session ticket
	if conn.ConnectionState().Used0RTT != early {
		t.Fatalf("connection used early data: got %v, want %v", conn.ConnectionState().Used0RTT, early)
	}
	return c.relay.StopRecording()
}

// A request in early data runs once, even if its first flight is recorded and replayed.
func TestReplayedBookingRunsOnce(t *testing.T) {
	currentProtocols = protocols{"http3", "http1"}
	defer func() { currentProtocols = protocols{"http1", "http1"} }()
	var runs atomic.Int64
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		write(w, "ok")
	}))
	front := sidecar.server.fronts[1].(*http3.Front)
	relay, err := udp.Start(front.Address().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	caller := &recordedCaller{sidecar: sidecar, front: front, relay: relay, tls: &tls.Config{
		RootCAs: testAuthority.Pool(), ServerName: frontName, NextProtos: []string{"h3"}, ClientSessionCache: tls.NewLRUClientSessionCache(4),
	}}
	caller.send(false)
	recorded := caller.send(true)
	// An attacker could not change the id, but a replay must be detected even without the recent ids.
	sidecar.onLoop(func() { sidecar.server.loop.recentIDs = recentIDs{} })
	for range 100 {
		if err := relay.Replay(recorded); err != nil {
			t.Fatal(err)
		}
	}
	// A connection that is opened after the replays is served after them.
	if status, _ := sidecar.call(sidecar.request("once", 5*time.Second)); status != 200 {
		t.Errorf("request after the replays: got status %d, want 200", status)
	}
	sidecar.waitUntil("no handshake is in progress", func() bool { _, _, n := front.Counts(); return n == 0 })
	if runs.Load() != 3 {
		t.Errorf("three requests ran %d times, want 3", runs.Load())
	}
}

// A request whose body does not arrive completely in time ends with an error and is not forwarded.
func TestIncompleteBody(t *testing.T) {
	forEachProtocol(t, func(t *testing.T) {
		t.Helper()
		var arrived atomic.Int64
		adjustConfig = func(c *Config) { c.tuning.callers.RequestTimeout = 300 * time.Millisecond }
		defer func() { adjustConfig = func(*Config) {} }()
		sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, _ *http.Request) { arrived.Add(1) }))
		read, half := io.Pipe()
		defer closeQuietly(half)
		go func() { write(half, "half") }()
		r := sidecar.request("once", 5*time.Second)
		r.Body, r.ContentLength = read, 100
		if got, err := sidecar.roundTrip(r); got != nil && got.status != 400 {
			t.Errorf("incomplete request: got status %d, error %v; want 400 or no answer", got.status, err)
		}
		if arrived.Load() != 0 {
			t.Error("the request was forwarded")
		}
	})
}

// If callers disconnect around the time at which they are answered, no state of their requests remains.
func TestCallerLeavesAsTheAnswerComes(t *testing.T) {
	forEachProtocol(t, func(t *testing.T) {
		t.Helper()
		sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Millisecond)
			write(w, "ok")
		}))
		fullBudget := sidecar.server.loop.bodyBudget.Available()
		for i := range 60 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*100*time.Microsecond)
			_, _ = sidecar.roundTrip(sidecar.request("once", 5*time.Second).WithContext(ctx)) // succeeds or fails, depending on the timing
			cancel()
		}
		sidecar.waitUntil("no request is in flight and the body budget is full", func() (done bool) {
			sidecar.onLoop(func() {
				done = len(sidecar.server.loop.requests) == 0 && sidecar.server.loop.bodyBudget.Available() == fullBudget
			})
			return done
		})
		if status, _ := sidecar.call(sidecar.request("once", 5*time.Second)); status != 200 {
			t.Errorf("request after the disconnections: got status %d, want 200", status)
		}
	})
}
