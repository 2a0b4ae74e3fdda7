package standalone

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qh3 "github.com/quic-go/quic-go/http3"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/network/exchange"
	"quincegap/internal/network/http1"
	"quincegap/internal/standin/h3"
)

// patience bounds what a test waits for; it only passes when something is wrong.
const patience = 20 * time.Second

const settingsText = `{"allowed":{"cancel":true,"connIdle":30000000,"connectTimeout":2000000,"maxRetryAfter":2000000,
	"mayProbe":true,"openCap":1000,"peers":false,"retryAfter":true,"secondCopies":false,"sendCap":5},
	"clientHabits":{"marksRetry":false},"discovery":"push","instances":1,"ordinal":0,"quantum":5000,"stage":0,
	"rules":{"cold":1000000,"coldFrom":0.3,"drainGrace":250000,"fall":1000000,"graceToAnswer":20000,"tipMultiple":3},
	"services":[
	{"name":"read","aim":9000000,"deadline":10000000,"effect":"read_like","gain":1,"window":0},
	{"name":"book","aim":9000000,"deadline":10000000,"effect":"idempotency_key","keyScope":"cell","gain":1,"window":10000000},
	{"name":"once","aim":9000000,"deadline":10000000,"effect":"non_idempotent","gain":1,"window":0}],
	"tenants":[],"tiers":["front"],"zones":["z"],"models":["m"]}`

// rig is a sidecar on loopback sockets, with a discovery that the test writes to.
type rig struct {
	t       *testing.T
	file    string // its configuration
	server  *server
	url     string
	lists   chan string // lines for the watch
	signals chan os.Signal
	reloads chan os.Signal
	ended   chan error
	txn     atomic.Int64
	h3      *qh3.Transport // see client
}

// start runs a sidecar, the only one of its tier, that knows the given endpoints.
func start(t *testing.T, sockets int, targets ...listedEndpoint) *rig {
	t.Helper()
	return startOneOf(t, 1, sockets, targets...)
}

// startOneOf runs one of several sidecars of a tier.
func startOneOf(t *testing.T, instances, sockets int, targets ...listedEndpoint) *rig {
	t.Helper()
	rg := &rig{
		t: t, lists: make(chan string, 16), signals: make(chan os.Signal, 1),
		reloads: make(chan os.Signal, 1), ended: make(chan error, 1),
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		for {
			http.NewResponseController(w).Flush()
			select {
			case line := <-rg.lists:
				fmt.Fprintln(w, line)
			case <-r.Context().Done():
				return
			}
		}
	}))
	known, _ := json.Marshal(endpointList{Rev: 1, All: true, Targets: targets})
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		discovery.Listener.Addr(), sockets, known,
		strings.Replace(settingsText, `"instances":1,`, fmt.Sprintf(`"instances":%d,`, instances), 1))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	rg.file = file
	config, err := LoadConfig(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": file, "BALANCER_DISCOVERY": discovery.Listener.Addr().String()}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	currentProtocols.apply(t, config)
	l, err := newLoop(config)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	if rg.server, err = newServer(config, l, listener); err != nil {
		t.Fatal(err)
	}
	rg.url = "http://" + listener.Addr().String()
	go func() { rg.ended <- rg.server.run(listener.Addr(), rg.signals, rg.reloads) }()
	t.Cleanup(func() {
		rg.inLoop(func() { l.watcher.stop() })
		close(rg.reloads)
		for _, f := range rg.server.fronts {
			f.Close()
		}
		discovery.CloseClientConnections()
		discovery.Close()
	})
	rg.until("ready", func() bool {
		r, err := http.Get(rg.url + "/ready")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	return rg
}

func (rg *rig) front() *http1.Front { return rg.server.fronts[0].(*http1.Front) }

func (rg *rig) maxConnections() int {
	_, _, _, most := rg.front().Counts()
	return most
}

// until waits for something that shows by itself.
func (rg *rig) until(what string, done func() bool) {
	rg.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			rg.t.Fatalf("never: %s", what)
		}
	}
}

// setShutdown sets how long the sidecar serves after it was told to stop, and its hand-over.
func (rg *rig) setShutdown(d, handOver time.Duration) {
	t := *rg.server.tuning.Load()
	t.stop = Stop{KillGrace: d + t.stop.KillMargin, KillMargin: t.stop.KillMargin, HandOver: handOver}
	rg.server.tuning.Store(&t)
}

