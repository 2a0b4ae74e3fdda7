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
	"github.com/quic-go/quic-go/http3"

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
	mu        sync.Mutex // the loop's part
	endpoint  *exchange.Endpoint
}

func newTestTransport(t *testing.T, change func(*TransportSettings)) *testTransport {
	t.Helper()
	y := &testTransport{t: t, ca: newAuthority(t)}
	y.cert = newCertificate(t, y.ca, "slot-keeper.example.org")
	set := *TransportTable.Default()
	set.ServerName, set.HandshakeTimeout, set.UnresponsiveTimeout = "slot-keeper.example.org", 2*time.Second, 500*time.Millisecond
	if change != nil {
		change(&set)
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		t.Fatal(err)
	}
	y.transport = NewTransport(socket, set, y.ca.Pool(), 8, time.Minute)
	t.Cleanup(func() {
		for e := range maps.Clone(y.transport.conns) {
			e.Open.Store(false)
			y.transport.CloseIdle(e)
		}
		y.transport.Close()
	})
	return y
}

func (y *testTransport) serve(address string, o h3.Options, handler http.HandlerFunc) *h3.Endpoint {
	y.t.Helper()
	e, err := h3.Start(address, y.cert, o, handler)
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(e.Close)
	y.target(e.Address())
	return e
}

// target has attempts go to an address.
func (y *testTransport) target(address string) {
	y.endpoint = &exchange.Endpoint{Address: address}
	y.endpoint.Open.Store(true)
}

func largeBudget() *exchange.Budget {
	b := &exchange.Budget{}
	b.Release(1 << 30)
	return b
}

// attempt makes an attempt as the loop does.
func (y *testTransport) attempt(in *exchange.Inbound, timeout time.Duration, during func(cancel func())) exchange.Result {
	if in == nil {
		in = &exchange.Inbound{Method: "POST", Target: "/book?a=1", Host: "h", Header: http.Header{"X-Txn": {"1"}}, Body: []byte("trip")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a := &exchange.Attempt{Request: in, Endpoint: y.endpoint, Sent: time.Now(), Context: ctx, Bodies: largeBudget()}
	y.mu.Lock()
	c, ok := y.transport.Acquire(y.endpoint, time.Now())
	y.mu.Unlock()
	if !ok {
		return exchange.Result{Status: balancer.StatusNotSent}
	}
	if during != nil {
		go during(cancel)
	}
	res := y.transport.Run(a, c)
	y.mu.Lock()
	y.transport.Release(y.endpoint, c, res.Conn)
	y.mu.Unlock()
	return res
}

func ok(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Pressure", "inflight=7,queue=2")
	fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Host, b)
}

func TestAttempts(t *testing.T) {
	y := newTestTransport(t, nil)
	seen := make(chan http.Header, 100)
	e := y.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		ok(w, r)
	})
	for range 5 {
		res := y.attempt(nil, testTimeout, nil)
		if res.Status != balancer.StatusOK || string(res.Response.Body) != "POST /book?a=1 h trip" || res.Load == nil || res.Load.Queue != 2 {
			t.Fatalf("%+v", res)
		}
		h := <-seen
		if h.Get("X-Txn") != "1" || !strings.HasSuffix(h.Get("X-Remaining"), "u") || h.Get("User-Agent") != "" || h.Get("Accept-Encoding") != "" || h.Get("Content-Length") != "4" {
			t.Errorf("headers %v", h)
		}
	}
	if e.Connections() != 1 {
		t.Errorf("%d connections", e.Connections())
	}
	for _, target := range []string{"//a/b", "/%7e%7E?x=%20", "/a|b"} {
		res := y.attempt(&exchange.Inbound{Method: "GET", Target: target, Host: "h", Safe: true}, testTimeout, nil)
		if res.Status != balancer.StatusOK || string(res.Response.Body) != "GET "+target+" h " {
			t.Errorf("%s: %v %s", target, res.Status, res.Response.Body)
		}
		<-seen
	}
}

