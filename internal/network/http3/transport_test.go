package http3

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
	"quincegap/internal/standin/authority"
	"quincegap/internal/standin/h3"
	"quincegap/internal/standin/udp"
)

// testTransport is a transport, and the endpoint that its attempts go to.
type testTransport struct {
	t         *testing.T
	ca        *authority.Authority
	cert      *tls.Certificate
	transport *Transport
	mu        sync.Mutex // guards the methods of the transport that the loop calls
	endpoint  *exchange.Endpoint
}

// newTestTransport returns a transport. change modifies its settings unless it is nil. The transport is closed at the end of the test.
func newTestTransport(t *testing.T, change func(*TransportSettings)) *testTransport {
	t.Helper()
	test := &testTransport{t: t, ca: newAuthority(t)}
	test.cert = newCertificate(t, test.ca, endpointName)
	settings := *TransportTable.Default()
	settings.ServerName = endpointName
	settings.HandshakeTimeout = 2 * time.Second
	settings.UnresponsiveTimeout = 500 * time.Millisecond
	if change != nil {
		change(&settings)
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		t.Fatal(err)
	}
	test.transport = NewTransport(socket, settings, test.ca.Pool(), 8, time.Minute)
	t.Cleanup(func() {
		for e := range maps.Clone(test.transport.conns) {
			e.Open.Store(false)
			test.transport.CloseIdle(e)
		}
		test.transport.Close()
	})
	return test
}

// serve starts an endpoint, and directs further attempts to it.
func (t *testTransport) serve(address string, o h3.Options, handler http.HandlerFunc) *h3.Endpoint {
	t.t.Helper()
	e, err := h3.Start(address, t.cert, o, handler)
	if err != nil {
		t.t.Fatal(err)
	}
	t.t.Cleanup(e.Close)
	t.target(e.Address())
	return e
}

// target directs further attempts to an address.
func (t *testTransport) target(address string) {
	t.endpoint = &exchange.Endpoint{Address: address}
	t.endpoint.Open.Store(true)
}

// attempt makes an attempt as the loop does. If in is nil the request is a booking. during runs concurrently with the attempt unless it is
// nil.
func (t *testTransport) attempt(in *exchange.Inbound, timeout time.Duration, during func(cancel func())) exchange.Result {
	if in == nil {
		in = &exchange.Inbound{Method: "POST", Target: "/book?a=1", Host: "h", Header: http.Header{"X-Txn": {"1"}}, Body: []byte("trip")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a := &exchange.Attempt{Request: in, Endpoint: t.endpoint, Sent: time.Now(), Context: ctx, Bodies: largeBudget()}
	t.mu.Lock()
	c, ok := t.transport.Acquire(t.endpoint, time.Now())
	t.mu.Unlock()
	if !ok {
		return exchange.Result{Status: balancer.StatusNotSent}
	}
	if during != nil {
		go during(cancel)
	}
	res := t.transport.Run(a, c)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transport.Release(t.endpoint, c, res.Conn)
	return res
}

// closeIdle closes the connections that have no attempt in progress.
func (t *testTransport) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transport.CloseIdle(t.endpoint)
}

// ok echoes a request, with a load report.
func ok(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the attempt has ended
	}
	w.Header().Set("X-Pressure", "inflight=7,queue=2")
	reply(w, fmt.Sprintf("%s %s %s %s", r.Method, r.RequestURI, r.Host, body))
}

