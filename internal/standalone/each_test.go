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

// protocols is the protocols of a test: of its callers and to its endpoints.
type protocols struct{ front, to string }

// currentProtocols is the way of the test that runs; these tests run one after the other.
var currentProtocols = protocols{"http1", "http1"}

// adjustConfig changes the configuration of the sidecars that a test starts.
var adjustConfig = func(*Config) {}

// overEach runs a test over every front and transport.
func overEach(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	for _, w := range []protocols{{"http1", "http1"}, {"http3", "http1"}, {"http1", "http3"}, {"http3", "http3"}} {
		t.Run(w.front+" to "+w.to, func(t *testing.T) {
			currentProtocols = w
			defer func() { currentProtocols = protocols{"http1", "http1"} }()
			test(t)
		})
	}
}

const endpointName, frontName = "slot-keeper.example.org", "front.example.org"

// signer signs for all tests.
var signer = func() *authority.Authority {
	a, err := authority.New()
	if err != nil {
		panic(err)
	}
	return a
}()

// apply has a sidecar's configuration speak by the current way.
func (w protocols) apply(t *testing.T, c *Config) {
	t.Helper()
	adjustConfig(c)
	dir := t.TempDir()
	put := func(name string, text []byte) string {
		at := filepath.Join(dir, name)
		if err := os.WriteFile(at, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return at
	}
	c.product.Resolve = func(path string) string { return path }
	if w.front == "http3" {
		cert, key, err := signer.Issue(frontName, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		set := &c.tuning.http3Callers
		set.Listen, set.CertFile, set.KeyFile, set.EarlyData = "127.0.0.1:0", put("cert.pem", cert), put("key.pem", key), http3.EarlySafe
	}
	if w.to == "http3" {
		set := &c.tuning.http3Endpoints
		set.Use, set.CAFile, set.ServerName, set.EarlyRequests, set.HandshakeTimeout = http3.Prefer, put("ca.pem", signer.PEM()), endpointName, true, 5*time.Second
	}
}

// client is a caller's for the sidecar; base is how its addresses begin.
func (rg *rig) client() (c http.RoundTripper, base string) {
	if len(rg.server.fronts) == 1 {
		return http.DefaultTransport, rg.url
	}
	if rg.h3 == nil {
		rg.h3 = &qh3.Transport{TLSClientConfig: &tls.Config{RootCAs: signer.Pool(), ServerName: frontName}, QUICConfig: &quic.Config{MaxIdleTimeout: time.Minute}}
		rg.t.Cleanup(func() { closeNow(rg.h3) })
	}
	return rg.h3, "https://" + rg.server.fronts[1].(*http3.Front).Address().String()
}

// listenEndpoint is an endpoint that serves by the current way. Where that is HTTP/3, nothing may come over HTTP/1.1.
func listenEndpoint(t *testing.T, serve http.HandlerFunc) (address string) {
	t.Helper()
	behind := serve
	if currentProtocols.to == "http3" {
		behind = func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/health" {
				t.Errorf("%s came over HTTP/1.1", r.URL.Path)
			}
		}
	}
	for range 20 {
		s := httptest.NewServer(behind)
		address = s.Listener.Addr().String()
		if currentProtocols.to == "http3" {
			cert, err := signer.Pair(endpointName)
			if err != nil {
				t.Fatal(err)
			}
			e, err := h3.Start(address, cert, h3.Options{EarlyData: true}, serve)
			if err != nil { // the port is another's for UDP
				s.Close()
				continue
			}
			t.Cleanup(e.Close)
		}
		t.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		return address
	}
	t.Fatal("no port is free for both TCP and UDP")
	return ""
}

// What is out when the sidecar is told to stop is answered, and so is what comes until its end, by every front;
// then it ends.
func TestStopOverEach(t *testing.T) {
	overEach(t, func(t *testing.T) {
		t.Helper()
		came, serve := make(chan bool, 10), make(chan bool)
		rg := startOneOf(t, 2, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
			came <- true
			select {
			case <-serve:
				write(w, "ok")
			case <-r.Context().Done():
			}
		}))
		rg.server.quietPeriod = time.Millisecond
		rg.setShutdown(4*time.Second, 0)
		answer := make(chan int, 2)
		ask := func() {
			status, _ := rg.ask(rg.request("once", 9*time.Second))
			answer <- status
		}
		go ask()
		<-came
		rg.stop()
		close(serve)
		go ask()
		for range 2 {
			if status := <-answer; status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
		http.DefaultClient.CloseIdleConnections()
		if rg.h3 != nil {
			rg.h3.CloseIdleConnections()
		}
		rg.awaitEnd()
	})
}

// A proxy in front that takes early data says so; what must not run twice is sent back to be sent again.
func TestTooEarly(t *testing.T) {
	overEach(t, func(t *testing.T) {
		t.Helper()
		came := make(chan string, 10)
		rg := start(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
			came <- r.Header.Get("X-Lane") + r.Header.Get("Early-Data")
		}))
		set := *rg.server.tuning.Load()
		set.callers.TooEarly = true
		rg.server.tuning.Store(&set)
		for class, want := range map[string]int{"read": 200, "book": 425, "once": 425} {
			r := rg.request(class, 5*time.Second)
			r.Header.Set("Early-Data", "1")
			if status, _ := rg.ask(r); status != want {
				t.Errorf("%s: %d, want %d", class, status, want)
			}
		}
		if n := len(came); n != 1 {
			t.Errorf("endpoints got %d requests", n)
		} else if got := <-came; got != "read1" {
			t.Errorf("endpoints got %s", got)
		}
	})
}