// Many at once share connections, each with a stream of its own, within the bounds.
func TestAttemptsShareConnections(t *testing.T) {
	y := newTestTransport(t, func(e *TransportSettings) { e.MaxStreams = 10 })
	var now, most atomic.Int64
	e := y.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(20 * time.Millisecond)
		now.Add(-1)
		ok(w, r)
	})
	var all sync.WaitGroup
	var served, moot atomic.Int64
	for range 100 {
		all.Go(func() {
			switch res := y.attempt(nil, testTimeout, nil); res.Status {
			case balancer.StatusOK:
				served.Add(1)
			case balancer.StatusNotSent:
				moot.Add(1) // no connection left
			default:
				t.Errorf("%+v", res)
			}
		})
	}
	all.Wait()
	if e.Connections() > 8 || most.Load() > 80 || served.Load() < 80 || served.Load()+moot.Load() != 100 {
		t.Errorf("%d connections, %d at once, %d served, %d not", e.Connections(), most.Load(), served.Load(), moot.Load())
	}
}

// What a reset, a close or a bad answer say of whether the request may have run.
func TestOutcomes(t *testing.T) {
	y := newTestTransport(t, nil)
	var play atomic.Value
	y.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		play.Load().(func(http.ResponseWriter, *http.Request))(w, r)
	})
	reset := func(code http3.ErrCode, after string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			if after != "" {
				w.Header().Set("Content-Length", "100")
				io.WriteString(w, after)
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			h3.ResetStream(w, code)
		}
	}
	drop := func(code http3.ErrCode) func(http.ResponseWriter, *http.Request) {
		return func(_ http.ResponseWriter, r *http.Request) { h3.CloseConnection(r, code) }
	}
	answer := func(code int, header, value, body string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			if header != "" {
				w.Header().Set(header, value)
			}
			w.WriteHeader(code)
			io.WriteString(w, body)
		}
	}
	for _, c := range []struct {
		name string
		play func(http.ResponseWriter, *http.Request)
		want balancer.Status
	}{
		{"served", ok, balancer.StatusOK},
		{"rejected", reset(http3.ErrCodeRequestRejected, ""), balancer.StatusRejected},
		{"reset", reset(http3.ErrCodeInternalError, ""), balancer.StatusInvalidResponse},
		{"reset, no error", reset(http3.ErrCodeNoError, ""), balancer.StatusInvalidResponse},
		{"cancelled by the endpoint", reset(http3.ErrCodeRequestCanceled, ""), balancer.StatusInvalidResponse},
		{"reset amid the answer", reset(http3.ErrCodeInternalError, "half"), balancer.StatusInvalidResponse},
		{"connection closed", drop(http3.ErrCodeNoError), balancer.StatusInvalidResponse}, // the endpoint still takes connections
		{"connection closed, rejected", drop(http3.ErrCodeRequestRejected), balancer.StatusInvalidResponse},
		{"short answer", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "half")
		}, balancer.StatusInvalidResponse},
		{"large answer", func(w http.ResponseWriter, r *http.Request) { w.Write(make([]byte, exchange.MaxBody+1)) }, balancer.StatusInvalidResponse},
		{"large headers", answer(200, "X-Large", strings.Repeat("x", 2*maxHeadBytes), ""), balancer.StatusInvalidResponse},
		{"turned away", answer(503, "X-Turned-Away", "1", ""), balancer.StatusRejected},
		{"no word of it", answer(503, "", "", ""), balancer.StatusError},
		{"error", answer(500, "", "", ""), balancer.StatusError},
		{"request at fault", answer(400, "", "", ""), balancer.StatusInvalidResponse},
		{"too early, though it was not", answer(425, "", "", ""), balancer.StatusInvalidResponse},
	} {
		play.Store(c.play)
		if res := y.attempt(nil, testTimeout, nil); res.Status != c.want {
			t.Errorf("%s: %v, want %v", c.name, res.Status, c.want)
		}
		play.Store(ok)
		if res := y.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK {
			t.Errorf("after %s: %v", c.name, res.Status)
		}
	}
}

