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

// withRoutes has the sidecars that a test starts know routes.
func withRoutes(t *testing.T, text string) {
	t.Helper()
	table := routesOf(t, text)
	adjustConfig = func(c *Config) { c.tuning.routes = table }
	t.Cleanup(func() { adjustConfig = func(*Config) {} })
}

func (rg *rig) at(class, path string) *http.Request {
	r := rg.request(class, 5*time.Second)
	r.URL.Opaque = path
	if class == "book" {
		r.Header.Set("Idempotency-Key", r.Header.Get("X-Txn"))
	}
	return r
}

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

// routedEndpoints serve the routes of routesText, each as its setting needs.
type routedEndpoints struct {
	runs atomic.Int64 // requests in all
	sick atomic.Int64 // requests that were to fail, some of them once only
	came chan bool    // a request to /few has come,
	held chan bool    // and waits
}

func (e *routedEndpoints) serve(w http.ResponseWriter, r *http.Request) {
	e.runs.Add(1)
	switch r.URL.Path {
	case "/short":
		awaitCancel(r)
		return
	case "/paused":
		if e.sick.Add(1) == 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	case "/once", "/saved", "/picky":
		e.sick.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case "/quick":
		if e.sick.Add(1) == 1 {
			awaitCancel(r)
			return
		}
	case "/few":
		e.came <- true
		<-e.held
	}
	write(w, "ok")
}

// routedRig is a sidecar with the routes of routesText, and its endpoints.
type routedRig struct {
	*rig
	routedEndpoints
}

// try sends a request, whose answer has to have a status.
func (rg *routedRig) try(class, path string, want int) *reply {
	rg.t.Helper()
	res := rg.reply(rg.at(class, path))
	if res.status != want {
		rg.t.Errorf("%s: %d, wanted %d", path, res.status, want)
	}
	return res
}

// Each setting of a route has its effect on its own requests, and none on others.
func TestRoutesOverSockets(t *testing.T) { overEach(t, ruleRoutesOverSockets) }

func ruleRoutesOverSockets(t *testing.T) {
	t.Helper()
	withRoutes(t, routesText)
	rg := &routedRig{routedEndpoints: routedEndpoints{came: make(chan bool, 10), held: make(chan bool)}}
	// So many that one is always in good health: what fails here costs endpoints their place.
	var targets []listedEndpoint
	for i := range 8 {
		targets = append(targets, startEndpoint(t, fmt.Sprint("s-", i), rg.serve))
	}
	rg.rig = start(t, 1024, targets...)
	for range 20 { // what is answered earns further attempts, for all routes
		rg.try("read", "/other", http.StatusOK)
	}
	rg.runs.Store(0)
	checkRoutesThatAreOff(rg)
	checkAttemptsOfRoutes(rg)
	checkRouteThatTakesOne(rg)
}

// checkRoutesThatAreOff looks at which paths are a route's, and which may be none's.
func checkRoutesThatAreOff(rg *routedRig) {
	rg.t.Helper()
	if res := rg.try("book", "/off/x", http.StatusServiceUnavailable); res.header.Get("Retry-After") != "3.000" || rg.runs.Load() != 0 {
		rg.t.Errorf("a route that is off: Retry-After %q, and %d runs", res.header.Get("Retry-After"), rg.runs.Load())
	}
	rg.try("read", "/off", http.StatusServiceUnavailable)
	rg.try("read", "/offer", http.StatusOK)
	rg.try("read", "/x//off", http.StatusBadRequest)
	rg.try("read", "/x/../off/y", http.StatusBadRequest)
	rg.try("read", "/%6fff/y", http.StatusServiceUnavailable)
}

