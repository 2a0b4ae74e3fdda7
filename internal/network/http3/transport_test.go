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

// yard is a transport with an endpoint.
type yard struct {
	t    *testing.T
	ca   *authority.Authority
	cert *tls.Certificate
	to   *Transport
	mu   sync.Mutex // the loop's part
	e    *exchange.Endpoint
}

func newYard(t *testing.T, change func(*Endpoints)) *yard {
	t.Helper()
	y := &yard{t: t, ca: trust(t)}
	y.cert = pair(t, y.ca, "slot-keeper.example.org")
	set := *EndpointsTable.Default()
	set.Name, set.Handshake, set.Silence = "slot-keeper.example.org", 2*time.Second, 500*time.Millisecond
	if change != nil {
		change(&set)
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		t.Fatal(err)
	}
	y.to = NewTransport(socket, set, y.ca.Pool(), 8, time.Minute)
	t.Cleanup(func() {
		for e := range maps.Clone(y.to.sessions) {
			e.Open.Store(false)
			y.to.CloseIdle(e)
		}
		y.to.Close()
	})
	return y
}

func (y *yard) serve(address string, o h3.Options, handler http.HandlerFunc) *h3.Endpoint {
	y.t.Helper()
	e, err := h3.Start(address, y.cert, o, handler)
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(e.Close)
	y.to_(e.Address())
	return e
}

// to_ has attempts go to an address.
func (y *yard) to_(address string) {
	y.e = &exchange.Endpoint{Address: address}
	y.e.Open.Store(true)
}

func roomy() *exchange.Budget {
	b := &exchange.Budget{}
	b.Release(1 << 30)
	return b
}

// try makes an attempt as the loop does.
func (y *yard) try(in *exchange.Inbound, timeout time.Duration, during func(cancel func())) exchange.Result {
	if in == nil {
		in = &exchange.Inbound{Method: "POST", Target: "/book?a=1", Host: "h", Header: http.Header{"X-Txn": {"1"}}, Body: []byte("trip")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a := &exchange.Attempt{Request: in, Endpoint: y.e, Sent: time.Now(), Context: ctx, Bodies: roomy()}
	y.mu.Lock()
	c, ok := y.to.Acquire(y.e, time.Now())
	y.mu.Unlock()
	if !ok {
		return exchange.Result{Status: balancer.StatusNotSent}
	}
	if during != nil {
		go during(cancel)
	}
	res := y.to.Run(a, c)
	y.mu.Lock()
	y.to.Release(y.e, c, res.Conn)
	y.mu.Unlock()
	return res
}

func ok(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Pressure", "inflight=7,queue=2")
	fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Host, b)
}

func TestAttempts(t *testing.T) {
	y := newYard(t, nil)
	seen := make(chan http.Header, 100)
	e := y.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		ok(w, r)
	})
	for range 5 {
		res := y.try(nil, patience, nil)
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
		res := y.try(&exchange.Inbound{Method: "GET", Target: target, Host: "h", Safe: true}, patience, nil)
		if res.Status != balancer.StatusOK || string(res.Response.Body) != "GET "+target+" h " {
			t.Errorf("%s: %v %s", target, res.Status, res.Response.Body)
		}
		<-seen
	}
}

// Many at once share connections, each with a stream of its own, within the bounds.
func TestAttemptsShareConnections(t *testing.T) {
	y := newYard(t, func(e *Endpoints) { e.Streams = 10 })
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
			switch res := y.try(nil, patience, nil); res.Status {
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
	y := newYard(t, nil)
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
			h3.Reset(w, code)
		}
	}
	drop := func(code http3.ErrCode) func(http.ResponseWriter, *http.Request) {
		return func(_ http.ResponseWriter, r *http.Request) { h3.Drop(r, code) }
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
		{"large headers", answer(200, "X-Large", strings.Repeat("x", 2*maxAnswerHead), ""), balancer.StatusInvalidResponse},
		{"turned away", answer(503, "X-Turned-Away", "1", ""), balancer.StatusRejected},
		{"no word of it", answer(503, "", "", ""), balancer.StatusError},
		{"error", answer(500, "", "", ""), balancer.StatusError},
		{"request at fault", answer(400, "", "", ""), balancer.StatusInvalidResponse},
		{"too early, though it was not", answer(425, "", "", ""), balancer.StatusInvalidResponse},
	} {
		play.Store(c.play)
		if res := y.try(nil, patience, nil); res.Status != c.want {
			t.Errorf("%s: %v, want %v", c.name, res.Status, c.want)
		}
		play.Store(ok)
		if res := y.try(nil, patience, nil); res.Status != balancer.StatusOK {
			t.Errorf("after %s: %v", c.name, res.Status)
		}
	}
}

// An attempt that is given up is called off at the endpoint, and others on the connection go on.
func TestGivenUp(t *testing.T) {
	y := newYard(t, nil)
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
	}{{300 * time.Millisecond, false, balancer.StatusTimeout}, {patience, true, balancer.StatusCancelled}} {
		res := y.try(nil, c.timeout, func(cancel func()) {
			if <-came; c.cancel {
				cancel()
			}
		})
		if res.Status != c.want {
			t.Errorf("%v, want %v", res.Status, c.want)
		}
		<-off
		if res := y.try(&exchange.Inbound{Method: "GET", Target: "/fast", Host: "h"}, patience, nil); res.Status != balancer.StatusOK {
			t.Errorf("another one: %v", res.Status)
		}
	}
	if e.Connections() != 1 {
		t.Errorf("%d connections", e.Connections())
	}
}