// discardBody reads a request's body and ignores it.
func discardBody(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

func TestAttempts(t *testing.T) {
	test := newTestTransport(t, nil)
	headers := make(chan http.Header, 100)
	endpoint := test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header
		ok(w, r)
	})
	for range 5 {
		res := test.attempt(nil, testTimeout, nil)
		if res.Status != balancer.StatusOK || string(res.Response.Body) != "POST /book?a=1 h trip" || res.Load == nil || res.Load.Queue != 2 {
			t.Fatalf("got %+v, want status %v, the echo of the booking and a load report with a queue of 2", res, balancer.StatusOK)
		}
		h := <-headers
		if h.Get("X-Txn") != "1" || !strings.HasSuffix(h.Get("X-Remaining"), "u") || h.Get("User-Agent") != "" ||
			h.Get("Accept-Encoding") != "" || h.Get("Content-Length") != "4" {
			t.Errorf("got headers %v, want X-Txn 1, X-Remaining in microseconds, Content-Length 4, no User-Agent and no Accept-Encoding", h)
		}
	}
	if endpoint.Connections() != 1 {
		t.Errorf("the attempts used %d connections, want 1", endpoint.Connections())
	}
	for _, target := range []string{"//a/b", "/%7e%7E?x=%20", "/a|b"} {
		res := test.attempt(&exchange.Inbound{Method: "GET", Target: target, Host: "h", Safe: true}, testTimeout, nil)
		if res.Status != balancer.StatusOK || string(res.Response.Body) != "GET "+target+" h " {
			t.Errorf("target %s: got status %v, body %s; want %v and the echo of the target",
				target, res.Status, res.Response.Body, balancer.StatusOK)
		}
		<-headers
	}
}

// Concurrent attempts share connections, within the limits on connections and on streams per connection.
func TestAttemptsShareConnections(t *testing.T) {
	test := newTestTransport(t, func(s *TransportSettings) { s.MaxStreams = 10 })
	var concurrent, highest atomic.Int64
	endpoint := test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if n := concurrent.Add(1); n > highest.Load() {
			highest.Store(n)
		}
		time.Sleep(20 * time.Millisecond)
		concurrent.Add(-1)
		ok(w, r)
	})
	var all sync.WaitGroup
	var served, notSent atomic.Int64
	for range 100 {
		all.Go(func() {
			switch res := test.attempt(nil, testTimeout, nil); res.Status {
			case balancer.StatusOK:
				served.Add(1)
			case balancer.StatusNotSent:
				notSent.Add(1) // the limit on connections was reached
			default:
				t.Errorf("got %+v, want status %v or %v", res, balancer.StatusOK, balancer.StatusNotSent)
			}
		})
	}
	all.Wait()
	if endpoint.Connections() > 8 || highest.Load() > 80 || served.Load() < 80 || served.Load()+notSent.Load() != 100 {
		t.Errorf("got %d connections, %d concurrent requests, %d served, %d not sent; want at most 8, at most 80, at least 80, the rest of 100",
			endpoint.Connections(), highest.Load(), served.Load(), notSent.Load())
	}
}

// An attempt that times out or is cancelled is cancelled at the endpoint too, and its connection stays usable for others.
func TestUnfinishedAttemptIsCancelledAtEndpoint(t *testing.T) {
	test := newTestTransport(t, nil)
	received, cancelled := make(chan bool, 2), make(chan bool, 2)
	endpoint := test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fast" {
			ok(w, r)
			return
		}
		discardBody(r)
		received <- true
		<-r.Context().Done()
		cancelled <- true
	})
	for _, testCase := range []struct {
		timeout time.Duration
		cancel  bool
		want    balancer.Status
	}{{300 * time.Millisecond, false, balancer.StatusTimeout}, {testTimeout, true, balancer.StatusCancelled}} {
		res := test.attempt(nil, testCase.timeout, func(cancel func()) {
			if <-received; testCase.cancel {
				cancel()
			}
		})
		if res.Status != testCase.want {
			t.Errorf("timeout %v, cancel %v: got status %v, want %v", testCase.timeout, testCase.cancel, res.Status, testCase.want)
		}
		<-cancelled
		if res := test.attempt(&exchange.Inbound{Method: "GET", Target: "/fast", Host: "h"}, testTimeout, nil); res.Status != balancer.StatusOK {
			t.Errorf("next attempt: got status %v, want %v", res.Status, balancer.StatusOK)
		}
	}
	if endpoint.Connections() != 1 {
		t.Errorf("the attempts used %d connections, want 1", endpoint.Connections())
	}
}

// An endpoint that is draining gets no new request, not even on an open connection.
func TestDrainingEndpointGetsNoRequest(t *testing.T) {
	test := newTestTransport(t, nil)
	var received atomic.Int64
	test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		ok(w, r)
	})
	test.attempt(nil, testTimeout, nil)
	test.endpoint.Open.Store(false)
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusNotSent || received.Load() != 1 {
		t.Errorf("got status %v, %d requests received; want %v, 1", res.Status, received.Load(), balancer.StatusNotSent)
	}
	test.mu.Lock()
	defer test.mu.Unlock()
	test.transport.CloseIdle(test.endpoint)
	if open, _ := test.transport.Counts(); open != 0 {
		t.Errorf("%d connections are open after CloseIdle, want 0", open)
	}
}

