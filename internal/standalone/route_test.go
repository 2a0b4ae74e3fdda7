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
	d := doc.ReadTOML([]byte(text), 1<<16, found.In("f"))
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

// reply is what a request came to.
func (rg *rig) reply(r *http.Request) *http.Response {
	rg.t.Helper()
	c, _ := rg.client()
	res, err := c.RoundTrip(r)
	if err != nil {
		rg.t.Fatal(err)
	}
	res.Body.Close()
	return res
}

// Each setting of a route has its effect on its own requests, and none on others.
func TestRoutesOverSockets(t *testing.T) { overEach(t, ruleRoutesOverSockets) }

func ruleRoutesOverSockets(t *testing.T) {
	withRoutes(t, `
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
`)
	var runs, sick atomic.Int64
	held := make(chan bool)
	came := make(chan bool, 10)
	serve := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		switch r.URL.Path {
		case "/short":
			awaitCancel(r)
			return
		case "/paused":
			if sick.Add(1) == 1 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
		case "/once", "/saved", "/picky":
			sick.Add(1)
			w.WriteHeader(http.StatusInternalServerError)
			return
		case "/quick":
			if sick.Add(1) == 1 {
				awaitCancel(r)
				return
			}
		case "/few":
			came <- true
			<-held
		}
		fmt.Fprint(w, "ok")
	}
	// So many that one is always in good health: what fails here costs endpoints their place.
	var targets []listedEndpoint
	for i := range 8 {
		targets = append(targets, startEndpoint(t, fmt.Sprint("s-", i), serve))
	}
	rg := start(t, 1024, targets...)
	try := func(class, path string, want int) *http.Response {
		t.Helper()
		res := rg.reply(rg.at(class, path))
		if res.StatusCode != want {
			t.Errorf("%s: %d, wanted %d", path, res.StatusCode, want)
		}
		return res
	}
	for range 20 { // what is answered earns further attempts, for all routes
		try("read", "/other", http.StatusOK)
	}
	runs.Store(0)
	if res := try("book", "/off/x", http.StatusServiceUnavailable); res.Header.Get("Retry-After") != "3.000" || runs.Load() != 0 {
		t.Errorf("a route that is off: Retry-After %q, and %d runs", res.Header.Get("Retry-After"), runs.Load())
	}
	try("read", "/off", http.StatusServiceUnavailable)
	try("read", "/offer", http.StatusOK)
	try("read", "/x//off", http.StatusBadRequest)
	try("read", "/x/../off/y", http.StatusBadRequest)
	try("read", "/%6fff/y", http.StatusServiceUnavailable)

	began := time.Now()
	if try("book", "/short", http.StatusBadGateway); time.Since(began) > 3*time.Second {
		t.Errorf("a whole time of 200 ms took %v", time.Since(began))
	}
	if try("read", "/once", http.StatusServiceUnavailable); sick.Swap(0) != 1 {
		t.Error("a route of one attempt was sent more than once")
	}
	if try("read", "/quick", http.StatusOK); sick.Swap(0) != 2 {
		t.Error("an attempt that is given up after its time goes out once more")
	}
	if try("read", "/picky", http.StatusServiceUnavailable); sick.Swap(0) != 1 {
		t.Error("an outcome that its route does not name was followed by another attempt")
	}
	began = time.Now()
	if try("read", "/paused", http.StatusOK); sick.Swap(0) != 2 || time.Since(began) < 150*time.Millisecond {
		t.Errorf("a pause of 150 to 450 ms took %v", time.Since(began))
	}
	if try("read", "/saved", http.StatusServiceUnavailable); sick.Swap(0) != 2 {
		t.Error("one further attempt is saved up")
	}
	if try("read", "/saved", http.StatusServiceUnavailable); sick.Swap(0) != 1 {
		t.Error("none is saved up any more")
	}

	done := make(chan int, 1)
	go func() { done <- rg.reply(rg.at("read", "/few")).StatusCode }()
	<-came
	if res := try("read", "/few", http.StatusServiceUnavailable); res.Header.Get("Retry-After") != "1.000" {
		t.Errorf("Retry-After is %q", res.Header.Get("Retry-After"))
	}
	try("read", "/other", http.StatusOK)
	held <- true
	if status := <-done; status != http.StatusOK {
		t.Errorf("the one that was in: %d", status)
	}
	rg.until("its place is free", func() bool {
		go func() { done <- rg.reply(rg.at("read", "/few")).StatusCode }()
		select {
		case <-came:
			held <- true
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
		fmt.Fprint(w, "ok")
	}))
	take := func(text string) {
		fresh := *rg.server.tuning.Load()
		fresh.routes = routesOf(t, text)
		fresh.routes.Keep(rg.server.tuning.Load().routes)
		rg.server.tuning.Store(&fresh)
	}
	done := make(chan int, 1)
	go func() { done <- rg.reply(rg.at("read", "/few")).StatusCode }()
	<-came
	take("[route.few]\nmatch_path = \"/{rest...}\"\nmost_open = 1\n")
	if res := rg.reply(rg.at("read", "/other")); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("one is in, and it takes one: %d", res.StatusCode)
	}
	take("[route.none]\nmatch_path = \"/none\"\nserve = false\n") // the route of the one that is in is gone
	if res := rg.reply(rg.at("read", "/other")); res.StatusCode != http.StatusOK {
		t.Errorf("no route any more: %d", res.StatusCode)
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
