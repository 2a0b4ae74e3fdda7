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
	d := doc.ReadTOML([]byte(text), 1<<16, found.ForFile("f"))
	f := schema.New(route.Rules.Table).Decode(&found, schema.Options{Partial: true}, schema.Layer{Doc: d, Table: d.Root, File: "f"})
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	return route.Compile(f)
}

// withRoutes sets the routes of the sidecars that a test starts.
func withRoutes(t *testing.T, text string) {
	t.Helper()
	table := routesOf(t, text)
	adjustConfig = func(c *Config) { c.tuning.routes = table }
	t.Cleanup(func() { adjustConfig = func(*Config) {} })
}

// requestTo returns a request of a class for a path, with an idempotency key of its own if the class needs one.
func (s *testSidecar) requestTo(class, path string) *http.Request {
	r := s.request(class, 5*time.Second)
	r.URL.Opaque = path
	if class == "book" {
		r.Header.Set("Idempotency-Key", r.Header.Get("X-Txn"))
	}
	return r
}

// routesText has one route for each setting, named for what it does.
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

// routeEndpoints is the state of the endpoints that serve the routes of routesText, each as the test of its setting needs.
type routeEndpoints struct {
	requests atomic.Int64
	failures atomic.Int64 // requests to paths that fail, always or the first time
	arrived  chan bool    // gets a value for each request to /few,
	release  chan bool    // which is answered when this has a value
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
		r.t.Errorf("%s: %d, wanted %d", path, res.status, want)
	}
	return res
}

// Each setting of a route has its effect on its own requests, and none on others.
func TestRoutesOverSockets(t *testing.T) { forEachProtocol(t, testRoutesOverSockets) }

func testRoutesOverSockets(t *testing.T) {
	t.Helper()
	withRoutes(t, routesText)
	sidecar := &routedSidecar{routeEndpoints: routeEndpoints{arrived: make(chan bool, 10), release: make(chan bool)}}
	// Endpoints are ejected for the failures of this test: of so many one is always healthy.
	var targets []listedEndpoint
	for i := range 8 {
		targets = append(targets, startEndpoint(t, fmt.Sprint("s-", i), sidecar.serve))
	}
	sidecar.testSidecar = startSidecar(t, 1024, targets...)
	for range 20 { // answers earn the retries of all routes
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
		r.t.Errorf("a route that is off: Retry-After %q, and %d runs", retryAfter, r.requests.Load())
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
		r.t.Errorf("a request with a timeout of 200 ms took %v", time.Since(began))
	}
	if r.callExpecting("read", "/once", http.StatusServiceUnavailable); r.failures.Swap(0) != 1 {
		r.t.Error("a route of one attempt was sent more than once")
	}
	if r.callExpecting("read", "/quick", http.StatusOK); r.failures.Swap(0) != 2 {
		r.t.Error("an attempt that exceeded its timeout was not retried once")
	}
	if r.callExpecting("read", "/picky", http.StatusServiceUnavailable); r.failures.Swap(0) != 1 {
		r.t.Error("an outcome that its route does not name was followed by another attempt")
	}
	began = time.Now()
	if r.callExpecting("read", "/paused", http.StatusOK); r.failures.Swap(0) != 2 || time.Since(began) < 150*time.Millisecond {
		r.t.Errorf("a backoff of 150 to 450 ms took %v", time.Since(began))
	}
	if r.callExpecting("read", "/saved", http.StatusServiceUnavailable); r.failures.Swap(0) != 2 {
		r.t.Error("one retry is in reserve")
	}
	if r.callExpecting("read", "/saved", http.StatusServiceUnavailable); r.failures.Swap(0) != 1 {
		r.t.Error("no retry is left in reserve")
	}
}

// checkMaxOpen checks that a route that admits one request at a time rejects another, and admits the next when the first has ended.
func (r *routedSidecar) checkMaxOpen() {
	r.t.Helper()
	done := make(chan int, 1)
	go func() { done <- r.mustRoundTrip(r.requestTo("read", "/few")).status }()
	<-r.arrived
	if res := r.callExpecting("read", "/few", http.StatusServiceUnavailable); res.header.Get("Retry-After") != "1.000" {
		r.t.Errorf("Retry-After is %q", res.header.Get("Retry-After"))
	}
	r.callExpecting("read", "/other", http.StatusOK)
	r.release <- true
	if status := <-done; status != http.StatusOK {
		r.t.Errorf("the request that was admitted: %d", status)
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

// A reload replaces all routes at once. A request that was admitted keeps its route, and a route keeps its state under the same
// name.
func TestRoutesAreReloaded(t *testing.T) {
	withRoutes(t, "[route.few]\nmatch_path = \"/few\"\nmost_open = 1\n")
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
		t.Errorf("the route admits one, which is in flight: %d", res.status)
	}
	applyRoutes("[route.none]\nmatch_path = \"/none\"\nserve = false\n") // the route of the request in flight is gone
	if res := sidecar.mustRoundTrip(sidecar.requestTo("read", "/other")); res.status != http.StatusOK {
		t.Errorf("without a route: %d", res.status)
	}
	release <- true
	if status := <-done; status != http.StatusOK {
		t.Errorf("the request in flight: %d", status)
	}
	open := -1
	sidecar.waitUntil("no request is in flight", func() bool {
		sidecar.onLoop(func() { open = len(sidecar.server.loop.requests) })
		return open == 0
	})
}