// checkAttemptsOfRoutes looks at how many attempts routes allow, when and for how long.
func checkAttemptsOfRoutes(rg *routedRig) {
	rg.t.Helper()
	began := time.Now()
	if rg.try("book", "/short", http.StatusBadGateway); time.Since(began) > 3*time.Second {
		rg.t.Errorf("a whole time of 200 ms took %v", time.Since(began))
	}
	if rg.try("read", "/once", http.StatusServiceUnavailable); rg.sick.Swap(0) != 1 {
		rg.t.Error("a route of one attempt was sent more than once")
	}
	if rg.try("read", "/quick", http.StatusOK); rg.sick.Swap(0) != 2 {
		rg.t.Error("an attempt that is given up after its time goes out once more")
	}
	if rg.try("read", "/picky", http.StatusServiceUnavailable); rg.sick.Swap(0) != 1 {
		rg.t.Error("an outcome that its route does not name was followed by another attempt")
	}
	began = time.Now()
	if rg.try("read", "/paused", http.StatusOK); rg.sick.Swap(0) != 2 || time.Since(began) < 150*time.Millisecond {
		rg.t.Errorf("a pause of 150 to 450 ms took %v", time.Since(began))
	}
	if rg.try("read", "/saved", http.StatusServiceUnavailable); rg.sick.Swap(0) != 2 {
		rg.t.Error("one further attempt is saved up")
	}
	if rg.try("read", "/saved", http.StatusServiceUnavailable); rg.sick.Swap(0) != 1 {
		rg.t.Error("none is saved up any more")
	}
}

// checkRouteThatTakesOne has a route that takes one request at a time turn another away, and take the next when that has ended.
func checkRouteThatTakesOne(rg *routedRig) {
	rg.t.Helper()
	done := make(chan int, 1)
	go func() { done <- rg.reply(rg.at("read", "/few")).status }()
	<-rg.came
	if res := rg.try("read", "/few", http.StatusServiceUnavailable); res.header.Get("Retry-After") != "1.000" {
		rg.t.Errorf("Retry-After is %q", res.header.Get("Retry-After"))
	}
	rg.try("read", "/other", http.StatusOK)
	rg.held <- true
	if status := <-done; status != http.StatusOK {
		rg.t.Errorf("the one that was in: %d", status)
	}
	rg.until("its place is free", func() bool {
		go func() { done <- rg.reply(rg.at("read", "/few")).status }()
		select {
		case <-rg.came:
			rg.held <- true
			return <-done == http.StatusOK
		case <-done:
			return false
		}
	})
}

// A reload takes all routes at once. What has come in keeps the route that it came with, and a route of the same name
// goes on as it stands.
func TestRoutesAreReloaded(t *testing.T) {
	withRoutes(t, "[route.few]\nmatch_path = \"/few\"\nmost_open = 1\n")
	came, held := make(chan bool, 10), make(chan bool)
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/few" {
			came <- true
			<-held
		}
		write(w, "ok")
	}))
	take := func(text string) {
		fresh := *rg.server.tuning.Load()
		fresh.routes = routesOf(t, text)
		fresh.routes.KeepStates(rg.server.tuning.Load().routes)
		rg.server.tuning.Store(&fresh)
	}
	done := make(chan int, 1)
	go func() { done <- rg.reply(rg.at("read", "/few")).status }()
	<-came
	take("[route.few]\nmatch_path = \"/{rest...}\"\nmost_open = 1\n")
	if res := rg.reply(rg.at("read", "/other")); res.status != http.StatusServiceUnavailable {
		t.Errorf("one is in, and it takes one: %d", res.status)
	}
	take("[route.none]\nmatch_path = \"/none\"\nserve = false\n") // the route of the one that is in is gone
	if res := rg.reply(rg.at("read", "/other")); res.status != http.StatusOK {
		t.Errorf("no route any more: %d", res.status)
	}
	held <- true
	if status := <-done; status != http.StatusOK {
		t.Errorf("the one that was in: %d", status)
	}
	open := -1
	rg.until("it has left its route", func() bool {
		rg.inLoop(func() { open = len(rg.server.loop.requests) })
		return open == 0
	})
}
