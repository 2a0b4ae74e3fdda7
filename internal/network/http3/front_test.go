package http3

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"quincegap/internal/network/exchange"
	"quincegap/internal/standin/authority"
	"quincegap/internal/standin/udp"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newAuthority(t testing.TB) *authority.Authority {
	t.Helper()
	a, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newCertificate(t testing.TB, a *authority.Authority, name string) *tls.Certificate {
	t.Helper()
	p, err := a.Pair(name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// testFront is a front with a handler, and a caller.
type testFront struct {
	t        *testing.T
	front    *Front
	served   chan error
	pool     *x509.CertPool
	settings FrontSettings
	bounds   Bounds
	security Security
	handler  http.Handler
	close    func()
}

func openFront(t *testing.T, h http.HandlerFunc, change func(*FrontSettings, *Bounds, *Security)) *testFront {
	t.Helper()
	ca := newAuthority(t)
	cert := newCertificate(t, ca, "front.example.org")
	r := &testFront{
		t: t, pool: ca.Pool(), settings: *FrontTable.Default(), handler: h,
		bounds:   Bounds{MaxHeaderBytes: 8 << 10, RequestTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second},
		security: Security{Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert, nil }},
	}
	if change != nil {
		change(&r.settings, &r.bounds, &r.security)
	}
	r.start("127.0.0.1:0")
	t.Cleanup(func() { r.close() })
	return r
}

func (r *testFront) start(address string) {
	r.t.Helper()
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		r.t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", at)
	if err != nil {
		r.t.Fatal(err)
	}
	if r.front, err = NewFront(socket, r.handler, r.settings, r.bounds, r.security); err != nil {
		r.t.Fatal(err)
	}
	r.served = make(chan error, 1)
	front, served := r.front, r.served
	go func() { served <- front.Serve() }()
	r.close = sync.OnceFunc(func() {
		front.Close()
		if err := <-served; err != nil {
			r.t.Errorf("serving ended with %v", err)
		}
	})
}

// callerConn is a client over HTTP/3.
func (r *testFront) caller(address string, cache tls.ClientSessionCache) *http3.Transport {
	c := r.client()
	c.TLSClientConfig.ClientSessionCache = cache
	r.t.Cleanup(func() { c.Close() })
	return c
}

func (r *testFront) client() *http3.Transport {
	return &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: r.pool, ServerName: "front.example.org"},
		QUICConfig:      &quic.Config{MaxIdleTimeout: 10 * time.Second, HandshakeIdleTimeout: testTimeout},
	}
}

func (r *testFront) address() string { return r.front.Address().String() }

func ask(c http.RoundTripper, method, url string, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var b io.Reader
	if body != "" {
		b = strings.NewReader(body)
	}
	q, err := http.NewRequestWithContext(ctx, method, "https://"+url, b)
	if err != nil {
		return 0, "", err
	}
	res, err := c.RoundTrip(q)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

func (r *testFront) until(what string, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never: %s", what)
		}
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(400)
		return
	}
	fmt.Fprintf(w, "%s %s", r.RequestURI, b)
}

func TestServes(t *testing.T) {
	r := openFront(t, echo, nil)
	c := r.caller("", nil)
	for i := range 3 {
		if code, text, err := ask(c, "POST", r.address()+"/trips?a=1", "trip"); code != 200 || text != "/trips?a=1 trip" || err != nil {
			t.Fatalf("%d: %d %q %v", i, code, text, err)
		}
	}
	open, idle, handshakes := r.front.Counts()
	if open != 1 || handshakes != 0 {
		t.Errorf("%d connections, %d idle, %d handshakes", open, idle, handshakes)
	}
	r.until("it is idle", func() bool { _, idle, _ := r.front.Counts(); return idle == 1 })
	if r.front.Quiet(0) {
		t.Error("quiet with a connection")
	}
	c.Close()
	r.until("it is forgotten", func() bool { open, idle, _ := r.front.Counts(); return open+idle == 0 })
}

