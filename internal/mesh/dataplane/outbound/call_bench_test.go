package outbound_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outbound"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/membudget"
)

const callConfig = `{"configVersion":"r1","routeTable":[{"name":"read","hostName":"shop.example","pathPrefix":"/p/",
"routeKind":"idempotent","timeout":"5000ms","target":"500ms","priority":1,"serviceName":"shop","maxAttempts":1,
"publicAccess":false}],"serviceTable":[{"name":"shop","healthPath":"/health","connectionCap":100,"protocol":"h1",
"tlsMode":false}],"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":100000,"headerTimeout":"3000ms",
"idleTimeout":"15000ms"},"tenantTable":[{"name":"north","accessKeys":["k"],"priority":1,"ratePerS":500,"burstSize":500}]}`

var answerBody = make([]byte, 128)

// answerCall is the handler of an endpoint that does no work.
func answerCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Endpoint-Seal", "s."+r.Header.Get("Attempt-Id"))
	_, _ = w.Write(answerBody)
}

// listen listens on loopback until the end of the benchmark.
func listen(b *testing.B) net.Listener {
	b.Helper()
	var config net.ListenConfig
	l, err := config.Listen(b.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() }) // a server may have closed the listener
	return l
}

// startHub starts a hub that accepts links on loopback. It first calls declare, which registers methods.
func startHub(b *testing.B, log *logrus.Logger, incarnation uint64, declare func(hub *transport.Hub)) (hub *transport.Hub, address string) {
	b.Helper()
	l := listen(b)
	hello := transport.Hello{Incarnation: incarnation, Address: l.Addr().String(), Zone: "zone-0"}
	hub = transport.NewHub(hello, time.Now().Add(-time.Hour), 8<<20, log)
	b.Cleanup(hub.Close)
	declare(hub)
	go func() { _ = hub.Listen(l) }() // until the listener is closed
	return hub, hello.Address
}

// usage is the processor time that this process has used, and its number of allocations.
type usage struct {
	cpu    time.Duration
	allocs uint64
}

func readUsage() usage {
	var u syscall.Rusage
	var m runtime.MemStats
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	runtime.ReadMemStats(&m)
	return usage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs}
}

// callUsage is the mean usage per call.
type callUsage struct {
	cpuMicroseconds float64
	allocs          float64
}

// caller makes calls one after another on one connection.
type caller struct {
	b       *testing.B
	client  *http.Client
	baseURL string
	calls   int
	times   []time.Duration
}

// measure returns the mean usage of the calls that a function makes.
func (c *caller) measure(f func()) callUsage {
	before := readUsage()
	f()
	after := readUsage()
	calls := float64(len(c.times))
	cpu := float64((after.cpu - before.cpu).Nanoseconds()) / 1000
	return callUsage{cpuMicroseconds: cpu / calls, allocs: float64(after.allocs-before.allocs) / calls}
}

func newCaller(b *testing.B, baseURL string) *caller {
	b.Helper()
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	b.Cleanup(t.CloseIdleConnections)
	return &caller{b: b, client: &http.Client{Transport: t}, baseURL: baseURL}
}

func (c *caller) call() {
	c.calls++
	ctx := context.Background() // the client allocates more for other contexts
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/p/item?x=1", nil)
	if err != nil {
		c.b.Fatal(err)
	}
	request.Host = "shop.example"
	request.Header.Set("Key", "k")
	request.Header.Set("Attempt-Id", "a-"+strconv.Itoa(c.calls))
	began := time.Now()
	resp, err := c.client.Do(request)
	if err != nil {
		c.b.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); closeErr != nil {
		c.b.Fatal(closeErr)
	}
	c.times = append(c.times, time.Since(began))
	if err != nil || resp.StatusCode != http.StatusOK || len(body) != len(answerBody) ||
		resp.Header.Get("Attempt-Id") != request.Header.Get("Attempt-Id") {
		c.b.Fatalf("call %d: got status %d, %d bytes, error %v; want status 200, the complete body and the call's Attempt-Id",
			c.calls, resp.StatusCode, len(body), err)
	}
}