// An endpoint that drains gets no new stream, on a connection that stands either.
func TestDrained(t *testing.T) {
	y := newYard(t, nil)
	var came atomic.Int64
	y.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		came.Add(1)
		ok(w, r)
	})
	y.try(nil, patience, nil)
	y.e.Open.Store(false)
	if res := y.try(nil, patience, nil); res.Status != balancer.StatusNotSent || came.Load() != 1 {
		t.Errorf("%v, %d came", res.Status, came.Load())
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.to.CloseIdle(y.e)
	if open, _ := y.to.Counts(); open != 0 {
		t.Errorf("%d connections are kept", open)
	}
}

// One that leaves in order answers what it has; what crosses its GOAWAY has not run, and goes to a new
// connection if there is one. One that dies is a reset, and its next start is found.
func TestEndpointLeavesAndDies(t *testing.T) {
	y := newYard(t, nil)
	secret := h3.Options{Secret: [32]byte{1}}
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
	go func() { done <- y.try(out, patience, nil) }()
	<-taken
	left := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		left <- e.Leave(ctx)
	}()
	// Until the GOAWAY is here, attempts are rejected or served; after that they find nobody.
	for end := time.Now().Add(patience); ; {
		res := y.try(nil, 300*time.Millisecond, nil)
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
	go func() { done <- y.try(out, patience, nil) }()
	<-taken
	again.Die()
	third, err := h3.Start(address, y.cert, secret, slow)
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	// Anything that is sent to the new process on the old connection is told that it knows nothing of it.
	if res := <-done; res.Status != balancer.StatusInvalidResponse && res.Status != balancer.StatusReset && res.Status != balancer.StatusTimeout {
		t.Errorf("what died with it: %v", res.Status)
	}
	y.to_(address)
	if res := y.try(nil, patience, nil); res.Status != balancer.StatusOK {
		t.Errorf("its next start: %v", res.Status)
	}
}

// Where UDP does not get through, nothing is sent, and another protocol may take over; where the wrong one
// answers, none may.
func TestNoConnection(t *testing.T) {
	y := newYard(t, func(e *Endpoints) { e.Handshake = 100 * time.Millisecond })
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
	relay.Set(udp.Fault{Blackhole: true})
	y.to_(relay.Address())
	if res := y.try(nil, patience, nil); res.Status != balancer.StatusConnectFailed || !res.Unreachable {
		t.Errorf("blackholed: %+v", res)
	}
	if res := y.try(nil, 20*time.Millisecond, nil); res.Status != balancer.StatusNotSent || res.Unreachable {
		t.Errorf("at its own deadline: %+v", res)
	}
	gone, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	y.to_(gone.LocalAddr().String())
	gone.Close()
	if res := y.try(nil, patience, nil); res.Status != balancer.StatusConnectFailed || !res.Unreachable {
		t.Errorf("nobody there: %+v", res)
	}
	for name, cert := range map[string]*tls.Certificate{"another's name": pair(t, y.ca, "other.example.org"), "another authority": pair(t, trust(t), "slot-keeper.example.org")} {
		wrong, err := h3.Start("", cert, h3.Options{}, func(http.ResponseWriter, *http.Request) { came.Add(1) })
		if err != nil {
			t.Fatal(err)
		}
		y.to_(wrong.Address())
		if res := y.try(nil, patience, nil); res.Status != balancer.StatusConnectFailed || res.Unreachable {
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
			y := newYard(t, func(e *Endpoints) { e.Early = true })
			var early, came atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				if h3.Early(r) {
					early.Add(1)
				}
				came.Add(1)
				ok(w, r)
			}
			o := h3.Options{Secret: [32]byte{2}, Early: true}
			e := y.serve("", o, handler)
			address := e.Address()
			relay, err := udp.Start(address, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			y.to_(relay.Address())
			if res := y.try(nil, patience, nil); res.Status != balancer.StatusOK {
				t.Fatal(res.Status)
			}
			// The ticket comes after the handshake.
			for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				if _, there := (ticketsOf{y.to.tickets, relay.Address()}).Get("slot-keeper.example.org"); there {
					break
				}
				if time.Now().After(end) {
					t.Fatal("no ticket")
				}
			}
			y.mu.Lock()
			y.to.CloseIdle(y.e)
			y.mu.Unlock()
			e.Close()
			if !c.accept {
				o.Early = false
			}
			y.serve(address, o, handler)
			y.to_(relay.Address())
			relay.Set(udp.Fault{Delay: 20 * time.Millisecond})
			early.Store(0)
			before := came.Load()
			in := &exchange.Inbound{Method: "GET", Target: "/find", Host: "h", Safe: c.safe}
			if res := y.try(in, patience, nil); res.Status != balancer.StatusOK {
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
	y := newYard(t, nil)
	e := y.serve("", h3.Options{}, ok)
	y.try(nil, patience, nil)
	y.mu.Lock()
	c, _ := y.to.Acquire(y.e, time.Now())
	y.to.Release(y.e, c, nil)
	y.mu.Unlock()
	s := c.(*session)
	s.conn.CloseWithError(0x100, "")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a := &exchange.Attempt{Request: &exchange.Inbound{Method: "GET", Target: "/", Host: "h"}, Endpoint: y.e, Sent: time.Now(), Context: ctx, Bodies: roomy()}
	if _, err := y.to.exchange(a, s.client, false); err == nil || !neverSent(err) {
		t.Errorf("on a closed connection: %v", err)
	}
	if neverSent(errors.New("anything else")) || rejected(&quic.ApplicationError{Remote: true, ErrorCode: 0x10b}) {
		t.Error("what may have run passes for what never ran")
	}
	if res := y.try(nil, patience, nil); res.Status != balancer.StatusOK || e.Connections() != 2 {
		t.Errorf("%v over %d connections", res.Status, e.Connections())
	}
}