// inLoop reads state that the loop owns.
func (rg *rig) inLoop(f func()) {
	done := make(chan bool)
	rg.server.loop.post(func() { f(); close(done) })
	<-done
}

// request is a request of a class as a client words it.
func (rg *rig) request(class string, left time.Duration) *http.Request {
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	_, base := rg.client()
	r, err := http.NewRequest(method, base+"/api?x=1&y=%2F", nil)
	if err != nil {
		rg.t.Fatal(err)
	}
	if method == http.MethodPost {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("trip")), 4
	}
	r.Header.Set("X-Txn", fmt.Sprintf("txn%d", rg.txn.Add(1)))
	r.Header.Set("X-Lane", class)
	r.Header.Set("X-Remaining", fmt.Sprintf("%dm", left.Milliseconds()))
	if class == "book" {
		r.Header.Set("Idempotency-Key", "k1")
	}
	return r
}

// ask sends a request and returns the status and body of its answer.
func (rg *rig) ask(r *http.Request) (int, string) {
	rg.t.Helper()
	c, _ := rg.client()
	res, err := c.RoundTrip(r)
	if err != nil {
		rg.t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		rg.t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// startEndpoint is an endpoint that answers as the test says.
func startEndpoint(t *testing.T, uid string, serve http.HandlerFunc) listedEndpoint {
	t.Helper()
	return listedEndpoint{UID: uid, Address: listenEndpoint(t, serve), Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1}
}

// closeConnection ends a connection without an answer.
func closeConnection(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		c.Close()
	} else {
		h3.Reset(w, qh3.ErrCodeInternalError)
	}
}

// awaitCancel blocks until the sidecar has given the attempt up.
func awaitCancel(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestRequestGoesOnUnchanged(t *testing.T) { overEach(t, ruleRequestGoesOnUnchanged) }

func ruleRequestGoesOnUnchanged(t *testing.T) {
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		left, ok := parseRemaining(r.Header.Get("X-Remaining"))
		if !ok || left <= 0 || left >= 5*time.Second {
			t.Errorf("X-Remaining %q", r.Header.Get("X-Remaining"))
		}
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Txn"), " ", r.Header.Get("Idempotency-Key"), " ", string(body))
	}))
	status, body := rg.ask(rg.request("book", 5*time.Second))
	if want := "POST /api?x=1&y=%2F txn1 k1 trip"; status != 200 || body != want {
		t.Errorf("got %d %q, want %q", status, body, want)
	}
	if status, body = rg.ask(rg.request("read", 5*time.Second)); status != 200 || body != "GET /api?x=1&y=%2F txn2  " {
		t.Errorf("got %d %q", status, body)
	}
}

// raw sends text as it is on a connection of its own, and returns the status of the answer; 0 for a close.
func (rg *rig) raw(text string) (status int, c *net.TCPConn) {
	rg.t.Helper()
	dialed, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		rg.t.Fatal(err)
	}
	c = dialed.(*net.TCPConn)
	rg.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, text)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, c
	}
	return res.StatusCode, c
}

// What stands in the body of a request with both lengths is not to be taken for a request by anybody: the
// request goes nowhere, and its connection ends.
func TestRequestInsideAnotherIsNotPassedOn(t *testing.T) {
	var came atomic.Int64
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) { came.Add(1) }))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: book\r\nX-Remaining: 900m\r\nIdempotency-Key: k\r\n"
	inner := fmt.Sprintf(head, "inner") + "Content-Length: 0\r\n\r\n"
	for _, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(inner), inner),
		fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n0\r\n\r\n%s", 5+len(inner), inner),
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n" + inner,
		"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + inner,
		"Content-Length: 0\r\nContent-Length: 9\r\n\r\n" + inner,
		"Content-Length: -1\r\n\r\n" + inner,
	} {
		status, c := rg.raw(fmt.Sprintf(head, "outer") + framing)
		if status < 400 {
			t.Errorf("%.60q: answered %d", framing, status)
		}
		if rest, _ := io.ReadAll(c); strings.Contains(string(rest), "HTTP/1.1 ") {
			t.Errorf("%.60q: a second answer %q", framing, rest)
		}
	}
	if came.Load() != 0 {
		t.Errorf("%d requests reached the endpoint", came.Load())
	}
}