// quantile returns the time in microseconds within which the given share of the calls was answered.
func (c *caller) quantile(share float64) float64 {
	sorted := slices.Sorted(slices.Values(c.times))
	rank := min(int(share*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[rank].Nanoseconds()) / 1000
}

// warmUp makes calls that are not measured.
func (c *caller) warmUp(n int) {
	c.times = slices.Grow(c.times, 1<<16)
	for range n {
		c.call()
	}
	c.times = c.times[:0]
	runtime.GC()
}

// BenchmarkCall measures sequential calls through the code of both sidecars, over loopback, with the client and the endpoints in the same
// process. Metrics named "direct" are for the same calls sent to an endpoint without sidecars. Control messages are not included.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("neighbours-%d", n), func(b *testing.B) { benchmarkCall(b, n) })
	}
}

func benchmarkCall(b *testing.B, peers int) {
	b.Helper()
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	hub, _ := startHub(b, log, 1, func(*transport.Hub) {})
	var endpoints []discovery.Endpoint
	directURL := ""
	for i := range peers {
		app := httptest.NewServer(http.HandlerFunc(answerCall))
		b.Cleanup(app.Close)
		directURL = app.URL
		endpoints = append(endpoints, startPeerSidecar(b, log, i, app.Listener.Addr().String()))
	}
	frontURL := startFront(b, log, hub, endpoints)

	direct := newCaller(b, directURL)
	direct.warmUp(200)
	directUsage := direct.measure(func() {
		for range 4000 {
			direct.call()
		}
	})
	mesh := newCaller(b, frontURL)
	mesh.warmUp(200 + 20*peers) // opens the links and the connections to the endpoints
	meshUsage := mesh.measure(func() {
		for b.Loop() {
			mesh.call()
		}
	})
	b.ReportMetric(meshUsage.cpuMicroseconds, "cpu-us/call")
	b.ReportMetric(meshUsage.allocs, "allocs/call")
	b.ReportMetric(mesh.quantile(0.5), "p50-us")
	b.ReportMetric(mesh.quantile(0.99), "p99-us")
	b.ReportMetric(mesh.quantile(0.5)-direct.quantile(0.5), "added-p50-us")
	b.ReportMetric(mesh.quantile(0.99)-direct.quantile(0.99), "added-p99-us")
	b.ReportMetric(directUsage.cpuMicroseconds, "direct-cpu-us/call")
	b.ReportMetric(directUsage.allocs, "direct-allocs/call")
	links, _ := hub.LinkCounts()
	if links == 0 {
		b.Fatal("no call used a link between sidecars, want at least one link")
	}
	b.ReportMetric(float64(links), "links")
}

// startPeerSidecar starts the sidecar beside an endpoint, and returns the endpoint's entry in the endpoint list.
func startPeerSidecar(b *testing.B, log *logrus.Logger, number int, app string) discovery.Endpoint {
	b.Helper()
	id := fmt.Sprintf("i-%d", number)
	_, address := startHub(b, log, uint64(number+2), func(hub *transport.Hub) {
		proxy := inbound.New(app, hub.Now, log, nil)
		proxy.UpdateEndpoint(admission.Endpoint{ID: id, Service: "shop", Slots: 8}, admission.Serving)
		proxy.Register(hub)
	})
	return discovery.Endpoint{
		ID: id, Service: "shop", AppAddress: app, SidecarAddress: address, Zone: "zone-0",
		State: discovery.Serving, Slots: 8, LeaseRemaining: time.Hour,
	}
}

// startFront starts the outbound proxy that clients call, and returns its URL.
func startFront(b *testing.B, log *logrus.Logger, hub *transport.Hub, endpoints []discovery.Endpoint) string {
	b.Helper()
	config, err := configuration.Parse([]byte(callConfig))
	if err != nil {
		b.Fatal(err)
	}
	proxy := outbound.New(outbound.Options{Hub: hub, Service: "client", Log: log, Seed: 1, BodyMemory: membudget.NewPool(64 << 20)})
	proxy.Configure(config)
	proxy.UpdateEndpoints("shop", endpoints)
	l := listen(b)
	server := proxy.Server()
	go func() { _ = server.Serve(proxy.Listener(l)) }() // returns an error when the server is closed
	b.Cleanup(func() { _ = server.Close() })
	return "http://" + l.Addr().String()
}