// An attempt that is given up is called off at the endpoint, and others on the connection go on.
func TestGivenUp(t *testing.T) {
	y := newTestTransport(t, nil)
	came, off := make(chan bool, 2), make(chan bool, 2)
	e := y.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fast" {
			ok(w, r)
			return
		}
		io.Copy(io.Discard, r.Body)
		came <- true
		<-r.Context().Done()
		off <- true
	})
	for _, c := range []struct {
		timeout time.Duration
		cancel  bool
		want    balancer.Status
	}{{300 * time.Millisecond, false, balancer.StatusTimeout}, {testTimeout, true, balancer.StatusCancelled}} {
		res := y.attempt(nil, c.timeout, func(cancel func()) {
			if <-came; c.cancel {
				cancel()
			}
		})
		if res.Status != c.want {
			t.Errorf("%v, want %v", res.Status, c.want)
		}
		<-off
		if res := y.attempt(&exchange.Inbound{Method: "GET", Target: "/fast", Host: "h"}, testTimeout, nil); res.Status != balancer.StatusOK {
			t.Errorf("another one: %v", res.Status)
		}
	}
	if e.Connections() != 1 {
		t.Errorf("%d connections", e.Connections())
	}
}

// An endpoint that drains gets no new stream, on a connection that stands either.
func TestDrained(t *testing.T) {
	y := newTestTransport(t, nil)
	var came atomic.Int64
	y.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		came.Add(1)
		ok(w, r)
	})
	y.attempt(nil, testTimeout, nil)
	y.endpoint.Open.Store(false)
	if res := y.attempt(nil, testTimeout, nil); res.Status != balancer.StatusNotSent || came.Load() != 1 {
		t.Errorf("%v, %d came", res.Status, came.Load())
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.transport.CloseIdle(y.endpoint)
	if open, _ := y.transport.Counts(); open != 0 {
		t.Errorf("%d connections are kept", open)
	}
}

// One that leaves in order answers what it has; what crosses its GOAWAY has not run, and goes to a new
// connection if there is one. One that dies is a reset, and its next start is found.
func TestEndpointLeavesAndDies(t *testing.T) {
	y := newTestTransport(t, nil)
	secret := h3.Options{ResetSecret: [32]byte{1}}
	serve, taken := make(chan bool), make(chan bool, 10)
	t.Cleanup(func() {
		select {
		case <-serve:
		default:
			close(serve)
		}
	})
	slow := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			taken <- true
			select {
			case <-serve:
			case <-r.Context().Done():
			}
		}
		ok(w, r)
	}
	e := y.serve("", secret, slow)
	done := make(chan exchange.Result, 1)
	out := &exchange.Inbound{Method: "GET", Target: "/slow", Host: "h"}
	go func() { done <- y.attempt(out, testTimeout, nil) }()
	<-taken
	left := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		left <- e.Shutdown(ctx)
	}()
	// Until the GOAWAY is here, attempts are rejected or served; after that they find nobody.
	for end := time.Now().Add(testTimeout); ; {
		res := y.attempt(nil, 300*time.Millisecond, nil)
		if res.Status == balancer.StatusConnectFailed || res.Status == balancer.StatusNotSent {
			break
		}
		if res.Status != balancer.StatusOK && res.Status != balancer.StatusRejected || time.Now().After(end) {
			t.Fatalf("%v", res.Status)
		}
	}
	close(serve)
	if res := <-done; res.Status != balancer.StatusOK {
		t.Errorf("what it had: %v", res.Status)
	}
	if err := <-left; err != nil {
		t.Error(err)
	}

	serve = make(chan bool)
	address := e.Address()
	again := y.serve(address, secret, slow)
	go func() { done <- y.attempt(out, testTimeout, nil) }()
	<-taken
	again.Kill()
	third, err := h3.Start(address, y.cert, secret, slow)
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	// Anything that is sent to the new process on the old connection is told that it knows nothing of it.
	if res := <-done; res.Status != balancer.StatusInvalidResponse && res.Status != balancer.StatusReset && res.Status != balancer.StatusTimeout {
		t.Errorf("what died with it: %v", res.Status)
	}
	y.target(address)
	if res := y.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK {
		t.Errorf("its next start: %v", res.Status)
	}
}