// A client that closes its side has gone away; an empty 200 would be an answer that no endpoint made.
func TestHalfClosedClientGetsNoAnswer(t *testing.T) {
	came := make(chan bool)
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		close(came)
		awaitCancel(r)
	}))
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	rg.request("once", 9*time.Second).Write(c)
	<-came
	c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("answered %q", got)
	}
}

func TestBadInputNeverReachesAnEndpoint(t *testing.T) {
	overEach(t, ruleBadInputNeverReachesAnEndpoint)
}

func ruleBadInputNeverReachesAnEndpoint(t *testing.T) {
	var came atomic.Int64
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) { came.Add(1) }))
	large := strings.Repeat("x", exchange.MaxBody+1)
	for name, c := range map[string]struct {
		spoil func(r *http.Request)
		want  int
	}{
		"unknown class":         {func(r *http.Request) { r.Header.Set("X-Lane", "freight") }, 400},
		"no class":              {func(r *http.Request) { r.Header.Del("X-Lane") }, 400},
		"no id":                 {func(r *http.Request) { r.Header.Del("X-Txn") }, 400},
		"no key":                {func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"no time":               {func(r *http.Request) { r.Header.Del("X-Remaining") }, 400},
		"no unit":               {func(r *http.Request) { r.Header.Set("X-Remaining", "480") }, 400},
		"not a number":          {func(r *http.Request) { r.Header.Set("X-Remaining", "NaNm") }, 400},
		"negative time":         {func(r *http.Request) { r.Header.Set("X-Remaining", "-5m") }, 400},
		"time with an exponent": {func(r *http.Request) { r.Header.Set("X-Remaining", "1e2m") }, 400},
		"time with a sign":      {func(r *http.Request) { r.Header.Set("X-Remaining", "+100m") }, 400},
		"two ids":               {func(r *http.Request) { r.Header.Add("X-Txn", "other") }, 400},
		"two classes":           {func(r *http.Request) { r.Header.Add("X-Lane", "once") }, 400},
		"two times":             {func(r *http.Request) { r.Header.Add("X-Remaining", "9m") }, 400},
		"long id":               {func(r *http.Request) { r.Header.Set("X-Txn", strings.Repeat("x", maxIDBytes+1)) }, 400},
		"other method":          {func(r *http.Request) { r.Method = "PUT" }, 400},
		"other host":            {func(r *http.Request) { r.URL.Opaque = "http://other/api" }, 400},
		"boundless time":        {func(r *http.Request) { r.Header.Set("X-Remaining", "1e300m") }, 400},
		"large body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(large)), int64(len(large))
		}, 413},
		"large body without a length": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(large)), -1
		}, 411},
	} {
		if name == "other host" && currentProtocols.front == "http3" {
			continue // it cannot be said there
		}
		r := rg.request("book", 5*time.Second)
		c.spoil(r)
		if status, body := rg.ask(r); status != c.want {
			t.Errorf("%s: got %d %q, want %d", name, status, body, c.want)
		}
	}
	if came.Load() != 0 {
		t.Errorf("%d requests reached the endpoint", came.Load())
	}
}

// A request that may have run is not sent again by itself, not even with an Idempotency-Key, and is not refused.
func TestResetIsNotResent(t *testing.T) { overEach(t, ruleResetIsNotResent) }

func ruleResetIsNotResent(t *testing.T) {
	var came atomic.Int64
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if came.Add(1) == 1 {
			fmt.Fprint(w, "warm") // so that the next one goes out on a connection that has been used
			return
		}
		io.Copy(io.Discard, r.Body)
		closeConnection(w)
	}))
	if status, _ := rg.ask(rg.request("once", 5*time.Second)); status != 200 {
		t.Fatal(status)
	}
	r := rg.request("once", 5*time.Second)
	r.Header.Set("Idempotency-Key", "k")
	if status, body := rg.ask(r); status != 502 || came.Load() != 2 {
		t.Errorf("got %d %q after %d requests", status, body, came.Load())
	}
}

// A keyed request that may have run goes on in the group that drops its repeats only.
func TestKeyedRetryStaysInItsCell(t *testing.T) { overEach(t, ruleKeyedRetryStaysInItsCell) }

