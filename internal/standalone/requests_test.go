package standalone

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/network/exchange"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	forEachProtocol(t, testRequestIsForwardedUnchanged)
}

func testRequestIsForwardedUnchanged(t *testing.T) {
	t.Helper()
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		left, ok := parseRemaining(r.Header.Get("X-Remaining"))
		if !ok || left <= 0 || left >= 5*time.Second {
			t.Errorf("forwarded X-Remaining: got %q, want above 0 and below 5 s", r.Header.Get("X-Remaining"))
		}
		write(w, r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Txn"), " ", r.Header.Get("Idempotency-Key"), " ", string(body))
	}))
	status, body := sidecar.call(sidecar.request("book", 5*time.Second))
	if want := "POST /api?x=1&y=%2F txn1 k1 trip"; status != 200 || body != want {
		t.Errorf("keyed request: got status %d, body %q; want 200, %q", status, body, want)
	}
	if status, body = sidecar.call(sidecar.request("read", 5*time.Second)); status != 200 || body != "GET /api?x=1&y=%2F txn2  " {
		t.Errorf("idempotent request: got status %d, body %q; want 200 and the request line", status, body)
	}
}

// A request with an ambiguous length may hide another request in its body (request smuggling). It is not forwarded, and its connection
// is closed.
func TestRequestInsideAnotherIsNotForwarded(t *testing.T) {
	var arrived atomic.Int64
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, _ *http.Request) { arrived.Add(1) }))
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
		status, c := sidecar.sendRaw(fmt.Sprintf(head, "outer") + framing)
		if status < 400 {
			t.Errorf("%.60q: got status %d, want 400 or above", framing, status)
		}
		if rest, _ := io.ReadAll(c); strings.Contains(string(rest), "HTTP/1.1 ") {
			t.Errorf("%.60q: got a second answer on the connection: %q", framing, rest)
		}
	}
	if arrived.Load() != 0 {
		t.Errorf("%d requests reached the endpoint, want none", arrived.Load())
	}
}

// A caller that closes its side of the connection counts as disconnected and gets no answer. Returning from the handler would send an
// empty 200, which no endpoint has sent.
func TestHalfClosedClientGetsNoAnswer(t *testing.T) {
	arrived := make(chan bool)
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		awaitCancel(r)
	}))
	c := sidecar.dial()
	c.writeRequest(sidecar.request("once", 9*time.Second))
	<-arrived
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("half-closed connection: got answer %q, want none", got)
	}
}

func TestBadInputNeverReachesAnEndpoint(t *testing.T) {
	forEachProtocol(t, testBadInputNeverReachesAnEndpoint)
}

func testBadInputNeverReachesAnEndpoint(t *testing.T) {
	t.Helper()
	var arrived atomic.Int64
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, _ *http.Request) { arrived.Add(1) }))
	large := strings.Repeat("x", exchange.MaxBody+1)
	for name, test := range map[string]struct {
		change func(r *http.Request)
		want   int
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
			continue // HTTP/3 has no request line with an absolute URL
		}
		r := sidecar.request("book", 5*time.Second)
		test.change(r)
		if status, body := sidecar.call(r); status != test.want {
			t.Errorf("%s: got status %d, body %q; want %d", name, status, body, test.want)
		}
	}
	if arrived.Load() != 0 {
		t.Errorf("%d requests reached the endpoint, want none", arrived.Load())
	}
}

// A request of a class that is not idempotent is not retried once it may have run, not even with an Idempotency-Key, and is not
// rejected.
func TestResetIsNotResent(t *testing.T) { forEachProtocol(t, testResetIsNotResent) }