// Where UDP does not get through, nothing is sent, and another protocol may take over; where the wrong one
// answers, none may.
func TestNoConnection(t *testing.T) {
	y := newTestTransport(t, func(e *TransportSettings) { e.HandshakeTimeout = 100 * time.Millisecond })
	var came atomic.Int64
	e := y.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		came.Add(1)
		ok(w, r)
	})
	relay, err := udp.Start(e.Address(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.SetFault(udp.Fault{Blackhole: true})
	y.target(relay.Address())
	if res := y.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || !res.Unreachable {
		t.Errorf("blackholed: %+v", res)
	}
	if res := y.attempt(nil, 20*time.Millisecond, nil); res.Status != balancer.StatusNotSent || res.Unreachable {
		t.Errorf("at its own deadline: %+v", res)
	}
	gone, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	y.target(gone.LocalAddr().String())
	gone.Close()
	if res := y.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || !res.Unreachable {
		t.Errorf("nobody there: %+v", res)
	}
	for name, cert := range map[string]*tls.Certificate{"another's name": newCertificate(t, y.ca, "other.example.org"), "another authority": newCertificate(t, newAuthority(t), "slot-keeper.example.org")} {
		wrong, err := h3.Start("", cert, h3.Options{}, func(http.ResponseWriter, *http.Request) { came.Add(1) })
		if err != nil {
			t.Fatal(err)
		}
		y.target(wrong.Address())
		if res := y.attempt(nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed || res.Unreachable {
			t.Errorf("%s: %+v", name, res)
		}
		wrong.Close()
	}
	if came.Load() != 0 {
		t.Errorf("%d requests came to somebody", came.Load())
	}
}

// Safe requests alone go out in early data, and where an endpoint rejects it they are sent anew.
func TestEarlyRequests(t *testing.T) {
	for _, c := range []struct {
		name      string
		accept    bool
		safe      bool
		wantEarly bool
	}{{"safe", true, true, true}, {"keyed", true, false, false}, {"rejected", false, true, false}} {
		t.Run(c.name, func(t *testing.T) {
			y := newTestTransport(t, func(e *TransportSettings) { e.EarlyRequests = true })
			var early, came atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				if h3.IsEarly(r) {
					early.Add(1)
				}
				came.Add(1)
				ok(w, r)
			}
			o := h3.Options{ResetSecret: [32]byte{2}, EarlyData: true}
			e := y.serve("", o, handler)
			address := e.Address()
			relay, err := udp.Start(address, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			y.target(relay.Address())
			if res := y.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK {
				t.Fatal(res.Status)
			}
			// The ticket comes after the handshake.
			for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
				if _, there := (addressCache{y.transport.sessionCache, relay.Address()}).Get("slot-keeper.example.org"); there {
					break
				}
				if time.Now().After(end) {
					t.Fatal("no ticket")
				}
			}
			y.mu.Lock()
			y.transport.CloseIdle(y.endpoint)
			y.mu.Unlock()
			e.Close()
			if !c.accept {
				o.EarlyData = false
			}
			y.serve(address, o, handler)
			y.target(relay.Address())
			relay.SetFault(udp.Fault{Delay: 20 * time.Millisecond})
			early.Store(0)
			before := came.Load()
			in := &exchange.Inbound{Method: "GET", Target: "/find", Host: "h", Safe: c.safe}
			if res := y.attempt(in, testTimeout, nil); res.Status != balancer.StatusOK {
				t.Fatalf("%+v", res)
			}
			if got := early.Load() == 1; got != c.wantEarly || came.Load() != before+1 {
				t.Errorf("early %v, want %v; %d came", got, c.wantEarly, came.Load()-before)
			}
		})
	}
}

// What tells that nothing was sent rests on the library's words: these are they.
func TestNeverSent(t *testing.T) {
	y := newTestTransport(t, nil)
	e := y.serve("", h3.Options{}, ok)
	y.attempt(nil, testTimeout, nil)
	y.mu.Lock()
	c, _ := y.transport.Acquire(y.endpoint, time.Now())
	y.transport.Release(y.endpoint, c, nil)
	y.mu.Unlock()
	s := c.(*endpointConn)
	s.conn.CloseWithError(0x100, "")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a := &exchange.Attempt{Request: &exchange.Inbound{Method: "GET", Target: "/", Host: "h"}, Endpoint: y.endpoint, Sent: time.Now(), Context: ctx, Bodies: largeBudget()}
	if _, err := y.transport.exchange(a, s.client, false); err == nil || !isNeverSent(err) {
		t.Errorf("on a closed connection: %v", err)
	}
	if isNeverSent(errors.New("anything else")) || isRejected(&quic.ApplicationError{Remote: true, ErrorCode: 0x10b}) {
		t.Error("what may have run passes for what never ran")
	}
	if res := y.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK || e.Connections() != 2 {
		t.Errorf("%v over %d connections", res.Status, e.Connections())
	}
}