func ruleKeyedRetryStaysInItsCell(t *testing.T) {
	var tries, strays atomic.Int64
	broken := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if tries.Add(1) == 1 {
			closeConnection(w)
			return
		}
		fmt.Fprint(w, "ok")
	}
	a, b := startEndpoint(t, "s-1", broken), startEndpoint(t, "s-2", broken)
	other := startEndpoint(t, "s-3", func(w http.ResponseWriter, r *http.Request) {
		strays.Add(1)
		fmt.Fprint(w, "ok")
	})
	other.Cell = 2
	rg := start(t, 1024, a, b, other)
	for i := 0; tries.Load() == 0 && i < 100; i++ {
		strays.Store(0)
		if status, body := rg.ask(rg.request("book", 9*time.Second)); status != 200 {
			t.Fatalf("got %d %q", status, body)
		}
	}
	if tries.Load() != 2 || strays.Load() != 0 {
		t.Errorf("%d tries in the cell, %d outside of it", tries.Load(), strays.Load())
	}
}

func TestTurnedAwayGoesElsewhereAndPlain503MayHaveRun(t *testing.T) {
	overEach(t, ruleTurnedAwayGoesElsewhereAndPlain503MayHaveRun)
}

func ruleTurnedAwayGoesElsewhereAndPlain503MayHaveRun(t *testing.T) {
	var plain atomic.Bool
	full := func(w http.ResponseWriter, r *http.Request) {
		if !plain.Load() {
			w.Header().Set("X-Turned-Away", "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	rg := start(t, 1024, startEndpoint(t, "s-1", full), startEndpoint(t, "s-2", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "ok")
	}))
	for range 10 {
		if status, body := rg.ask(rg.request("once", 5*time.Second)); status != 200 {
			t.Fatalf("got %d %q", status, body)
		}
	}
	rg = start(t, 1024, startEndpoint(t, "s-1", full))
	plain.Store(true)
	if status, body := rg.ask(rg.request("once", 5*time.Second)); status != 502 {
		t.Errorf("got %d %q: a refusal promises that it has not run", status, body)
	}
}

// What a mute endpoint leaves unanswered fails, and what was never sent is refused, before the deadline.
func TestAnswerIsOutBeforeTheDeadline(t *testing.T) { overEach(t, ruleAnswerIsOutBeforeTheDeadline) }

func ruleAnswerIsOutBeforeTheDeadline(t *testing.T) {
	const left = 1500 * time.Millisecond
	mute := startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) { awaitCancel(r) })
	draining := mute
	draining.State = "Terminating"
	for want, targets := range map[int][]listedEndpoint{502: {mute}, 503: {draining}} {
		rg := start(t, 1024, targets...)
		// The caller's time counts from when it can send: a handshake beforehand is not the sidecar's to answer for.
		ready := rg.request("read", left)
		ready.URL.Path = "/ready"
		ready.Header.Del("X-Txn")
		rg.ask(ready)
		sent := time.Now()
		if status, body := rg.ask(rg.request("once", left)); status != want {
			t.Errorf("got %d %q, want %d", status, body, want)
		}
		if took := time.Since(sent); took >= left {
			t.Errorf("answered %d after %v of %v", want, took, left)
		}
	}
}

// The endpoint must see that nobody waits any more, and the Balancer too.
func TestClientGoneEndsTheAttempt(t *testing.T) { overEach(t, ruleClientGoneEndsTheAttempt) }

func ruleClientGoneEndsTheAttempt(t *testing.T) {
	came, ended := make(chan bool), make(chan bool)
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		close(came)
		awaitCancel(r)
		close(ended)
	}))
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan bool)
	go func() {
		defer close(left)
		c, _ := rg.client()
		if res, err := c.RoundTrip(rg.request("once", 9*time.Second).WithContext(ctx)); err == nil {
			t.Errorf("answered %d", res.StatusCode)
			res.Body.Close()
		}
	}()
	<-came
	leave()
	<-left
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt is still out")
	}
	rg.until("the request is forgotten", func() bool {
		n := 0
		rg.inLoop(func() {
			open, _ := rg.server.loop.http1.Counts()
			n = len(rg.server.loop.requests) + open
		})
		return n == 0
	})
}

// A connection that its endpoint has closed while it was idle carries nothing.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	var conns atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") }))
	closed := make(chan bool, 8)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			conns.Add(1)
		case http.StateClosed:
			closed <- true
		}
	}
	s.Start()
	defer s.Close()
	rg := start(t, 1024, listedEndpoint{UID: "s-1", Address: s.Listener.Addr().String(), State: "Ready", Weight: 1})
	for range 3 {
		if status, _ := rg.ask(rg.request("once", 5*time.Second)); status != 200 {
			t.Fatal(status)
		}
		rg.until("the connection is idle", func() (idle bool) {
			rg.inLoop(func() { _, n := rg.server.loop.http1.Counts(); idle = n == 1 })
			return idle
		})
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections for three requests in turn", conns.Load())
	}
	s.CloseClientConnections()
	<-closed
	if status, body := rg.ask(rg.request("once", 5*time.Second)); status != 200 || conns.Load() != 2 {
		t.Errorf("got %d %q on %d connections", status, body, conns.Load())
	}
}