func testResetIsNotResent(t *testing.T) {
	t.Helper()
	var arrived atomic.Int64
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == 1 {
			write(w, "ok") // so that the next request is sent on a reused connection
			return
		}
		drainBody(r.Body)
		closeConnection(w)
	}))
	if status, _ := sidecar.call(sidecar.request("once", 5*time.Second)); status != 200 {
		t.Fatalf("first request: got status %d, want 200", status)
	}
	r := sidecar.request("once", 5*time.Second)
	r.Header.Set("Idempotency-Key", "k")
	if status, body := sidecar.call(r); status != 502 || arrived.Load() != 2 {
		t.Errorf("request whose connection was closed: got status %d, body %q, after %d attempts in total; want 502 after 2",
			status, body, arrived.Load())
	}
}

// A request with an idempotency key that may have run is retried only in the cell that recognises the key.
func TestKeyedRetryStaysInItsCell(t *testing.T) { forEachProtocol(t, testKeyedRetryStaysInItsCell) }

func testKeyedRetryStaysInItsCell(t *testing.T) {
	t.Helper()
	var inCell, outsideCell atomic.Int64
	breakFirst := func(w http.ResponseWriter, r *http.Request) {
		drainBody(r.Body)
		if inCell.Add(1) == 1 {
			closeConnection(w)
			return
		}
		write(w, "ok")
	}
	a, b := startEndpoint(t, "s-1", breakFirst), startEndpoint(t, "s-2", breakFirst)
	other := startEndpoint(t, "s-3", func(w http.ResponseWriter, _ *http.Request) {
		outsideCell.Add(1)
		write(w, "ok")
	})
	other.Cell = 2
	sidecar := startSidecar(t, 1024, a, b, other)
	for i := 0; inCell.Load() == 0 && i < 100; i++ {
		outsideCell.Store(0)
		if status, body := sidecar.call(sidecar.request("book", 9*time.Second)); status != 200 {
			t.Fatalf("keyed request: got status %d, body %q; want 200", status, body)
		}
	}
	if inCell.Load() != 2 || outsideCell.Load() != 0 {
		t.Errorf("got %d attempts in the cell and %d outside of it, want 2 and 0", inCell.Load(), outsideCell.Load())
	}
}

// A request that an endpoint rejects with X-Turned-Away has not run and is sent to another endpoint. After a 503 without that header
// it may have run.
func TestRejectedGoesElsewhereAndPlain503MayHaveRun(t *testing.T) {
	forEachProtocol(t, testRejectedGoesElsewhereAndPlain503MayHaveRun)
}

func testRejectedGoesElsewhereAndPlain503MayHaveRun(t *testing.T) {
	t.Helper()
	var plain atomic.Bool
	full := func(w http.ResponseWriter, _ *http.Request) {
		if !plain.Load() {
			w.Header().Set("X-Turned-Away", "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", full), startEndpoint(t, "s-2", answerOK))
	for range 10 {
		if status, body := sidecar.call(sidecar.request("once", 5*time.Second)); status != 200 {
			t.Fatalf("request that one endpoint rejects: got status %d, body %q; want 200 from the other", status, body)
		}
	}
	sidecar = startSidecar(t, 1024, startEndpoint(t, "s-1", full))
	plain.Store(true)
	if status, body := sidecar.call(sidecar.request("once", 5*time.Second)); status != 502 {
		t.Errorf("request that got a plain 503: got status %d, body %q; want 502, because a rejection promises that it has not run", status, body)
	}
}

// A request that its endpoint does not answer fails before the request's deadline, and a request that cannot be sent is rejected before it.
func TestAnswerIsOutBeforeTheDeadline(t *testing.T) {
	forEachProtocol(t, testAnswerIsOutBeforeTheDeadline)
}

func testAnswerIsOutBeforeTheDeadline(t *testing.T) {
	t.Helper()
	unresponsive := startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) { awaitCancel(r) })
	draining := unresponsive
	draining.State = "Terminating"
	for want, targets := range map[int][]listedEndpoint{502: {unresponsive}, 503: {draining}} {
		sidecar := startSidecar(t, 1024, targets...)
		// The caller's time counts from when it can send, so this request completes the handshake beforehand.
		ready := sidecar.request("read", callerTime)
		ready.URL.Path = "/ready"
		ready.Header.Del("X-Txn")
		sidecar.call(ready)
		checkAnswerInTime(sidecar, want)
	}
}

