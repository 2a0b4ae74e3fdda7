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

// protocols are the protocols of a test, "http1" or "http3": from callers, and to endpoints.
type protocols struct{ front, transport string }

// currentProtocols are those of the test that runs; the tests of this package do not run in parallel.
var currentProtocols = protocols{"http1", "http1"}

// adjustConfig changes the configuration of the sidecars that a test starts.
var adjustConfig = func(*Config) {}

// forEachProtocol runs a test with every front and transport.
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

// The names in the certificates of endpoints and of the sidecar.
const endpointName, frontName = "slot-keeper.example.org", "front.example.org"

// signer signs the certificates of all tests.
var signer = func() *authority.Authority {
	a, err := authority.New()
	if err != nil {
		panic(err)
	}
	return a
}()

// apply sets the protocols in a sidecar's configuration, after adjustConfig.
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
		cert, key, err := signer.Issue(frontName, time.Hour)
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
		endpoints.CAFile = writeFile("ca.pem", signer.PEM())
		endpoints.ServerName = endpointName
		endpoints.EarlyRequests = true
		endpoints.HandshakeTimeout = 5 * time.Second
	}
}

// client returns a caller's transport to the sidecar, by the protocol of the front, and the beginning of the URLs.
func (s *testSidecar) client() (c http.RoundTripper, base string) {
	if len(s.server.fronts) == 1 {
		return http.DefaultTransport, s.url
	}
	if s.h3 == nil {
		s.h3 = &qh3.Transport{
			TLSClientConfig: &tls.Config{RootCAs: signer.Pool(), ServerName: frontName},
			QUICConfig:      &quic.Config{MaxIdleTimeout: time.Minute},
		}
		s.t.Cleanup(func() { closeQuietly(s.h3) })
	}
	return s.h3, "https://" + s.server.fronts[1].(*http3.Front).Address().String()
}

// listenEndpoint starts an endpoint that serves by the current protocol. Where that is HTTP/3, a request over HTTP/1.1 fails the
// test, except health checks.
func listenEndpoint(t *testing.T, release http.HandlerFunc) (address string) {
	t.Helper()
	behind := release
	if currentProtocols.transport == "http3" {
		behind = func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/health" {
				t.Errorf("%s came over HTTP/1.1", r.URL.Path)
			}
		}
	}
	for range 20 {
		server := httptest.NewServer(behind)
		address = server.Listener.Addr().String()
		if currentProtocols.transport == "http3" {
			cert, err := signer.Pair(endpointName)
			if err != nil {
				t.Fatal(err)
			}
			e, err := h3.Start(address, cert, h3.Options{EarlyData: true}, release)
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
				t.Errorf("status %d", status)
			}
		}
		http.DefaultClient.CloseIdleConnections()
		if sidecar.h3 != nil {
			sidecar.h3.CloseIdleConnections()
		}
		sidecar.waitForEnd()
	})
}

// A proxy in front announces early data by a header. Requests that are not idempotent are answered 425, so that they are sent again
// after the handshake.
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
				t.Errorf("%s: %d, want %d", class, status, want)
			}
		}
		if n := len(arrived); n != 1 {
			t.Errorf("endpoints got %d requests", n)
		} else if got := <-arrived; got != "read1" {
			t.Errorf("endpoints got %s", got)
		}
	})
}

// recordedCaller sends requests of class book over HTTP/3, each on a new connection whose datagrams are recorded.
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
	// With early data the caller gets no reply until its request has arrived: on a busy machine the handshake would be complete
	// before. And quic-go 0.65.0 reads the peer's transport parameters, when a stream is opened in early data, while it writes them
	// at the end of the handshake, which the race detector reports now and then.
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
		c.sidecar.waitUntil("the early request waits for the handshake", func() bool {
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
		t.Fatalf("%+v", res)
	}
	time.Sleep(50 * time.Millisecond) // until the session ticket has arrived
	if conn.ConnectionState().Used0RTT != early {
		t.Fatalf("early data: %v, wanted %v", conn.ConnectionState().Used0RTT, early)
	}
	return c.relay.StopRecording()
}

// A request in a first flight that is recorded and replayed runs once.
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
		RootCAs: signer.Pool(), ServerName: frontName, NextProtos: []string{"h3"}, ClientSessionCache: tls.NewLRUClientSessionCache(4),
	}}
	caller.send(false)
	recorded := caller.send(true)
	// An attacker could not change the id, but the replay must not be recognised by it alone.
	sidecar.onLoop(func() { sidecar.server.loop.recentIDs = recentIDs{} })
	for range 100 {
		if err := relay.Replay(recorded); err != nil {
			t.Fatal(err)
		}
	}
	// A connection that is opened after the replays is served after them.
	if status, _ := sidecar.call(sidecar.request("once", 5*time.Second)); status != 200 {
		t.Error(status)
	}
	sidecar.waitUntil("no handshake is in progress", func() bool { _, _, n := front.Counts(); return n == 0 })
	if runs.Load() != 3 {
		t.Errorf("three requests ran %d times", runs.Load())
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
			t.Errorf("status %d, %v", got.status, err)
		}
		if arrived.Load() != 0 {
			t.Error("the request was forwarded")
		}
	})
}

// Callers disconnect around the moment at which they are answered: nothing is kept of their requests.
func TestCallerLeavesAsTheAnswerComes(t *testing.T) {
	forEachProtocol(t, func(t *testing.T) {
		t.Helper()
		sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Millisecond)
			write(w, "ok")
		}))
		full := sidecar.server.loop.bodyBudget.Available()
		for i := range 60 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*100*time.Microsecond)
			_, _ = sidecar.roundTrip(sidecar.request("once", 5*time.Second).WithContext(ctx)) // with an answer or without
			cancel()
		}
		sidecar.waitUntil("no request and no body is kept", func() (done bool) {
			sidecar.onLoop(func() {
				done = len(sidecar.server.loop.requests) == 0 && sidecar.server.loop.bodyBudget.Available() == full
			})
			return done
		})
		if status, _ := sidecar.call(sidecar.request("once", 5*time.Second)); status != 200 {
			t.Errorf("a request after them: %d", status)
		}
	})
}