// Once discovery says that an endpoint drains, nothing new goes there.
func TestDrainIsKept(t *testing.T) { overEach(t, ruleDrainIsKept) }

func ruleDrainIsKept(t *testing.T) {
	count := func(n *atomic.Int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			fmt.Fprint(w, "ok")
		}
	}
	var old, other atomic.Int64
	a, b := startEndpoint(t, "s-1", count(&old)), startEndpoint(t, "s-2", count(&other))
	rg := start(t, 1024, a, b)
	for old.Load() == 0 {
		rg.ask(rg.request("once", 5*time.Second))
	}
	a.State = "Terminating"
	line, _ := json.Marshal(endpointList{Rev: 2, Targets: []listedEndpoint{a}})
	rg.lists <- string(line)
	rg.until("the change is taken in", func() (done bool) {
		rg.inLoop(func() { done = rg.server.loop.versionFilter.Version == 2 })
		return done
	})
	before := old.Load()
	for range 10 {
		rg.ask(rg.request("once", 5*time.Second))
	}
	if old.Load() != before || other.Load() == 0 {
		t.Errorf("%d requests went to the draining endpoint", old.Load()-before)
	}
	idle := true
	rg.inLoop(func() {
		idle = rg.server.loop.http1.IdleAt(a.Address) == 0
	})
	if !idle {
		t.Error("connections to it are kept")
	}
}

// connect makes n connections that have had one answer and stand idle.
func (rg *rig) connect(n int) (idles []*net.TCPConn) {
	rg.t.Helper()
	for range n {
		_, c := rg.raw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		idles = append(idles, c)
	}
	rg.until("only these are open, and idle", func() bool {
		http.DefaultClient.CloseIdleConnections()
		open, idle, _, _ := rg.front().Counts()
		return idle == n && open == n
	})
	return idles
}

// shutDown tells the sidecar to stop, and waits until it has heard.
func (rg *rig) stop() {
	rg.t.Helper()
	rg.signals <- syscall.SIGTERM
	rg.until("it stops", func() bool { return rg.server.shutdownAt.Load() != nil })
}

// awaitEnd waits for the sidecar to end by itself.
func (rg *rig) awaitEnd() {
	rg.t.Helper()
	select {
	case err := <-rg.ended:
		if err != nil {
			rg.t.Error(err)
		}
	case <-time.After(patience):
		rg.t.Error("it never ended")
	}
}

// send writes a request to a connection that was used before, and returns its answer; nil where there is none.
func (rg *rig) send(c *net.TCPConn, r *http.Request) *http.Response {
	c.SetDeadline(time.Now().Add(patience))
	if err := r.Write(c); err != nil {
		return nil
	}
	res, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, res.Body)
	return res
}

// A sidecar that was told to stop goes on serving callers on the connections that they have: they may have
// nobody else. It accepts what still comes, loses nothing, and ends when all have gone.
func TestStopServesOpenConnections(t *testing.T) {
	came, serve := make(chan bool), make(chan bool)
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		came <- true
		<-serve
		fmt.Fprint(w, "ok")
	}))
	rg.server.quietPeriod = time.Millisecond
	rg.setShutdown(time.Hour, 0)
	idles := rg.connect(5)
	answer := make(chan *http.Response)
	ask := func(c *net.TCPConn) { answer <- rg.send(c, rg.request("once", 9*time.Second)) }
	go ask(idles[0])
	<-came
	rg.stop()
	close(serve)
	if res := <-answer; res == nil || res.StatusCode != 200 {
		t.Errorf("what was out at the signal: answer %+v", res)
	}
	for range 3 {
		go ask(idles[1])
		<-came
		if res := <-answer; res == nil || res.StatusCode != 200 || res.Close {
			t.Errorf("on an open connection: answer %+v", res)
		}
	}
	late, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	go ask(late.(*net.TCPConn))
	<-came
	if res := <-answer; res == nil || res.StatusCode != 200 {
		t.Errorf("on a new connection: answer %+v", res)
	}
	late.Close()
	for _, c := range idles {
		c.Close()
	}
	rg.awaitEnd()
}

