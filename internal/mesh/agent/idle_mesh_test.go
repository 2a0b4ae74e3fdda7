package agent

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// idleMeshSize holds the numbers of core processes, zones and services of an idleMesh. The processes are numbered from 0. Those with
// numbers below core are core processes, the others are sidecars.
type idleMeshSize struct{ core, zones, services int }

// idleMesh is a mesh of sidecars without users' requests and of core processes without disks, all of which run in the test process.
type idleMesh struct {
	testing.TB
	size     idleMeshSize
	seeds    []string
	agents   []*Agent               // agents of the processes, indexed by process number
	stops    []func()               // functions that stop the processes, indexed by process number
	version  atomic.Uint64          // configuration version whose application is counted in applied
	applied  atomic.Int64           // number of sidecars that have applied version
	draining atomic.Pointer[string] // ID of the endpoint whose draining is counted in drained; nil for none
	drained  atomic.Int64           // number of sidecars that know that the endpoint is draining
}

// newIdleMesh returns a mesh without processes. Processes that are started later are stopped when the test ends.
func newIdleMesh(tb testing.TB, size idleMeshSize) *idleMesh {
	tb.Helper()
	m := &idleMesh{TB: tb, size: size}
	for i := range size.core {
		m.seeds = append(m.seeds, idleMeshIP(i)+":7302")
	}
	return m
}

// idleMeshIP returns the loopback address of process i. Other tests of the package use addresses below testNetwork whose third number is
// 200 or more.
func idleMeshIP(i int) string { return fmt.Sprintf("%s.%d.%d", testNetwork, i/250, i%250+1) }

// start starts process i. Processes are started in the order of their numbers.
func (m *idleMesh) start(i int) *Agent {
	m.Helper()
	ip := idleMeshIP(i)
	own := &settings.Settings{
		Name:           ip,
		IP:             ip,
		Zone:           fmt.Sprintf("zone-%d", i%m.size.zones),
		Region:         "r",
		InternalPorts:  [2]int{7301, 7301},
		Seeds:          m.seeds,
		ControlAddress: ip + ":7302",
	}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	hello := transport.Hello{Incarnation: uint64(i + 1), Address: own.InternalAddress(), Zone: own.Zone}
	hub := transport.NewHub(hello, time.Now().Add(-time.Hour), 1<<20, log)
	config := Config{Settings: own, Hub: hub, Role: membership.RoleCore, Log: log, Seed: uint64(i)}
	if i >= m.size.core {
		config.Role = membership.RoleAccess
		config.OnConfiguration = m.countApplied
		config.OnEndpointsChanged = m.countDrained()
		own.ApplicationAddress = ip + ":8080"
		own.Service = fmt.Sprintf("service-%d", i%m.size.services)
	}
	agent := New(config)
	m.run(agent, hub)
	m.agents = append(m.agents, agent)
	return agent
}

// run starts serving and running a process, until it is stopped.
func (m *idleMesh) run(agent *Agent, hub *transport.Hub) {
	m.Helper()
	listener, err := new(net.ListenConfig).Listen(m.Context(), "tcp4", hub.Self().Address)
	qt.Assert(m, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = hub.Listen(listener) }) // returns when the listener is closed
	running.Go(func() { agent.Run(ctx) })
	if agent.config.Role == membership.RoleAccess {
		client := agent.NewQuotaClient()
		running.Go(func() { client.Run(ctx) })
	}
	stop := sync.OnceFunc(func() {
		cancel()
		hub.Close()
		_ = listener.Close()
		running.Wait()
	})
	m.stops = append(m.stops, stop)
	m.Cleanup(stop)
}

// stop stops process i.
func (m *idleMesh) stop(i int) { m.stops[i]() }

// countApplied is the OnConfiguration callback of all sidecars. It counts those that have applied the current version.
func (m *idleMesh) countApplied(c *configuration.Config) {
	if uint64(c.Version) == m.version.Load() {
		m.applied.Add(1)
	}
}

// countDrained returns the OnEndpointsChanged callback of one sidecar, which counts the sidecar in drained, once, when it learns that the
// endpoint is draining.
func (m *idleMesh) countDrained() func(service string, endpoints []discovery.Endpoint) {
	var known atomic.Bool
	return func(_ string, endpoints []discovery.Endpoint) {
		id := m.draining.Load()
		if id == nil {
			return
		}
		for _, e := range endpoints {
			if e.ID == *id && e.State == discovery.Draining && !known.Swap(true) {
				m.drained.Add(1)
			}
		}
	}
}

// commit makes a core process apply a version, waits until all sidecars have applied it, and returns the time that this took.
func (m *idleMesh) commit(version uint64, text []byte) time.Duration {
	m.Helper()
	m.applied.Store(0)
	m.version.Store(version)
	m.agents[0].ApplyCommitted(version, text)
	return m.waitForSidecars("configuration", &m.applied)
}