// A thousand requests at once on one connection: the bound on streams makes them queue at the caller, and each is
// answered.
func TestThousandStreams(t *testing.T) {
	var now, most atomic.Int64
	r := openFront(t, func(w http.ResponseWriter, q *http.Request) {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(time.Millisecond)
		now.Add(-1)
		echo(w, q)
	}, func(c *FrontSettings, _ *Bounds, _ *Security) { c.MaxStreams = 50 })
	c := r.caller("", nil)
	var all sync.WaitGroup
	for i := range 1000 {
		all.Go(func() {
			if code, text, err := ask(c, "POST", r.address()+fmt.Sprintf("/%d", i), "x"); code != 200 || text != fmt.Sprintf("/%d x", i) || err != nil {
				t.Errorf("%d: %d %q %v", i, code, text, err)
			}
		})
	}
	all.Wait()
	if most.Load() > 50 {
		t.Errorf("%d at once", most.Load())
	}
}

// Where connections use up their bound, mute and idle ones go, and busy ones never.
func TestRoomIsMade(t *testing.T) {
	serve := make(chan bool)
	r := openFront(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/slow" {
			<-serve
		}
		echo(w, q)
	}, func(c *FrontSettings, _ *Bounds, _ *Security) { c.MaxConnections = 4 })
	busy := r.caller("", nil)
	answered := make(chan error, 1)
	go func() {
		code, _, err := ask(busy, "GET", r.address()+"/slow", "")
		if code != 200 && err == nil {
			err = fmt.Errorf("status %d", code)
		}
		answered <- err
	}()
	r.until("it is busy", func() bool { open, idle, _ := r.front.Counts(); return open == 1 && idle == 0 })
	for i := range 12 {
		if code, _, err := ask(r.caller("", nil), "GET", r.address()+"/", ""); code != 200 || err != nil {
			t.Fatalf("%d: %d %v", i, code, err)
		}
	}
	if open, _, _ := r.front.Counts(); open > 4 {
		t.Errorf("%d connections", open)
	}
	close(serve)
	if err := <-answered; err != nil {
		t.Errorf("the busy one: %v", err)
	}
}