// All that a stopping sidecar has taken is answered before it is killed: requests from before the signal are
// called off at its end, and those that come later tell endpoints no more time than is left.
func TestStopAnswersAllInTime(t *testing.T) {
	const linger = 3 * time.Second
	came, gaveUp := make(chan string, 2), make(chan bool, 2)
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		came <- r.Header.Get("X-Remaining")
		awaitCancel(r)
		gaveUp <- true
	}))
	rg.setShutdown(linger, 700*time.Millisecond)
	idles := rg.connect(5)
	answer := make(chan *http.Response, 2)
	ask := func(c *net.TCPConn) { answer <- rg.send(c, rg.request("once", time.Minute)) }
	go ask(idles[0])
	<-came
	rg.stop()
	go ask(idles[1])
	if left, ok := parseRemaining(<-came); !ok || left > linger {
		t.Errorf("an endpoint is told of %v", left)
	}
	for range 2 {
		// Nothing but the sidecar's end ends these: the endpoint is silent.
		if res := <-answer; res == nil || res.StatusCode != http.StatusBadGateway || !res.Close {
			t.Errorf("answer %+v", res)
		}
		<-gaveUp
	}
	if now := time.Now(); now.Before(*rg.server.shutdownAt.Load()) || now.After(rg.server.shutdownAt.Load().Add(linger)) {
		t.Errorf("given up %v after the end", now.Sub(*rg.server.shutdownAt.Load()))
	}
	rg.awaitEnd()
}

// Callers open no new connections to a sidecar that stops. One that finds all in use finds nobody, so the
// only sidecar turns requests away, with word when to come back, before that.
func TestStopKeepsConnectionsIdle(t *testing.T) {
	came := make(chan bool, 1)
	one := startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "read" {
			came <- true
			awaitCancel(r)
		}
	})
	for _, c := range []struct{ idles, instances, status int }{
		{2, 1, http.StatusServiceUnavailable}, {3, 1, http.StatusOK}, {0, 2, http.StatusOK},
	} {
		rg := startOneOf(t, c.instances, 1024, one)
		rg.setShutdown(time.Hour, 700*time.Millisecond)
		if status, _ := rg.ask(rg.request("once", 9*time.Second)); status != http.StatusOK {
			t.Fatalf("before the stop: %d", status)
		}
		conns := rg.connect(2 + c.idles)
		go rg.send(conns[0], rg.request("read", 9*time.Second))
		<-came
		rg.stop()
		res := rg.send(conns[1], rg.request("once", 9*time.Second))
		if res == nil || res.StatusCode != c.status || (res.Header.Get("Retry-After") == "") != (c.status == 200) {
			t.Errorf("with %d idle and %d instances: %+v", c.idles, c.instances, res)
		}
	}
}

// A call that its endpoint never answers, though it answers others, goes to another one while there is time.
func TestLostCallsGoElsewhere(t *testing.T) { overEach(t, ruleLostCallsGoElsewhere) }

func ruleLostCallsGoElsewhere(t *testing.T) {
	const deadline = 9 * time.Second
	var lose atomic.Int32 // so many calls
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "book" && lose.Add(-1) >= 0 {
			awaitCancel(r)
			return
		}
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, "ok")
	}
	rg := start(t, 1024, startEndpoint(t, "s-1", serve), startEndpoint(t, "s-2", serve))
	for range 20 { // so that it is known how long calls take
		rg.ask(rg.request("book", deadline))
	}
	var others sync.WaitGroup
	defer others.Wait()
	done := make(chan bool)
	defer close(done)
	for range 4 {
		others.Go(func() { // overtake the lost ones, at both endpoints
			for {
				select {
				case <-done:
					return
				default:
					rg.ask(rg.request("read", deadline))
				}
			}
		})
	}
	lose.Store(2)
	began, answer := time.Now(), make(chan int)
	for range 2 {
		go func() {
			status, _ := rg.ask(rg.request("book", deadline))
			answer <- status
		}()
	}
	for range 2 {
		if status := <-answer; status != http.StatusOK {
			t.Errorf("status %d after %v", status, time.Since(began))
		}
	}
}