// waitForSidecars waits until a count reaches the number of sidecars, and returns the time that this took. change names what the sidecars
// are to learn.
func (m *idleMesh) waitForSidecars(change string, count *atomic.Int64) time.Duration {
	m.Helper()
	sidecars := len(m.agents) - m.size.core
	began := time.Now()
	for count.Load() < int64(sidecars) {
		if time.Since(began) > 30*time.Second {
			m.Errorf("%s: known to %d sidecars after 30 s, want all %d", change, count.Load(), sidecars)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// traffic returns the total traffic of all sidecars, and the total number of their links.
func (m *idleMesh) traffic() (total transport.Traffic, links int) {
	for _, a := range m.agents[m.size.core:] {
		t := a.hub.Traffic()
		total.SentBytes += t.SentBytes
		total.ReceivedBytes += t.ReceivedBytes
		total.SentFrames += t.SentFrames
		dialled, accepted := a.hub.LinkCounts()
		links += dialled + accepted
	}
	return total, links
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapAndStackBytes returns the size of this process's heap and stacks, in bytes, after a garbage collection.
func heapAndStackBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

// idleMeshConfiguration returns the text of a configuration with the given numbers of services and routes.
func idleMeshConfiguration(version uint64, services, routes int) []byte {
	var routeTable, serviceTable []string
	for i := range services {
		serviceTable = append(serviceTable, fmt.Sprintf(
			`{"name":"service-%d","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}`, i))
	}
	for i := range routes {
		routeTable = append(routeTable, fmt.Sprintf(`{"name":"r-%d","hostName":"h%d.example","pathPrefix":"/p%d/",`+
			`"routeKind":"idempotent","timeout":"2000ms","target":"500ms","priority":1,"serviceName":"service-%d",`+
			`"maxAttempts":2,"publicAccess":false}`,
			i, i%100, i, i%services))
	}
	return fmt.Appendf(nil, `{"configVersion":"r%d","routeTable":[%s],"serviceTable":[%s],"limitSet":{"headerMaxBytes":16384,`+
		`"bodyMaxBytes":100000,"headerTimeout":"3000ms","idleTimeout":"15000ms"},`+
		`"tenantTable":[{"name":"north","accessKeys":["k"],"priority":1,"ratePerS":500,"burstSize":500}]}`,
		version, strings.Join(routeTable, ","), strings.Join(serviceTable, ","))
}

// BenchmarkIdleMesh measures sidecars without users' requests that all run in this process and communicate over loopback. It reports the
// CPU usage, memory, traffic and number of links per sidecar while nothing changes, and the times until all sidecars know a new
// configuration and a draining endpoint. The environment variable HOLLOW replaces the default size with one or more sizes, separated by
// spaces and each written as sidecars,services,routes.
func BenchmarkIdleMesh(b *testing.B) {
	sizes := []string{"20,3,10"}
	if override := os.Getenv("HOLLOW"); override != "" {
		sizes = strings.Fields(override)
	}
	for _, size := range sizes {
		var numbers [3]int
		for i, text := range strings.Split(size, ",") {
			number, err := strconv.Atoi(text)
			qt.Assert(b, err, qt.IsNil)
			numbers[i] = number
		}
		sidecars, services, routes := numbers[0], numbers[1], numbers[2]
		b.Run(fmt.Sprintf("sidecars=%d/services=%d/routes=%d", sidecars, services, routes), func(b *testing.B) {
			for range b.N {
				measureIdleMesh(b, sidecars, services, routes)
			}
		})
	}
}

// measureIdleMesh runs a mesh for about 20 seconds, and reports the metrics of BenchmarkIdleMesh.
func measureIdleMesh(b *testing.B, sidecars, services, routes int) {
	b.Helper()
	const core = 3
	heapBefore := heapAndStackBytes()
	mesh := newIdleMesh(b, idleMeshSize{core: core, zones: 4, services: services})
	defer func() {
		for _, stop := range mesh.stops {
			stop()
		}
	}()
	var publish []func(discovery.State)
	for i := range core + sidecars {
		a := mesh.start(i)
		if i >= core {
			publish = append(publish, newEndpointPublisher(a, fmt.Sprintf("endpoint-%d", i)))
			publish[len(publish)-1](discovery.Serving)
		}
	}
	mesh.commit(1, idleMeshConfiguration(1, services, routes))
	time.Sleep(12 * time.Second)
	heap := heapAndStackBytes() - heapBefore

	before, _ := mesh.traffic()
	cpu, began := cpuTime(), time.Now()
	for time.Since(began) < 6*time.Second {
		for _, keepalive := range publish {
			keepalive(discovery.Serving)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	sidecarSeconds := time.Since(began).Seconds() * float64(sidecars)
	cpu = cpuTime() - cpu
	after, links := mesh.traffic()
	b.ReportMetric(100*cpu.Seconds()/sidecarSeconds, "%core")
	b.ReportMetric(heap/float64(sidecars)/1e6, "MB")
	b.ReportMetric(float64(after.SentBytes-before.SentBytes)/sidecarSeconds, "B/s")
	b.ReportMetric(float64(after.SentFrames-before.SentFrames)/sidecarSeconds, "frames/s")
	b.ReportMetric(float64(links)/float64(sidecars), "links")
	b.ReportMetric(float64(mesh.commit(2, idleMeshConfiguration(2, services, routes)).Milliseconds()), "ms/commit")
	id := fmt.Sprintf("endpoint-%d", core)
	mesh.draining.Store(&id)
	publish[0](discovery.Draining)
	b.ReportMetric(float64(mesh.waitForSidecars("draining", &mesh.drained).Milliseconds()), "ms/drain")
}

// newEndpointPublisher returns a function that makes a sidecar publish an endpoint with a given state. Each call has a new sequence number,
// as if it were caused by a new keepalive.
func newEndpointPublisher(a *Agent, id string) func(discovery.State) {
	sequence := uint64(0)
	return func(s discovery.State) {
		sequence++
		a.Publish(discovery.Endpoint{
			ID:         id,
			Service:    a.settings.Service,
			AppAddress: a.settings.ApplicationAddress,
			Zone:       a.settings.Zone,
			Slots:      8,
			Sequence:   sequence,
			State:      s,
		})
	}
}