const (
	callerTime      = 1500 * time.Millisecond // how long the caller in checkAnswerInTime waits
	maxMachineStall = 5 * time.Millisecond    // longer stalls excuse a late answer; less than the sidecar's margin before the deadline
	maxTimedCalls   = 10                      // maximum number of calls of checkAnswerInTime
)

// checkAnswerInTime checks the status of an answer, and that it arrives before the caller's time is over. The caller runs in the same
// process as the sidecar, so a late answer proves nothing if the machine has stalled during the call: the call is then repeated.
func checkAnswerInTime(sidecar *testSidecar, want int) {
	sidecar.t.Helper()
	for call := 1; ; call++ {
		stalled := watchStalls()
		sent := time.Now()
		status, body := sidecar.call(sidecar.request("once", callerTime))
		took := time.Since(sent)
		longest := stalled()
		if status != want {
			sidecar.t.Errorf("request without a response: got status %d, body %q; want %d", status, body, want)
		}
		if took < callerTime {
			return
		}
		if longest <= maxMachineStall || call == maxTimedCalls {
			sidecar.t.Errorf("answer %d arrived after %v, want less than %v; the machine stalled for %v", want, took, callerTime, longest)
			return
		}
		sidecar.t.Logf("calling again: the answer arrived after %v, want less than %v, but the machine stalled for %v", took, callerTime, longest)
	}
}

// watchStalls measures how late a timer wakes an idle goroutine, until stop is called. The function stop returns the longest delay.
func watchStalls() (stop func() time.Duration) {
	const interval = time.Millisecond
	done := make(chan struct{})
	result := make(chan time.Duration)
	go func() {
		longest := time.Duration(0)
		for {
			before := time.Now()
			select {
			case <-done:
				result <- max(longest, time.Since(before)-interval)
				return
			case <-time.After(interval):
				longest = max(longest, time.Since(before)-interval)
			}
		}
	}()
	return func() time.Duration {
		close(done)
		return <-result
	}
}

// When a caller disconnects, its attempt is cancelled at the endpoint and its request is deleted.
func TestClientGoneEndsTheAttempt(t *testing.T) { forEachProtocol(t, testClientGoneEndsTheAttempt) }

func testClientGoneEndsTheAttempt(t *testing.T) {
	t.Helper()
	arrived, cancelled := make(chan bool), make(chan bool)
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		awaitCancel(r)
		close(cancelled)
	}))
	request := sidecar.request("once", 9*time.Second)
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan bool)
	go func() {
		defer close(disconnected)
		if got, _ := sidecar.roundTrip(request.WithContext(ctx)); got != nil {
			t.Errorf("disconnected caller: got status %d, want no answer", got.status)
		}
	}()
	<-arrived
	disconnect()
	<-disconnected
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt was not cancelled within 5 s of the disconnection")
	}
	sidecar.waitUntil("the request is deleted and its connection closed", func() bool {
		n := 0
		sidecar.onLoop(func() {
			open, _ := sidecar.server.loop.http1.Counts()
			n = len(sidecar.server.loop.requests) + open
		})
		return n == 0
	})
}

// Once discovery lists an endpoint as draining, it gets no new requests, and its idle connections are closed.
func TestDrainingEndpointGetsNoRequest(t *testing.T) {
	forEachProtocol(t, testDrainingEndpointGetsNoRequest)
}

