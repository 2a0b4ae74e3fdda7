package agent

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// idleMesh is a fleet of sidecars without clients and of core processes without disks, in one process.
type idleMesh struct {
	all      []*Agent
	hubs     []*transport.Hub
	closers  []func()
	applied  atomic.Int64
	drained  atomic.Int64 // callers that know of it
	version  atomic.Uint64
	draining atomic.Pointer[string]
}

func (h *idleMesh) start(i, n, core, zones, services int, seeds []string) *Agent {
	ip := fmt.Sprintf("127.7.%d.%d", i/250, i%250+1)
	own := &settings.Settings{
		Name: ip, IP: ip, Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r", InternalPorts: [2]int{7301, 7301},
		Seeds: seeds, ControlAddress: ip + ":7302",
	}
	role := membership.RoleCore
	if i >= core {
		role = membership.RoleAccess
		own.ApplicationAddress, own.Service = ip+":8080", fmt.Sprintf("service-%d", i%services)
	}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	hub := transport.NewHub(transport.Hello{Incarnation: uint64(i + 1), Address: own.InternalAddress(), Zone: own.Zone}, time.Now().Add(-time.Hour), 1<<20, log)
	var known atomic.Bool
	o := Config{
		Settings: own, Hub: hub, Role: role, Log: log, Seed: uint64(i),
		OnConfiguration: func(c *configuration.Config) {
			if role == membership.RoleAccess && uint64(c.Version) == h.version.Load() {
				h.applied.Add(1)
			}
		},
		OnEndpointsChanged: func(_ string, all []discovery.Endpoint) {
			if id := h.draining.Load(); role == membership.RoleAccess && id != nil {
				for _, e := range all {
					if e.ID == *id && e.State == discovery.Draining && !known.Swap(true) {
						h.drained.Add(1)
					}
				}
			}
		},
	}
	c := New(o)
	l, err := net.Listen("tcp4", own.InternalAddress())
	if err != nil {
		panic(err)
	}
	go func() { _ = hub.Listen(l) }()
	ctx, stop := context.WithCancel(context.Background())
	if role == membership.RoleAccess {
		go c.NewQuotaClient().Run(ctx)
	}
	go c.Run(ctx)
	h.all, h.hubs = append(h.all, c), append(h.hubs, hub)
	h.closers = append(h.closers, func() { stop(); hub.Close(); l.Close() })
	return c
}

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func idleMeshConfiguration(version uint64, services, routes int) []byte {
	var r, s []string
	for i := range services {
		s = append(s, fmt.Sprintf(`{"name":"service-%d","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}`, i))
	}
	for i := range routes {
		r = append(r, fmt.Sprintf(`{"name":"r-%d","hostName":"h%d.example","pathPrefix":"/p%d/","routeKind":"idempotent","timeout":"2000ms","target":"500ms","priority":1,"serviceName":"service-%d","maxAttempts":2,"publicAccess":false}`, i, i%100, i, i%services))
	}
	return []byte(fmt.Sprintf(`{"configVersion":"r%d","routeTable":[%s],"serviceTable":[%s],"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":100000,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"tenantTable":[{"name":"north","accessKeys":["k"],"priority":1,"ratePerS":500,"burstSize":500}]}`,
		version, strings.Join(r, ","), strings.Join(s, ",")))
}

// waitForCount waits for a count, and gives the time it took.
func waitForCount(b *testing.B, what string, count *atomic.Int64, n int) time.Duration {
	began := time.Now()
	for count.Load() < int64(n) {
		if time.Since(began) > 30*time.Second {
			b.Errorf("%s: %d of %d after half a minute", what, count.Load(), n)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// BenchmarkIdleMesh measures sidecars that nobody calls, all in this process, over loopback: processor, heap and bytes of each
// and second while quiet, and how long a configuration and a draining mark take to all. HOLLOW names further sizes, as
// sidecars,services,routes apart by spaces.
func BenchmarkIdleMesh(b *testing.B) {
	sizes := []string{"20,3,10"}
	if more := os.Getenv("HOLLOW"); more != "" {
		sizes = strings.Fields(more)
	}
	for _, size := range sizes {
		var x [3]int
		for i, s := range strings.Split(size, ",") {
			x[i], _ = strconv.Atoi(s)
		}
		b.Run(fmt.Sprintf("sidecars=%d/services=%d/routes=%d", x[0], x[1], x[2]), func(b *testing.B) {
			for range b.N {
				measureIdleMesh(b, x[0], x[1], x[2])
			}
		})
	}
}

func measureIdleMesh(b *testing.B, sidecars, services, routes int) {
	const core, zones = 3, 4
	h := &idleMesh{}
	defer func() {
		for _, end := range h.closers {
			end()
		}
	}()
	var heap0, heap1 runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&heap0)
	seeds := []string{"127.7.0.1:7302", "127.7.0.2:7302", "127.7.0.3:7302"}
	var last *Agent
	var publish []func(discovery.State)
	for i := range core + sidecars {
		c := h.start(i, sidecars, core, zones, services, seeds)
		if i >= core {
			last = c
			sequence := uint64(0)
			publish = append(publish, func(s discovery.State) {
				sequence++
				c.Publish(discovery.Endpoint{
					ID: fmt.Sprintf("life-%d", i), Service: c.config.Settings.Service, AppAddress: c.config.Settings.ApplicationAddress,
					Zone: c.config.Settings.Zone, Slots: 8, Sequence: sequence, State: s,
				})
			})
			publish[len(publish)-1](discovery.Serving)
		}
	}
	_ = last
	commit := func(version uint64) time.Duration {
		text := idleMeshConfiguration(version, services, routes)
		h.applied.Store(0)
		h.version.Store(version)
		h.all[0].ApplyCommitted(version, text)
		return waitForCount(b, "configuration", &h.applied, sidecars)
	}
	commit(1)
	time.Sleep(12 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&heap1)
	var before, after transport.Traffic
	links := 0
	sum := func(to *transport.Traffic) {
		for _, hub := range h.hubs[core:] {
			t := hub.Traffic()
			to.SentBytes += t.SentBytes
			to.ReceivedBytes += t.ReceivedBytes
			to.SentFrames += t.SentFrames
		}
	}
	sum(&before)
	used, began := processor(), time.Now()
	const span = 6 * time.Second
	for time.Since(began) < span { // each endpoint beats
		for _, p := range publish {
			p(discovery.Serving)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	n := time.Since(began).Seconds() * float64(sidecars)
	used = processor() - used
	sum(&after)
	for _, hub := range h.hubs[core:] {
		dialled, accepted := hub.LinkCounts()
		links += dialled + accepted
	}
	b.ReportMetric(100*used.Seconds()/n, "%core")
	b.ReportMetric(float64(heap1.HeapAlloc+heap1.StackInuse-heap0.HeapAlloc-heap0.StackInuse)/float64(sidecars)/1e6, "MB")
	b.ReportMetric(float64(after.SentBytes-before.SentBytes)/n, "B/s")
	b.ReportMetric(float64(after.SentFrames-before.SentFrames)/n, "frames/s")
	b.ReportMetric(float64(links)/float64(sidecars), "links")
	b.ReportMetric(float64(commit(2).Milliseconds()), "ms/commit")
	id := fmt.Sprintf("life-%d", core)
	h.draining.Store(&id)
	publish[0](discovery.Draining)
	b.ReportMetric(float64(waitForCount(b, "draining", &h.drained, sidecars).Milliseconds()), "ms/drain")
}
