package standalone

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/route"
)

// routesOf compiles the routes of a settings file.
func routesOf(t *testing.T, text string) *route.Table {
	t.Helper()
	var found finding.List
	document := doc.ReadTOML([]byte(text), 1<<16, found.ForFile("f"))
	file := schema.New(route.Rules.Table).Decode(&found, schema.Options{Partial: true},
		schema.Layer{Doc: document, Table: document.Root, File: "f"})
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	return route.Compile(file)
}

// useRoutes sets the routes of the sidecars that a test starts.
func useRoutes(t *testing.T, text string) {
	t.Helper()
	table := routesOf(t, text)
	adjustConfig = func(c *Config) { c.tuning.routes = table }
	t.Cleanup(func() { adjustConfig = func(*Config) {} })
}

// requestTo returns a request of a class for a path, with a unique idempotency key if the class requires one.
func (s *testSidecar) requestTo(class, path string) *http.Request {
	r := s.request(class, 5*time.Second)
	r.URL.Opaque = path
	if class == "book" {
		r.Header.Set("Idempotency-Key", r.Header.Get("X-Txn"))
	}
	return r
}

// routesText has one route for each setting. The name of a route hints at the effect of its setting.
const routesText = `
[route.off]
match_path = "/off/{rest...}"
serve = false
come_back = "3s"
[route.short]
match_path = "/short"
whole_time = "200ms"
[route.once]
match_path = "/once"
route_attempts = 1
[route.quick]
match_path = "/quick"
attempt_time = "100ms"
[route.few]
match_path = "/few"
most_open = 1
[route.picky]
match_path = "/picky"
retry_on = "turned-away"
[route.paused]
match_path = "/paused"
retry_pause = "300ms"
[route.saved]
match_path = "/saved"
retry_share = 0
retry_reserve = 1
`

// routeEndpoints is the state of the endpoints that serve the routes of routesText. Each path behaves as the test of its route requires.
type routeEndpoints struct {
	requests atomic.Int64 // all requests
	failures atomic.Int64 // requests to paths that fail, either always or the first time
	arrived  chan bool    // receives a value for each request to /few
	release  chan bool    // each value lets one request to /few be answered
}

// serve is the handler of the endpoints.
func (e *routeEndpoints) serve(w http.ResponseWriter, r *http.Request) {
	e.requests.Add(1)
	switch r.URL.Path {
	case "/short":
		awaitCancel(r)
		return
	case "/paused":
		if e.failures.Add(1) == 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	case "/once", "/saved", "/picky":
		e.failures.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case "/quick":
		if e.failures.Add(1) == 1 {
			awaitCancel(r)
			return
		}
	case "/few":
		e.arrived <- true
		<-e.release
	}
	write(w, "ok")
}

// routedSidecar is a sidecar with the routes of routesText and endpoints that serve them.
type routedSidecar struct {
	*testSidecar
	routeEndpoints
}

// callExpecting sends a request and checks the status of its answer.
func (r *routedSidecar) callExpecting(class, path string, want int) *reply {
	r.t.Helper()
	res := r.mustRoundTrip(r.requestTo(class, path))
	if res.status != want {
		r.t.Errorf("request for %s: got status %d, want %d", path, res.status, want)
	}
	return res
}

// Each setting of a route affects the requests of that route and no others.
func TestRoutesOverSockets(t *testing.T) { forEachProtocol(t, testRoutesOverSockets) }

func testRoutesOverSockets(t *testing.T) {
	t.Helper()
	useRoutes(t, routesText)
	sidecar := &routedSidecar{routeEndpoints: routeEndpoints{arrived: make(chan bool, 10), release: make(chan bool)}}
	// This test makes endpoints fail, so some are ejected. With 8 endpoints there is always a healthy one.
	var targets []listedEndpoint
	for i := range 8 {
		targets = append(targets, startEndpoint(t, fmt.Sprint("s-", i), sidecar.serve))
	}
	sidecar.testSidecar = startSidecar(t, 1024, targets...)
	for range 20 { // answered requests earn retry budget for all routes
		sidecar.callExpecting("read", "/other", http.StatusOK)
	}
	sidecar.requests.Store(0)
	sidecar.checkMatching()
	sidecar.checkAttempts()
	sidecar.checkMaxOpen()
}

// checkMatching checks which paths a route matches, and which are rejected because they are ambiguous.
func (r *routedSidecar) checkMatching() {
	r.t.Helper()
	retryAfter := r.callExpecting("book", "/off/x", http.StatusServiceUnavailable).header.Get("Retry-After")
	if retryAfter != "3.000" || r.requests.Load() != 0 {
		r.t.Errorf("route with serve = false: got Retry-After %q and %d requests at the endpoints, want 3.000 and 0",
			retryAfter, r.requests.Load())
	}
	r.callExpecting("read", "/off", http.StatusServiceUnavailable)
	r.callExpecting("read", "/offer", http.StatusOK)
	r.callExpecting("read", "/x//off", http.StatusBadRequest)
	r.callExpecting("read", "/x/../off/y", http.StatusBadRequest)
	r.callExpecting("read", "/%6fff/y", http.StatusServiceUnavailable)
}