// If UDP packets do not arrive, nothing is sent, and another protocol may be used.
func TestNoConnection(t *testing.T) {
	test := newTestTransport(t, func(s *TransportSettings) { s.HandshakeTimeout = 100 * time.Millisecond })
	var received atomic.Int64
	endpoint := test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		ok(w, r)
	})
	relay, err := udp.Start(endpoint.Address(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.SetFault(udp.Fault{Blackhole: true})
	test.target(relay.Address())
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || !res.Unreachable {
		t.Errorf("packets dropped: got %+v, want status %v and unreachable", res, balancer.StatusConnectFailed)
	}
	if res := test.attempt(nil, 20*time.Millisecond, nil); res.Status != balancer.StatusNotSent || res.Unreachable {
		t.Errorf("at the attempt's deadline: got %+v, want status %v and not unreachable", res, balancer.StatusNotSent)
	}
	closed := listenUDP(t)
	test.target(closed.LocalAddr().String())
	closeAll(t, closed)
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || !res.Unreachable {
		t.Errorf("closed port: got %+v, want status %v and unreachable", res, balancer.StatusConnectFailed)
	}
	if received.Load() != 0 {
		t.Errorf("%d requests were received by the endpoint, want 0", received.Load())
	}
}

// If the endpoint can't be authenticated, nothing is sent, and no other protocol may be used. The handshake takes a quarter of a second.
func TestUnauthenticatedEndpoint(t *testing.T) {
	test := newTestTransport(t, func(s *TransportSettings) { s.HandshakeTimeout = testTimeout })
	var received atomic.Int64
	for name, cert := range map[string]*tls.Certificate{
		"another name":      newCertificate(t, test.ca, "other.example.org"),
		"another authority": newCertificate(t, newAuthority(t), endpointName),
	} {
		wrong, err := h3.Start("", cert, h3.Options{}, func(http.ResponseWriter, *http.Request) { received.Add(1) })
		if err != nil {
			t.Fatal(err)
		}
		relay, err := udp.Start(wrong.Address(), 1)
		if err != nil {
			t.Fatal(err)
		}
		relay.SetFault(udp.Fault{Delay: 125 * time.Millisecond})
		test.target(relay.Address())
		if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || res.Unreachable {
			t.Errorf("%s: got %+v, want status %v and not unreachable", name, res, balancer.StatusConnectFailed)
		}
		relay.Close()
		wrong.Close()
	}
	if received.Load() != 0 {
		t.Errorf("%d requests were received by an endpoint, want 0", received.Load())
	}
}

// isNeverSent compares the text of the library's error. The test fails if a version of the library changes the text.
func TestNeverSent(t *testing.T) {
	test := newTestTransport(t, nil)
	endpoint := test.serve("", h3.Options{}, ok)
	test.attempt(nil, testTimeout, nil)
	test.mu.Lock()
	c, _ := test.transport.Acquire(test.endpoint, time.Now())
	test.transport.Release(test.endpoint, c, nil)
	test.mu.Unlock()
	closed := c.(*endpointConn)
	closeConn(closed.conn, noError)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	a := &exchange.Attempt{
		Request:  &exchange.Inbound{Method: "GET", Target: "/", Host: "h"},
		Endpoint: test.endpoint,
		Sent:     time.Now(),
		Context:  ctx,
		Bodies:   largeBudget(),
	}
	if _, err := test.transport.exchange(a, closed.client, false); err == nil || !isNeverSent(err) {
		t.Errorf("exchange on a closed connection: got error %v, want one for which isNeverSent is true", err)
	}
	if isNeverSent(errors.New("anything else")) || isRejected(&quic.ApplicationError{Remote: true, ErrorCode: 0x10b}) {
		t.Error("an error after which the request may have been executed counts as one of a request that was not executed")
	}
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK || endpoint.Connections() != 2 {
		t.Errorf("next attempt: got status %v over %d connections in all, want %v over 2", res.Status, endpoint.Connections(), balancer.StatusOK)
	}
}
