package outbound_test

import (
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
)

const callConfig = `{"configVersion":"r1","routeTable":[{"name":"read","hostName":"shop.example","pathPrefix":"/p/",
"routeKind":"idempotent","timeout":"5000ms","target":"500ms","priority":1,"serviceName":"shop","maxAttempts":1,
"publicAccess":false}],"serviceTable":[{"name":"shop","healthPath":"/health","connectionCap":100,"protocol":"h1",
"tlsMode":false}],"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":100000,"headerTimeout":"3000ms",
"idleTimeout":"15000ms"},"tenantTable":[{"name":"north","accessKeys":["k"],"priority":1,"ratePerS":500,"burstSize":500}]}`

var answerBody = make([]byte, 128)

// answerCall is an endpoint that does no work.
func answerCall(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	w.Header().Set("Endpoint-Seal", "s."+q.Header.Get("Attempt-Id"))
	_, _ = w.Write(answerBody)
}

// listenHub is a hub that takes links on loopback.
func listenHub(b *testing.B, log *logrus.Logger, life uint64) (*transport.Hub, func(d *inbound.Proxy), string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	hub := transport.NewHub(transport.Hello{Incarnation: life, Address: l.Addr().String(), Zone: "zone-0"}, time.Now().Add(-time.Hour), 8<<20, log)
	b.Cleanup(func() { hub.Close(); l.Close() })
	return hub, func(d *inbound.Proxy) {
		if d != nil {
			d.Register(hub)
		}
		go func() { _ = hub.Listen(l) }()
	}, l.Addr().String()
}

// usage is what the process has used so far.
type usage struct {
	cpu    time.Duration
	allocs uint64
}

func used() usage {
	var u syscall.Rusage
	var m runtime.MemStats
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	runtime.ReadMemStats(&m)
	return usage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs}
}

// caller makes calls one after another on one connection.
type caller struct {
	b      *testing.B
	client *http.Client
	base   string
	next   int
	times  []time.Duration
}

func newCaller(b *testing.B, base string) *caller {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	b.Cleanup(t.CloseIdleConnections)
	return &caller{b: b, client: &http.Client{Transport: t}, base: base}
}

func (c *caller) call() {
	c.next++
	q, err := http.NewRequest(http.MethodGet, c.base+"/p/item?x=1", nil)
	if err != nil {
		c.b.Fatal(err)
	}
	q.Host = "shop.example"
	q.Header.Set("Key", "k")
	q.Header.Set("Attempt-Id", "a-"+strconv.Itoa(c.next))
	began := time.Now()
	resp, err := c.client.Do(q)
	if err != nil {
		c.b.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	c.times = append(c.times, time.Since(began))
	if err != nil || resp.StatusCode != http.StatusOK || len(body) != len(answerBody) ||
		resp.Header.Get("Attempt-Id") != q.Header.Get("Attempt-Id") {
		c.b.Fatalf("call %d: status %d, %d bytes, %v", c.next, resp.StatusCode, len(body), err)
	}
}

// chooseService is the time within which a part of the calls were answered.
func (c *caller) part(x float64) float64 {
	s := slices.Sorted(slices.Values(c.times))
	return float64(s[min(int(x*float64(len(s))), len(s)-1)].Nanoseconds()) / 1000
}

// warm makes calls that do not count.
func (c *caller) warm(n int) {
	c.times = slices.Grow(c.times, 1<<16)
	for range n {
		c.call()
	}
	c.times = c.times[:0]
	runtime.GC()
}

// BenchmarkCall is one call after another through the code of both sidecars, over loopback, with the client and the endpoints
// in the same process; "direct" is the same call asked of an endpoint itself. Control messages are not part of it.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("neighbours-%d", n), func(b *testing.B) { benchmarkCall(b, n) })
	}
}

func benchmarkCall(b *testing.B, neighbours int) {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	near, listen, _ := listenHub(b, log, 1)
	listen(nil)
	conf, err := configuration.Parse([]byte(callConfig))
	if err != nil {
		b.Fatal(err)
	}
	proxy := outbound.New(outbound.Options{Hub: near, Service: "client", Log: log, Seed: 1, MaxBodyBytes: 64 << 20})
	proxy.Configure(conf)
	var endpoints []discovery.Endpoint
	direct := ""
	for i := range neighbours {
		app := httptest.NewServer(http.HandlerFunc(answerCall))
		b.Cleanup(app.Close)
		direct = app.URL
		hub, listen, address := listenHub(b, log, uint64(i+2))
		inboundProxy := inbound.New(app.Listener.Addr().String(), hub.Now, log, nil)
		life := fmt.Sprintf("i-%d", i)
		inboundProxy.UpdateEndpoint(admission.Endpoint{ID: life, Service: "shop", Slots: 8}, admission.Serving)
		listen(inboundProxy)
		endpoints = append(endpoints, discovery.Endpoint{
			ID: life, Service: "shop", AppAddress: app.Listener.Addr().String(),
			SidecarAddress: address, Zone: "zone-0", State: discovery.Serving, Slots: 8, LeaseRemaining: time.Hour,
		})
	}
	proxy.UpdateEndpoints("shop", endpoints)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := proxy.Server()
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { server.Close() })

	plain := newCaller(b, direct)
	plain.warm(200)
	before := used()
	for range 4000 {
		plain.call()
	}
	after := used()
	calls := float64(len(plain.times))
	directCPU := float64((after.cpu - before.cpu).Nanoseconds()) / 1000 / calls
	directAllocs := float64(after.allocs-before.allocs) / calls

	through := newCaller(b, "http://"+l.Addr().String())
	through.warm(200 + 20*neighbours) // links are dialled, connections to the endpoints made
	before = used()
	for b.Loop() {
		through.call()
	}
	after = used()
	calls = float64(len(through.times))
	b.ReportMetric(float64((after.cpu-before.cpu).Nanoseconds())/1000/calls, "cpu-us/call")
	b.ReportMetric(float64(after.allocs-before.allocs)/calls, "allocs/call")
	b.ReportMetric(through.part(0.5), "p50-us")
	b.ReportMetric(through.part(0.99), "p99-us")
	b.ReportMetric(through.part(0.5)-plain.part(0.5), "added-p50-us")
	b.ReportMetric(through.part(0.99)-plain.part(0.99), "added-p99-us")
	b.ReportMetric(directCPU, "direct-cpu-us/call")
	b.ReportMetric(directAllocs, "direct-allocs/call")
	links, _ := near.LinkCounts()
	if links == 0 {
		b.Fatal("no call went over a link")
	}
	b.ReportMetric(float64(links), "links")
}