func testDrainingEndpointGetsNoRequest(t *testing.T) {
	t.Helper()
	count := func(n *atomic.Int64) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			n.Add(1)
			write(w, "ok")
		}
	}
	var atDraining, atOther atomic.Int64
	draining, other := startEndpoint(t, "s-1", count(&atDraining)), startEndpoint(t, "s-2", count(&atOther))
	sidecar := startSidecar(t, 1024, draining, other)
	for atDraining.Load() == 0 {
		sidecar.call(sidecar.request("once", 5*time.Second))
	}
	draining.State = "Terminating"
	sidecar.announce(endpointList{Rev: 2, Targets: []listedEndpoint{draining}})
	sidecar.waitUntil("the change is applied", func() (done bool) {
		sidecar.onLoop(func() { done = sidecar.server.loop.versionFilter.Version == 2 })
		return done
	})
	before := atDraining.Load()
	for range 10 {
		sidecar.call(sidecar.request("once", 5*time.Second))
	}
	if atDraining.Load() != before || atOther.Load() == 0 {
		t.Errorf("%d requests went to the draining endpoint and %d to the other, want 0 and some", atDraining.Load()-before, atOther.Load())
	}
	idle := -1
	sidecar.onLoop(func() { idle = sidecar.server.loop.http1.IdleAt(draining.Address) })
	if idle != 0 {
		t.Errorf("%d idle connections to the draining endpoint, want 0", idle)
	}
}

// A request that its endpoint does not answer, although the endpoint answers others, is retried at another endpoint while there is time.
func TestUnansweredRequestsAreRetriedElsewhere(t *testing.T) {
	forEachProtocol(t, testUnansweredRequestsAreRetriedElsewhere)
}

func testUnansweredRequestsAreRetriedElsewhere(t *testing.T) {
	t.Helper()
	const deadline = 9 * time.Second
	var unanswered atomic.Int32 // number of further requests that get no answer
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "book" && unanswered.Add(-1) >= 0 {
			awaitCancel(r)
			return
		}
		time.Sleep(5 * time.Millisecond)
		write(w, "ok")
	}
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", serve), startEndpoint(t, "s-2", serve))
	for range 20 { // let the sidecar learn the usual latency
		sidecar.call(sidecar.request("book", deadline))
	}
	var others sync.WaitGroup
	defer others.Wait()
	done := make(chan bool)
	defer close(done)
	for range 4 {
		others.Go(func() { // requests that overtake the unanswered ones at both endpoints
			for {
				select {
				case <-done:
					return
				default:
					sidecar.call(sidecar.request("read", deadline))
				}
			}
		})
	}
	unanswered.Store(2)
	began, answer := time.Now(), make(chan int)
	for range 2 {
		go func() {
			status, _ := sidecar.call(sidecar.request("book", deadline))
			answer <- status
		}()
	}
	for range 2 {
		if status := <-answer; status != http.StatusOK {
			t.Errorf("request that the first endpoint did not answer: got status %d after %v, want 200", status, time.Since(began))
		}
	}
}

// The id of a request is unique. Another request with the same id fails and is not forwarded while the first is in flight and shortly
// after, because endpoints would run the request twice, or reject it.
func TestDuplicateIDFails(t *testing.T) { forEachProtocol(t, testDuplicateIDFails) }

func testDuplicateIDFails(t *testing.T) {
	t.Helper()
	arrived, release := make(chan bool, 8), make(chan bool)
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-release
		write(w, "ok")
	}))
	first := sidecar.request("once", 9*time.Second)
	id := first.Header.Get("X-Txn")
	done := make(chan int)
	go func() {
		status, _ := sidecar.call(first)
		done <- status
	}()
	<-arrived
	sendDuplicate := func() int {
		r := sidecar.request("once", 9*time.Second)
		r.Header.Set("X-Txn", id)
		status, _ := sidecar.call(r)
		return status
	}
	if status := sendDuplicate(); status != http.StatusBadGateway {
		t.Errorf("duplicate while the first request is in flight: got status %d, want 502", status)
	}
	close(release)
	if status := <-done; status != http.StatusOK {
		t.Errorf("first request: got status %d, want 200", status)
	}
	if status := sendDuplicate(); status != http.StatusBadGateway || len(arrived) > 0 {
		t.Errorf("duplicate after the first request: got status %d and %d more requests at the endpoint, want 502 and 0", status, len(arrived))
	}
}