// Where there are other sidecars, one that stops sends its callers there while it still answers what it has.
func TestStopHandsOver(t *testing.T) {
	came, serve := make(chan bool), make(chan bool)
	rg := startOneOf(t, 2, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		came <- true
		<-serve
		fmt.Fprint(w, "ok")
	}))
	rg.server.quietPeriod = time.Millisecond
	rg.setShutdown(time.Hour, time.Hour)
	idles := rg.connect(2)
	answer := make(chan *http.Response)
	go func() { answer <- rg.send(idles[0], rg.request("once", 9*time.Second)) }()
	<-came
	rg.stop()
	idles[1].SetDeadline(time.Now().Add(patience))
	if _, err := idles[1].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	close(serve)
	if res := <-answer; res == nil || res.StatusCode != 200 || !res.Close {
		t.Errorf("answer %+v", res)
	}
	rg.awaitEnd()
}

// An id is one request's. Another request with it, while it is out or shortly after, is turned away and goes
// nowhere: endpoints would run it twice, or blame themselves for it.
func TestTakenIDIsTurnedAway(t *testing.T) { overEach(t, ruleTakenIDIsTurnedAway) }

func ruleTakenIDIsTurnedAway(t *testing.T) {
	came, serve := make(chan bool, 8), make(chan bool)
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		came <- true
		<-serve
		fmt.Fprint(w, "ok")
	}))
	first := rg.request("once", 9*time.Second)
	id := first.Header.Get("X-Txn")
	done := make(chan int)
	go func() {
		status, _ := rg.ask(first)
		done <- status
	}()
	<-came
	again := func() int {
		r := rg.request("once", 9*time.Second)
		r.Header.Set("X-Txn", id)
		status, _ := rg.ask(r)
		return status
	}
	if status := again(); status != http.StatusBadGateway {
		t.Errorf("got %d while the first is open", status)
	}
	close(serve)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the first one got %d", status)
	}
	if status := again(); status != http.StatusBadGateway || len(came) > 0 {
		t.Errorf("got %d after the first, with %d requests more at the endpoint", status, len(came))
	}
}

// Endpoints, connections and requests come and go; nothing is kept of what has gone.
func TestTablesEndEmpty(t *testing.T) {
	rg := start(t, 1024, ready("s-ffffffff", 0))
	l := rg.server.loop
	tell := func(rev uint64, all bool, targets ...listedEndpoint) {
		line, _ := json.Marshal(endpointList{Rev: rev, All: all, Targets: targets})
		rg.lists <- string(line)
		rg.until("the list is taken in", func() (done bool) {
			rg.inLoop(func() { done = l.versionFilter.Version == rev })
			return done
		})
	}
	full := l.bodyBudget.Available()
	rev := uint64(1)
	for i := range 20 {
		x := startEndpoint(t, fmt.Sprintf("s-%08x", i), func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") })
		rev++
		tell(rev, i%2 == 0, x)
		if status, body := rg.ask(rg.request("once", 9*time.Second)); status != 200 {
			t.Fatalf("got %d %q", status, body)
		}
		if rev++; i%4 < 2 {
			x.State = "Gone"
			tell(rev, false, x)
		} else {
			tell(rev, true)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	rg.until("all is forgotten", func() (done bool) {
		rg.inLoop(func() {
			e := l.endpoints
			open, idle := l.http1.Counts()
			done = len(e.byID)+len(e.ids)+idle+open+len(l.requests) == 0 && l.bodyBudget.Available() == full
		})
		open, _, staged, _ := rg.front().Counts()
		return done && staged == 0 && open == 0
	})
	var past recentIDs
	for i := range 3 * maxRecentIDs {
		past.add(balancer.RequestID(fmt.Sprint(i)), 0)
	}
	past.add("last", 2*recentIDRetention)
	if len(past.endedAt) != 1 || len(past.ids) != 1 || past.has("1", 2*recentIDRetention) || !past.has("last", 2*recentIDRetention) {
		t.Errorf("%d ids are kept", len(past.endedAt))
	}
}

// Connections that say nothing are in nobody's way: they go before idle ones, and are closed in time.
func TestMuteCallersMakeRoom(t *testing.T) {
	rg := start(t, appfile.LeastSockets, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") }))
	http.DefaultClient.CloseIdleConnections()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		return c
	}
	usual := dial()
	reader := bufio.NewReader(usual)
	ask := func() {
		t.Helper()
		rg.request("once", 9*time.Second).Write(usual)
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("the usual client got %v, %v", res, err)
		}
		io.Copy(io.Discard, res.Body)
	}
	ask()
	var crowd []net.Conn
	for range 5 * rg.maxConnections() {
		crowd = append(crowd, dial())
	}
	ask()
	if status, _ := rg.ask(rg.request("once", 9*time.Second)); status != 200 {
		t.Errorf("a new client got %d", status)
	}
	for i, c := range crowd {
		if got, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("mute connection %d got %q, %v", i, got, err)
		}
	}
}

// What does not come whole in time gets an error or a close, however it is cut.
func TestSlowRequestsEnd(t *testing.T) {
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) { t.Error("it was passed on") }))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nX-Lane: once\r\nX-Remaining: 900m\r\n"
	ended := make(chan bool)
	texts := []string{"", "POST", head, head + "Content-Length: 9\r\n\r\n", head + "Content-Length: 9\r\n\r\nabc"}
	began := time.Now()
	for _, text := range texts {
		go func() {
			if status, _ := rg.raw(text); status > 0 && status < 400 {
				t.Errorf("%.80q: got %d", text, status)
			}
			ended <- true
		}()
	}
	for range texts {
		<-ended
	}
	if took := time.Since(began); took > CallersTable.Default().RequestTimeout+patience/4 {
		t.Errorf("took %v", took)
	}
}