// checkAttempts checks how many attempts routes allow, after which outcomes, and with which timeouts and backoffs.
func (r *routedSidecar) checkAttempts() {
	r.t.Helper()
	began := time.Now()
	if r.callExpecting("book", "/short", http.StatusBadGateway); time.Since(began) > 3*time.Second {
		r.t.Errorf("request with whole_time of 200 ms: took %v, want at most 3 s", time.Since(began))
	}
	if r.callExpecting("read", "/once", http.StatusServiceUnavailable); r.failures.Swap(0) != 1 {
		r.t.Error("request of a route with one attempt: the number of attempts is not 1")
	}
	if r.callExpecting("read", "/quick", http.StatusOK); r.failures.Swap(0) != 2 {
		r.t.Error("attempt that exceeded its timeout: the number of attempts is not 2")
	}
	if r.callExpecting("read", "/picky", http.StatusServiceUnavailable); r.failures.Swap(0) != 1 {
		r.t.Error("outcome that retry_on does not name: the number of attempts is not 1")
	}
	began = time.Now()
	if r.callExpecting("read", "/paused", http.StatusOK); r.failures.Swap(0) != 2 || time.Since(began) < 150*time.Millisecond {
		r.t.Errorf("retry with a backoff of 150 to 450 ms: not exactly 2 attempts, or answered after %v", time.Since(began))
	}
	if r.callExpecting("read", "/saved", http.StatusServiceUnavailable); r.failures.Swap(0) != 2 {
		r.t.Error("first request with one retry in reserve: the number of attempts is not 2")
	}
	if r.callExpecting("read", "/saved", http.StatusServiceUnavailable); r.failures.Swap(0) != 1 {
		r.t.Error("second request, with no retry left in reserve: the number of attempts is not 1")
	}
}

// checkMaxOpen checks that a route that admits one request at a time rejects another, and admits the next when the first has ended.
func (r *routedSidecar) checkMaxOpen() {
	r.t.Helper()
	done := make(chan int, 1)
	go func() { done <- r.mustRoundTrip(r.requestTo("read", "/few")).status }()
	<-r.arrived
	if res := r.callExpecting("read", "/few", http.StatusServiceUnavailable); res.header.Get("Retry-After") != "1.000" {
		r.t.Errorf("request beyond most_open: got Retry-After %q, want 1.000", res.header.Get("Retry-After"))
	}
	r.callExpecting("read", "/other", http.StatusOK)
	r.release <- true
	if status := <-done; status != http.StatusOK {
		r.t.Errorf("admitted request: got status %d, want 200", status)
	}
	r.waitUntil("the next request is admitted", func() bool {
		go func() { done <- r.mustRoundTrip(r.requestTo("read", "/few")).status }()
		select {
		case <-r.arrived:
			r.release <- true
			return <-done == http.StatusOK
		case <-done:
			return false
		}
	})
}

// A reload replaces all routes at once. An admitted request keeps its route, and a route with the same name as before keeps its state.
func TestRoutesAreReloaded(t *testing.T) {
	useRoutes(t, "[route.few]\nmatch_path = \"/few\"\nmost_open = 1\n")
	arrived, release := make(chan bool, 10), make(chan bool)
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/few" {
			arrived <- true
			<-release
		}
		write(w, "ok")
	}))
	applyRoutes := func(text string) {
		fresh := *sidecar.server.tuning.Load()
		fresh.routes = routesOf(t, text)
		fresh.routes.KeepStates(sidecar.server.tuning.Load().routes)
		sidecar.server.tuning.Store(&fresh)
	}
	done := make(chan int, 1)
	go func() { done <- sidecar.mustRoundTrip(sidecar.requestTo("read", "/few")).status }()
	<-arrived
	applyRoutes("[route.few]\nmatch_path = \"/{rest...}\"\nmost_open = 1\n")
	if res := sidecar.mustRoundTrip(sidecar.requestTo("read", "/other")); res.status != http.StatusServiceUnavailable {
		t.Errorf("second request of a route with most_open = 1: got status %d, want 503", res.status)
	}
	applyRoutes("[route.none]\nmatch_path = \"/none\"\nserve = false\n") // the route of the request in flight is gone
	if res := sidecar.mustRoundTrip(sidecar.requestTo("read", "/other")); res.status != http.StatusOK {
		t.Errorf("request without a route: got status %d, want 200", res.status)
	}
	release <- true
	if status := <-done; status != http.StatusOK {
		t.Errorf("request in flight: got status %d, want 200", status)
	}
	open := -1
	sidecar.waitUntil("no request is in flight", func() bool {
		sidecar.onLoop(func() { open = len(sidecar.server.loop.requests) })
		return open == 0
	})
}