// Half a request, and none at all: the connection goes after its time, though the caller keeps it alive.
func TestSilenceEnds(t *testing.T) {
	r := openFront(t, echo, func(_ *FrontSettings, b *Bounds, _ *Security) {
		b.RequestTimeout, b.IdleTimeout = 300*time.Millisecond, 700*time.Millisecond
	})
	for name, bytes := range map[string]string{"nothing": "", "half a header": "\x01\x40", "part of a header": "\x01\x20\x00\x00\xd1"} {
		conf := &tls.Config{RootCAs: r.pool, ServerName: "front.example.org", NextProtos: []string{"h3"}}
		conn, err := quic.DialAddr(context.Background(), r.address(), conf, &quic.Config{KeepAlivePeriod: 50 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		str, err := conn.OpenStreamSync(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		str.Write([]byte(bytes))
		select {
		case <-conn.Context().Done():
		case <-time.After(testTimeout):
			t.Errorf("%s: it stays", name)
		}
		conn.CloseWithError(0, "")
	}
	r.until("all are forgotten", func() bool { open, _, _ := r.front.Counts(); return open == 0 })
}

// Initials from ever new ports, none of which goes on: handshakes are bounded, and a caller who can answer a
// Retry gets through all the same.
func TestFloodOfInitials(t *testing.T) {
	r := openFront(t, echo, func(c *FrontSettings, _ *Bounds, _ *Security) {
		c.MaxHandshakes, c.HandshakeTimeout = 8, 500*time.Millisecond
	})
	relay, err := udp.Start(r.address(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.SetFault(udp.Fault{DropReplies: true})
	ctx, stop := context.WithCancel(context.Background())
	var flood sync.WaitGroup
	for range 8 {
		flood.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) { // so that there are cores left on a small machine
				once, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				conf := &tls.Config{RootCAs: r.pool, ServerName: "front.example.org", NextProtos: []string{"h3"}}
				if conn, err := quic.DialAddr(once, relay.Address(), conf, nil); err == nil {
					t.Error("a deaf caller ended its handshake")
					conn.CloseWithError(0, "")
				}
				cancel()
			}
		})
	}
	r.until("handshakes are under way", func() bool { _, _, n := r.front.Counts(); return n >= 4 })
	for i := range 5 {
		if code, _, err := ask(r.caller("", nil), "GET", r.address()+"/", ""); code != 200 || err != nil {
			t.Errorf("%d: %d %v", i, code, err)
		}
		if _, _, n := r.front.Counts(); n > 8 {
			t.Errorf("%d handshakes", n)
		}
	}
	stop()
	flood.Wait()
	r.until("the flood is forgotten", func() bool { _, _, n := r.front.Counts(); return n == 0 })
}

// On Stop what was taken is answered, what comes then is refused as never looked at, and it ends.
func TestStop(t *testing.T) {
	serve := make(chan bool)
	r := openFront(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/slow" {
			<-serve
		}
		echo(w, q)
	}, nil)
	conf := &tls.Config{RootCAs: r.pool, ServerName: "front.example.org", NextProtos: []string{"h3"}}
	conn, err := quic.DialAddr(context.Background(), r.address(), conf, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.CloseWithError(0, "")
	h3 := &http3.Transport{}
	client := h3.NewClientConn(conn)
	answered := make(chan error, 1)
	go func() {
		code, _, err := ask(client, "GET", r.address()+"/slow", "")
		if code != 200 && err == nil {
			err = fmt.Errorf("status %d", code)
		}
		answered <- err
	}()
	r.until("it is taken", func() bool { open, idle, _ := r.front.Counts(); return open == 1 && idle == 0 })
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- r.front.Stop(ctx)
	}()
	// A caller that has not heard the GOAWAY opens one more stream.
	r.until("a new request is refused", func() bool {
		str, err := conn.OpenStreamSync(context.Background())
		if err != nil {
			return true
		}
		str.Write([]byte{0x01, 0x40})
		str.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = str.Read(make([]byte, 1))
		str.CancelWrite(0x10c)
		e, ok := errors.AsType[*quic.StreamError](err)
		return ok && e.Remote && e.ErrorCode == quic.StreamErrorCode(http3.ErrCodeRequestRejected)
	})
	if _, _, err := ask(r.caller("", nil), "GET", r.address()+"/", ""); err == nil {
		t.Error("a new connection is served")
	}
	close(serve)
	if err := <-answered; err != nil {
		t.Errorf("what was taken: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// A caller whose address changes while its request is out gets its one answer, and its connection counts once.
func TestRebinding(t *testing.T) {
	var runs atomic.Int64
	serve := make(chan bool)
	r := openFront(t, func(w http.ResponseWriter, q *http.Request) {
		runs.Add(1)
		<-serve
		echo(w, q)
	}, nil)
	relay, err := udp.Start(r.address(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	c := r.caller("", nil)
	c.QUICConfig.KeepAlivePeriod = 50 * time.Millisecond
	answered := make(chan string, 1)
	go func() {
		code, text, err := ask(c, "POST", relay.Address()+"/a", "trip")
		answered <- fmt.Sprint(code, text, err)
	}()
	r.until("it is taken", func() bool { return runs.Load() == 1 })
	relay.Rebind()
	carried := relay.Received()
	r.until("packets come from the new port", func() bool { return relay.Received() > carried+2 })
	if open, _, _ := r.front.Counts(); open != 1 {
		t.Errorf("%d connections", open)
	}
	close(serve)
	if got := <-answered; got != "200/a trip<nil>" {
		t.Errorf("got %s", got)
	}
	if runs.Load() != 1 {
		t.Errorf("it ran %d times", runs.Load())
	}
}

// True migration: the caller itself goes over to another socket, with a request out.
func TestMigration(t *testing.T) {
	serve := make(chan bool)
	var runs atomic.Int64
	r := openFront(t, func(w http.ResponseWriter, q *http.Request) {
		runs.Add(1)
		<-serve
		echo(w, q)
	}, nil)
	socket := func() *quic.Transport {
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		tr := &quic.Transport{Conn: u}
		t.Cleanup(func() {
			tr.Close()
			u.Close()
		})
		return tr
	}
	one, two := socket(), socket()
	conn, err := one.Dial(context.Background(), r.front.Address(), &tls.Config{RootCAs: r.pool, ServerName: "front.example.org", NextProtos: []string{"h3"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.CloseWithError(0, "")
	// Not by RoundTrip, which looks at the connection's address while it changes.
	str, err := (&http3.Transport{DisableCompression: true}).NewClientConn(conn).OpenRequestStream(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	q, _ := http.NewRequest("GET", "https://front.example.org/a", nil)
	if err := str.SendRequestHeader(q); err != nil {
		t.Fatal(err)
	}
	str.Close()
	answered := make(chan string, 1)
	go func() {
		res, err := str.ReadResponse()
		if err != nil {
			answered <- err.Error()
			return
		}
		text, err := io.ReadAll(str)
		answered <- fmt.Sprint(res.StatusCode, string(text), err)
	}()
	r.until("it is taken", func() bool { return runs.Load() == 1 })
	path, err := conn.AddPath(two)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := path.Probe(ctx); err != nil {
		t.Fatal(err)
	}
	if err := path.Switch(); err != nil {
		t.Fatal(err)
	}
	close(serve)
	if got := <-answered; got != "200/a <nil>" || runs.Load() != 1 {
		t.Errorf("got %s after %d runs", got, runs.Load())
	}
	if open, _, _ := r.front.Counts(); open != 1 {
		t.Errorf("%d connections", open)
	}
}

// earlyCounter takes a handler's requests apart by when they came; keyed ones wait, as the desk has them do.
type earlyCounter struct {
	mu           sync.Mutex
	early, other int // requests that the handler went on with, before the handshake's end and after
	waiting      int // that it took up before it, and waited for it with
	refused      int // of those, for which it never came
}

func (e *earlyCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := exchange.CallerOf(r)
	was := c.Early()
	if r.Method != http.MethodGet && was {
		e.mu.Lock()
		e.waiting++
		e.mu.Unlock()
		ok := c.Confirm(r.Context())
		e.mu.Lock()
		if ok {
			e.waiting--
		} else {
			e.refused++
		}
		e.mu.Unlock()
		if !ok {
			return
		}
	}
	e.mu.Lock()
	if was && r.Method == http.MethodGet {
		e.early++
	} else {
		e.other++
	}
	e.mu.Unlock()
	echo(w, r)
}

// A first flight with a booking in early data, recorded and sent a hundred times more, runs once: no replay ever
// ends its handshake. Server restarts with the same secret in between, so that the old ticket still holds.
func TestReplayedFirstFlight(t *testing.T) {
	e := &earlyCounter{}
	r := openFront(t, e.ServeHTTP, func(c *FrontSettings, _ *Bounds, s *Security) {
		// All replays of a flight are one connection, for they have one connection ID. Where its handshake timed
		// out before a busy machine had read the request, there was no other: it stands until the server ends.
		c.EarlyData, c.HandshakeTimeout = EarlySafe, time.Minute
		c.MaxHandshakes = 1000
		s.Secret = []byte("0123456789abcdef0123456789abcdef")
	})
	address := r.address()
	cache := tls.NewLRUClientSessionCache(10)
	first := r.caller("", cache)
	if code, _, err := ask(first, "GET", address+"/", ""); code != 200 || err != nil {
		t.Fatal(code, err)
	}
	first.Close()
	r.close()
	r.start(address)
	relay, err := udp.Start(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()

	// The caller's own flight: a booking in early data, by a client that does what browsers do not.
	// It hears nothing until the server has its booking: on a busy machine the handshake was over before the caller
	// came to send that, the flight held no early data, and no replay of it was ever taken up.
	relay.SetFault(udp.Fault{DropReplies: true})
	relay.StartRecording()
	conf := &tls.Config{RootCAs: r.pool, ServerName: "front.example.org", NextProtos: []string{"h3"}, ClientSessionCache: cache}
	conn, err := quic.DialAddrEarly(context.Background(), relay.Address(), conf, nil)
	if err != nil {
		t.Fatal(err)
	}
	h3 := &http3.Transport{DisableCompression: true}
	str, err := h3.NewClientConn(conn).OpenRequestStream(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	q, _ := http.NewRequest("POST", "https://front.example.org/book", nil)
	if err := str.SendRequestHeader(q); err != nil {
		t.Fatal(err)
	}
	str.Close()
	r.until("the booking came early, and waits", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.waiting == 1
	})
	flight := relay.StopRecording()
	relay.SetFault(udp.Fault{})
	res, err := str.ReadResponse()
	if err != nil || res.StatusCode != 200 {
		t.Fatalf("%v %v", res, err)
	}
	if !conn.ConnectionState().Used0RTT {
		t.Fatal("no early data was used: nothing is tested")
	}
	conn.CloseWithError(0, "")
	e.mu.Lock()
	before := e.other
	e.mu.Unlock()
	replay := func() {
		t.Helper()
		for range 100 {
			if err := relay.Replay(flight); err != nil {
				t.Fatal(err)
			}
		}
	}
	counts := func() (waiting, refused int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.waiting, e.refused
	}
	replay() // to the same server, where it is an old connection's
	// To ones that have restarted since.
	for range 3 {
		r.close()
		r.start(address)
		had, _ := counts()
		replay()
		r.until("a replay was taken up, and held", func() bool { waiting, _ := counts(); return waiting > had })
		replay() // to the server that holds it
	}
	r.close()
	r.until("all that were held have failed", func() bool { waiting, refused := counts(); return refused == waiting })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.other != before || e.early != 0 {
		t.Errorf("replays ran %d times, and %d early", e.other-before, e.early)
	}
}

// A safe request is taken early where that is set, and not where it is not.
func TestEarlySafe(t *testing.T) {
	for _, choice := range []EarlyData{EarlySafe, EarlyNever} {
		e := &earlyCounter{}
		r := openFront(t, e.ServeHTTP, func(c *FrontSettings, _ *Bounds, _ *Security) { c.EarlyData = choice })
		cache := tls.NewLRUClientSessionCache(10)
		first := r.caller("", cache)
		if code, _, err := ask(first, "GET", r.address()+"/", ""); code != 200 || err != nil {
			t.Fatal(code, err)
		}
		first.Close()
		relay, err := udp.Start(r.address(), 1)
		if err != nil {
			t.Fatal(err)
		}
		// The caller's second flight, that ends the handshake, comes late.
		relay.SetFault(udp.Fault{Delay: 20 * time.Millisecond})
		if code, _, err := ask(r.caller("", cache), http3.MethodGet0RTT, relay.Address()+"/x", ""); code != 200 || err != nil {
			t.Fatal(code, err)
		}
		relay.Close()
		e.mu.Lock()
		if (e.early == 1) != (choice == EarlySafe) {
			t.Errorf("%s: %d came early", choice, e.early)
		}
		e.mu.Unlock()
	}
}

// Loss, reordering, doubled datagrams and a path whose MTU shrinks cost time, and no answer.
func TestBadPaths(t *testing.T) {
	for name, f := range map[string]udp.Fault{
		"loss":  {LossShare: 0.05, Delay: time.Millisecond},
		"chaos": {LossShare: 0.02, DuplicateShare: 0.1, ReorderShare: 0.2, Delay: 2 * time.Millisecond},
		"mtu":   {MTU: 1300},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			r := openFront(t, func(w http.ResponseWriter, q *http.Request) {
				runs.Add(1)
				echo(w, q)
			}, nil)
			relay, err := udp.Start(r.address(), 7)
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			c := r.caller("", nil)
			c.QUICConfig.DisablePathMTUDiscovery = true // what the caller sends is the caller's to fit
			body := strings.Repeat("trip ", 2000)
			for i := range 30 {
				if i == 10 {
					relay.SetFault(f)
				}
				if code, text, err := ask(c, "POST", relay.Address()+"/a", body); code != 200 || text != "/a "+body || err != nil {
					t.Fatalf("%d: %d, %d bytes, %v", i, code, len(text), err)
				}
			}
			if runs.Load() != 30 {
				t.Errorf("%d ran", runs.Load())
			}
		})
	}
}

// One whose answer is not read ends after its time, and others go on meanwhile.
func TestSlowReader(t *testing.T) {
	ended := make(chan bool, 1)
	r := openFront(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/large" {
			echo(w, q)
			return
		}
		for q.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 32<<10)); err != nil {
				break
			}
		}
		ended <- true
	}, func(_ *FrontSettings, b *Bounds, _ *Security) { b.WriteTimeout = 500 * time.Millisecond })
	c := r.caller("", nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, "GET", "https://"+r.address()+"/large", nil)
	res, err := c.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close() // nothing of it is read
	if code, _, err := ask(c, "GET", r.address()+"/", ""); code != 200 || err != nil {
		t.Errorf("another one: %d %v", code, err)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("it goes on writing")
	}
}

// Keys of session tickets change each day, and those of the neighbouring days go on: clocks may differ.
func TestTicketKeys(t *testing.T) {
	secret := []byte("0123456789abcdef0123456789abcdef")
	now := time.Unix(1_800_000_000, 0)
	today, tomorrow := ticketKeys(secret, now), ticketKeys(secret, now.Add(24*time.Hour))
	if today[0] == tomorrow[0] || today[0] != tomorrow[1] || today[2] != tomorrow[0] {
		t.Error("a ticket of today does not hold tomorrow, or at a clock that is ahead")
	}
	if ticketKeys([]byte("another secret"), now)[0] == today[0] {
		t.Error("the secret does not matter")
	}
	if deriveKey(secret, "token") == deriveKey(secret, "stateless reset") {
		t.Error("one key for two purposes")
	}
}

// A server that restarts tells its old callers at once that their connections are gone, where it has the same
// secret.
func TestRestartResetsOldConnections(t *testing.T) {
	r := openFront(t, echo, func(_ *FrontSettings, _ *Bounds, s *Security) { s.Secret = []byte("0123456789abcdef0123456789abcdef") })
	address := r.address()
	conf := &tls.Config{RootCAs: r.pool, ServerName: "front.example.org", NextProtos: []string{"h3"}}
	relay, err := udp.Start(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	conn, err := quic.DialAddr(context.Background(), relay.Address(), conf, &quic.Config{KeepAlivePeriod: 100 * time.Millisecond, MaxIdleTimeout: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.CloseWithError(0, "")
	if code, _, err := ask((&http3.Transport{}).NewClientConn(conn), "GET", relay.Address()+"/", ""); code != 200 || err != nil {
		t.Fatal(code, err)
	}
	relay.SetFault(udp.Fault{Blackhole: true}) // as with SIGKILL: nobody says goodbye
	relay.Rebind()                             // nor does what waits at the old port come through later
	r.close()
	r.start(address)
	relay.SetFault(udp.Fault{})
	select {
	case <-conn.Context().Done():
		if _, ok := errors.AsType[*quic.StatelessResetError](context.Cause(conn.Context())); !ok {
			t.Errorf("it ended with %v", context.Cause(conn.Context()))
		}
	case <-time.After(testTimeout):
		t.Error("the old connection goes on")
	}
}

// Clocks differ between a sidecar and the one that takes its place, by less than a day: tickets hold all the
// same. By more, the handshake is a full one, and the caller is served just as well.
func TestTicketsAndClocks(t *testing.T) {
	for _, skew := range []time.Duration{0, 23 * time.Hour, -23 * time.Hour, 72 * time.Hour} {
		var ahead atomic.Int64
		r := openFront(t, echo, func(c *FrontSettings, _ *Bounds, s *Security) {
			c.EarlyData = EarlySafe
			s.Secret = []byte("0123456789abcdef0123456789abcdef")
			s.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
		})
		address := r.address()
		cache := tls.NewLRUClientSessionCache(10)
		c := r.caller("", cache)
		if code, _, err := ask(c, "GET", address+"/", ""); code != 200 || err != nil {
			t.Fatal(code, err)
		}
		time.Sleep(50 * time.Millisecond) // for the ticket
		c.Close()
		r.close()
		ahead.Store(int64(skew))
		r.start(address)
		conf := &tls.Config{RootCAs: r.pool, ServerName: "front.example.org", NextProtos: []string{"h3"}, ClientSessionCache: cache}
		conn, err := quic.DialAddr(context.Background(), address, conf, nil)
		if err != nil {
			t.Fatalf("skew %v: %v", skew, err)
		}
		if got, want := conn.ConnectionState().TLS.DidResume, skew.Abs() < 24*time.Hour; got != want {
			t.Errorf("skew %v: resumed %v", skew, got)
		}
		if code, _, err := ask((&http3.Transport{}).NewClientConn(conn), "GET", address+"/", ""); code != 200 || err != nil {
			t.Errorf("skew %v: %d %v", skew, code, err)
		}
		conn.CloseWithError(0x100, "")
		r.close()
	}
}