// Accepting goes on when connections use up their share: the one that has been idle the longest goes.
func TestIdleCallersMakeRoom(t *testing.T) {
	rg := start(t, appfile.LeastSockets, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") }))
	var first net.Conn
	for i := range 3 * rg.maxConnections() {
		c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i == 0 {
			first = c
		}
		c.SetDeadline(time.Now().Add(patience))
		rg.request("once", 5*time.Second).Write(c)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("connection %d: %v %v", i, res, err)
		}
		io.Copy(io.Discard, res.Body)
	}
	first.SetDeadline(time.Now().Add(patience))
	if n, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the first connection: %d bytes, %v", n, err)
	}
	rg.until("open connections are within their share", func() bool {
		open, _, _, most := rg.front().Counts()
		return open <= most
	})
}

// When all connections are busy, the next caller gets an answer all the same: cutting it off would lose what
// it has sent. Nothing of it has run, so it is refused.
func TestCallerBeyondTheBoundIsAnswered(t *testing.T) {
	serve := make(chan bool)
	rg := start(t, appfile.LeastSockets, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		<-serve
		fmt.Fprint(w, "ok")
	}))
	rg.front().SetMaxConnections(2) // as if the machine were that small
	dial := func() net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		rg.request("once", 9*time.Second).Write(c)
		return c
	}
	status := func(c net.Conn) int {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	var taken []net.Conn
	for i := range 2 {
		c := dial()
		defer c.Close()
		taken = append(taken, c)
		rg.until("it is taken", func() (done bool) {
			rg.inLoop(func() { done = len(rg.server.loop.requests) == i+1 })
			return done
		})
	}
	extra := dial()
	defer extra.Close()
	if got := status(extra); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
	close(serve)
	for _, c := range taken {
		if got := status(c); got != http.StatusOK {
			t.Errorf("a request that was taken got %d", got)
		}
	}
}

func TestConfigFaultsAreNamed(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1","limits":{"cores":1,"memory_mb":9,"sockets":99},"settings":` + settingsText + `}`
	file := filepath.Join(t.TempDir(), "c.json")
	load := func(text string) error {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadConfig(func(name string) string { return map[string]string{"BALANCER_CONFIG": file}[name] })
		return err
	}
	if err := load(good); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string][2]string{
		"listen":          {"127.0.0.1:1", "nowhere"},
		"discovery":       {"127.0.0.1:2", ""},
		"seed":            {`"a1"`, `"xyz"`},
		"name":            {`"n"`, `""`},
		"cores":           {`"cores":1`, `"cores":0`},
		"memory_mb":       {`"memory_mb":9`, `"memory_mb":-1`},
		"sockets":         {`"sockets":99`, `"sockets":9`},
		"connectTimeout":  {`"connectTimeout":2000000`, `"connectTimeout":0`},
		"unexpected end":  {"}]", ""},
		"settings object": {`"cancel":true`, `"cancel":7`},
	} {
		err := load(strings.Replace(good, change[0], change[1], 1))
		if want == "unexpected end" {
			err = load(good[:len(good)/2])
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", want, err)
		}
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("no configuration, and no fault")
	}
}
