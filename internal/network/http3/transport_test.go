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

// testTransport is a transport with an endpoint.
type testTransport struct {
	t         *testing.T
	ca        *authority.Authority
	cert      *tls.Certificate
	transport *Transport
	mu        sync.Mutex // the loop's part of the transport
	endpoint  *exchange.Endpoint
}

// newTestTransport makes a transport, with settings that change may change. The test's end closes it.
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

// serve starts the endpoint, which attempts go to from now on.
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

// target sets the address of further attempts.
func (t *testTransport) target(address string) {
	t.endpoint = &exchange.Endpoint{Address: address}
	t.endpoint.Open.Store(true)
}

// attempt makes an attempt as the loop does; without a request it makes a booking. during runs beside it; nil for nothing.
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

// closeIdle closes the connections without attempts.
func (t *testTransport) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transport.CloseIdle(t.endpoint)
}

// ok serves a request, with a report of its load.
func ok(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the attempt is given up
	}
	w.Header().Set("X-Pressure", "inflight=7,queue=2")
	reply(w, fmt.Sprintf("%s %s %s %s", r.Method, r.RequestURI, r.Host, body))
}

// discardBody reads a request's body.
func discardBody(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

func TestAttempts(t *testing.T) {
	test := newTestTransport(t, nil)
	seen := make(chan http.Header, 100)
	endpoint := test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		ok(w, r)
	})
	for range 5 {
		res := test.attempt(nil, testTimeout, nil)
		if res.Status != balancer.StatusOK || string(res.Response.Body) != "POST /book?a=1 h trip" || res.Load == nil || res.Load.Queue != 2 {
			t.Fatalf("%+v", res)
		}
		h := <-seen
		if h.Get("X-Txn") != "1" || !strings.HasSuffix(h.Get("X-Remaining"), "u") || h.Get("User-Agent") != "" ||
			h.Get("Accept-Encoding") != "" || h.Get("Content-Length") != "4" {
			t.Errorf("headers %v", h)
		}
	}
	if endpoint.Connections() != 1 {
		t.Errorf("%d connections", endpoint.Connections())
	}
	for _, target := range []string{"//a/b", "/%7e%7E?x=%20", "/a|b"} {
		res := test.attempt(&exchange.Inbound{Method: "GET", Target: target, Host: "h", Safe: true}, testTimeout, nil)
		if res.Status != balancer.StatusOK || string(res.Response.Body) != "GET "+target+" h " {
			t.Errorf("%s: %v %s", target, res.Status, res.Response.Body)
		}
		<-seen
	}
}

// Many at once share connections, each with a stream of its own, within the bounds.
func TestAttemptsShareConnections(t *testing.T) {
	test := newTestTransport(t, func(endpoint *TransportSettings) { endpoint.MaxStreams = 10 })
	var now, highest atomic.Int64
	endpoint := test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if n := now.Add(1); n > highest.Load() {
			highest.Store(n)
		}
		time.Sleep(20 * time.Millisecond)
		now.Add(-1)
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
				notSent.Add(1) // no connection left
			default:
				t.Errorf("%+v", res)
			}
		})
	}
	all.Wait()
	if endpoint.Connections() > 8 || highest.Load() > 80 || served.Load() < 80 || served.Load()+notSent.Load() != 100 {
		t.Errorf("%d connections, %d at once, %d served, %d not", endpoint.Connections(), highest.Load(), served.Load(), notSent.Load())
	}
}

// An attempt that is given up is cancelled at the endpoint, and others on the connection go on.
func TestGivenUp(t *testing.T) {
	test := newTestTransport(t, nil)
	came, off := make(chan bool, 2), make(chan bool, 2)
	endpoint := test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fast" {
			ok(w, r)
			return
		}
		discardBody(r)
		came <- true
		<-r.Context().Done()
		off <- true
	})
	for _, c := range []struct {
		timeout time.Duration
		cancel  bool
		want    balancer.Status
	}{{300 * time.Millisecond, false, balancer.StatusTimeout}, {testTimeout, true, balancer.StatusCancelled}} {
		res := test.attempt(nil, c.timeout, func(cancel func()) {
			if <-came; c.cancel {
				cancel()
			}
		})
		if res.Status != c.want {
			t.Errorf("%v, want %v", res.Status, c.want)
		}
		<-off
		if res := test.attempt(&exchange.Inbound{Method: "GET", Target: "/fast", Host: "h"}, testTimeout, nil); res.Status != balancer.StatusOK {
			t.Errorf("another one: %v", res.Status)
		}
	}
	if endpoint.Connections() != 1 {
		t.Errorf("%d connections", endpoint.Connections())
	}
}

// An endpoint that drains gets no new stream, not even on an open connection.
func TestDrained(t *testing.T) {
	test := newTestTransport(t, nil)
	var came atomic.Int64
	test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		came.Add(1)
		ok(w, r)
	})
	test.attempt(nil, testTimeout, nil)
	test.endpoint.Open.Store(false)
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusNotSent || came.Load() != 1 {
		t.Errorf("%v, %d came", res.Status, came.Load())
	}
	test.mu.Lock()
	defer test.mu.Unlock()
	test.transport.CloseIdle(test.endpoint)
	if open, _ := test.transport.Counts(); open != 0 {
		t.Errorf("%d connections are kept", open)
	}
}

// If UDP does not get through, nothing is sent, and another protocol may be used; if the wrong endpoint answers, none may.
func TestNoConnection(t *testing.T) {
	test := newTestTransport(t, func(e *TransportSettings) { e.HandshakeTimeout = 100 * time.Millisecond })
	var came atomic.Int64
	e := test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		came.Add(1)
		ok(w, r)
	})
	relay, err := udp.Start(e.Address(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.SetFault(udp.Fault{Blackhole: true})
	test.target(relay.Address())
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || !res.Unreachable {
		t.Errorf("blackholed: %+v", res)
	}
	if res := test.attempt(nil, 20*time.Millisecond, nil); res.Status != balancer.StatusNotSent || res.Unreachable {
		t.Errorf("at its own deadline: %+v", res)
	}
	gone := listenUDP(t)
	test.target(gone.LocalAddr().String())
	closeAll(t, gone)
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || !res.Unreachable {
		t.Errorf("nobody there: %+v", res)
	}
	for name, cert := range map[string]*tls.Certificate{
		"another's name":    newCertificate(t, test.ca, "other.example.org"),
		"another authority": newCertificate(t, newAuthority(t), endpointName),
	} {
		wrong, err := h3.Start("", cert, h3.Options{}, func(http.ResponseWriter, *http.Request) { came.Add(1) })
		if err != nil {
			t.Fatal(err)
		}
		test.target(wrong.Address())
		if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || res.Unreachable {
			t.Errorf("%s: %+v", name, res)
		}
		wrong.Close()
	}
	if came.Load() != 0 {
		t.Errorf("%d requests came to somebody", came.Load())
	}
}

// isNeverSent compares the text of the library's error: this is that text.
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
		t.Errorf("on a closed connection: %v", err)
	}
	if isNeverSent(errors.New("anything else")) || isRejected(&quic.ApplicationError{Remote: true, ErrorCode: 0x10b}) {
		t.Error("what may have run passes for what never ran")
	}
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK || endpoint.Connections() != 2 {
		t.Errorf("%v over %d connections", res.Status, endpoint.Connections())
	}
}