// recordedCaller books over connections that are recorded, each a new one.
type recordedCaller struct {
	rg    *rig
	front *http3.Front
	relay *udp.Relay
	tls   *tls.Config
}

// flight books on a new connection, in early data if there is a ticket, and returns its datagrams.
func (c *recordedCaller) flight(early bool) [][]byte {
	t := c.rg.t
	t.Helper()
	// With early data the caller hears nothing until its booking has come: on a busy machine the handshake was over
	// before. And quic-go 0.65.0 reads what the peer allows, when a stream is opened in early data, while it
	// writes that at the end of the handshake: the race detector told of it now and then.
	c.relay.SetFault(udp.Fault{DropReplies: early})
	c.relay.StartRecording()
	conn, err := quic.DialAddrEarly(t.Context(), c.relay.Address(), c.tls, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.CloseWithError(0x100, "") }()
	s, err := (&qh3.Transport{DisableCompression: true}).NewClientConn(conn).OpenRequestStream(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r := c.rg.request("book", 5*time.Second)
	r.Body, r.ContentLength = nil, 0
	if err := s.SendRequestHeader(r); err != nil {
		t.Fatal(err)
	}
	closeNow(s)
	if early {
		c.rg.until("the booking came early, and waits", func() bool { open, idle, _ := c.front.Counts(); return open > idle })
		c.relay.SetFault(udp.Fault{})
	}
	res, err := s.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(res.Body)
	if res.StatusCode != http.StatusOK {
		t.Fatalf("%+v", res)
	}
	time.Sleep(50 * time.Millisecond) // for the ticket
	if conn.ConnectionState().Used0RTT != early {
		t.Fatalf("early data: %v, wanted %v", conn.ConnectionState().Used0RTT, early)
	}
	return c.relay.StopRecording()
}

// A booking in a first flight that is recorded and sent again, to this sidecar and to one that has restarted with
// the same secret, runs once.
func TestReplayedBookingRunsOnce(t *testing.T) {
	currentProtocols = protocols{"http3", "http1"}
	defer func() { currentProtocols = protocols{"http1", "http1"} }()
	var runs atomic.Int64
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		write(w, "ok")
	}))
	front := rg.server.fronts[1].(*http3.Front)
	relay, err := udp.Start(front.Address().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	caller := &recordedCaller{rg, front, relay, &tls.Config{
		RootCAs: signer.Pool(), ServerName: frontName, NextProtos: []string{"h3"}, ClientSessionCache: tls.NewLRUClientSessionCache(4),
	}}
	caller.flight(false)
	recorded := caller.flight(true)
	// Under the id of a new request, the desk would not know it again by that.
	rg.inLoop(func() { rg.server.loop.recentIDs = recentIDs{} })
	for range 100 {
		if err := relay.Replay(recorded); err != nil {
			t.Fatal(err)
		}
	}
	// A connection that comes after the replays is served after them.
	if status, _ := rg.ask(rg.request("once", 5*time.Second)); status != 200 {
		t.Error(status)
	}
	rg.until("no handshake is under way", func() bool { _, _, n := front.Counts(); return n == 0 })
	if runs.Load() != 3 {
		t.Errorf("three bookings ran %d times", runs.Load())
	}
}

// Half a body and silence: the request ends with an error in its time, and nothing of it goes on.
func TestHalfABody(t *testing.T) {
	overEach(t, func(t *testing.T) {
		t.Helper()
		var came atomic.Int64
		adjustConfig = func(c *Config) { c.tuning.callers.RequestTimeout = 300 * time.Millisecond }
		defer func() { adjustConfig = func(*Config) {} }()
		rg := start(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, _ *http.Request) { came.Add(1) }))
		read, half := io.Pipe()
		defer closeNow(half)
		go func() { write(half, "half") }()
		r := rg.request("once", 5*time.Second)
		r.Body, r.ContentLength = read, 100
		if got, err := rg.roundTrip(r); got != nil && got.status != 400 {
			t.Errorf("status %d, %v", got.status, err)
		}
		if came.Load() != 0 {
			t.Error("it went on")
		}
	})
}

// Callers leave just as their answers go out, at every moment: nothing is kept of them.
func TestCallerLeavesAsTheAnswerComes(t *testing.T) {
	overEach(t, func(t *testing.T) {
		t.Helper()
		rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Millisecond)
			write(w, "ok")
		}))
		full := rg.server.loop.bodyBudget.Available()
		for i := range 60 {
			ctx, leave := context.WithTimeout(context.Background(), time.Duration(i)*100*time.Microsecond)
			_, _ = rg.roundTrip(rg.request("once", 5*time.Second).WithContext(ctx)) // it may come or not
			leave()
		}
		rg.until("nothing is kept", func() (done bool) {
			rg.inLoop(func() { done = len(rg.server.loop.requests) == 0 && rg.server.loop.bodyBudget.Available() == full })
			return done
		})
		if status, _ := rg.ask(rg.request("once", 5*time.Second)); status != 200 {
			t.Errorf("then: %d", status)
		}
	})
}
