package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quincegap/internal/standin/consul"
)

// BenchmarkConsul runs a sidecar that follows Consul with 100, 1,000 and 10,000 instances under load, for 5 s without changes and for 5 s
// with 10,000 changes. It reports latencies, the sidecar's CPU time and memory, and the number of queries to Consul. Run it with a built
// program:
//
//	go build -o bin/ ./cmd/quincegap && QUINCEGAP=$PWD/bin/quincegap go test ./cmd/quincegap -run '^$' -bench Consul -benchtime 1x
func BenchmarkConsul(b *testing.B) {
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				measureFlood(b, program, n)
			}
		})
	}
}

// The flood of changes: floodChanges changes of a check within floodTime, in floodSteps equal steps.
const (
	floodTime    = 5 * time.Second
	floodChanges = 10000
	floodSteps   = 100
)

// floodRun is a run of a sidecar that follows a Consul with many instances.
type floodRun struct {
	b       *testing.B
	consul  *consul.Server
	sidecar *process
}

// measureFlood measures a sidecar with some instances, without changes and during a flood of changes.
func measureFlood(b *testing.B, program string, instances int) {
	b.Helper()
	// Each instance has a loopback address of its own; one server listens on all of them.
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w, "ok") })}
	defer closeNow(server)
	agent, err := consul.Start("", floodInstances(b, server, instances)...)
	if err != nil {
		b.Fatal(err)
	}
	defer agent.Close()
	address := freePort(b)
	file := filepath.Join(b.TempDir(), "sidecar.toml")
	writeFile(b, file, strings.Replace(fmt.Sprintf(sidecarFile, "127.0.0.1:1"), "127.0.0.1:0", address, 1)+fmt.Sprintf(`
[membership]
source = "consul"
[consul]
agents = %q
service = "slot-keeper"
`, agent.Address()))
	sidecar := &process{tb: b, cmd: command(program, "-config", file), url: "http://" + address}
	sidecar.cmd.Env = append(os.Environ(), "BALANCER_CONFIG=")
	if err := sidecar.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer killNow(sidecar.cmd)
	awaitReady(b, http.DefaultClient, sidecar.url, 5*time.Millisecond)
	f := &floodRun{b, agent, sidecar}
	f.measure("quiet", func() { time.Sleep(floodTime) })
	f.measure("flood", func() { f.change(instances) })
	status := processStatus(b, sidecar.cmd.Process.Pid)
	b.ReportMetric(kilobytes(status, "VmHWM:")/1024, "MiB-peak")
	b.ReportMetric(kilobytes(status, "VmRSS:")/1024, "MiB-rss")
	b.ReportMetric(0, "ns/op")
}

// floodInstances returns n instances, each at its own address. The server listens on all of them.
func floodInstances(b *testing.B, server *http.Server, n int) (all []consul.Instance) {
	b.Helper()
	for i := range n {
		listener, err := listen(fmt.Sprintf("127.77.%d.%d:0", i>>8, i&255))
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }() // returns when the server is closed
		all = append(all, consul.Instance{
			Node: fmt.Sprintf("node-%d", i/10), ID: fmt.Sprintf("slot-keeper-%d", i), PassingWeight: 1, WarningWeight: 1,
			Meta: map[string]string{"zone": "salt-lake", "cell": fmt.Sprint(i % 10), "model": "m"}, Tags: []string{"v2"},
			Checks: []consul.Check{{CheckID: fmt.Sprintf("service:slot-keeper-%d", i), Name: "HTTP check", Status: "passing"}},
		}.WithAddress(listener.Addr().String()))
	}
	return all
}

// measure has 8 callers book while a function runs, and reports metrics whose names begin with name.
func (f *floodRun) measure(name string, during func()) {
	b := f.b
	b.Helper()
	queries, _ := f.consul.Queries()
	cpu := cpuSeconds(b, f.sidecar.cmd.Process.Pid)
	began := time.Now()
	done := make(chan struct{})
	figures := &floodFigures{}
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() { figures.book(f.sidecar, done) })
	}
	during()
	close(done)
	callers.Wait()
	span := time.Since(began)
	after, _ := f.consul.Queries()
	took := figures.latencies
	slices.Sort(took)
	if figures.failed > 0 {
		b.Errorf("%s: %d of %d bookings were not served, want 0", name, figures.failed, len(took))
	}
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, name+"-p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, name+"-p99-ms")
	b.ReportMetric(100*(cpuSeconds(b, f.sidecar.cmd.Process.Pid)-cpu)/span.Seconds(), name+"-cpu-%")
	b.ReportMetric(float64(after-queries)*60/span.Seconds(), name+"-questions/min")
}

// floodFigures are the measurements of the callers.
type floodFigures struct {
	mu        sync.Mutex
	latencies []time.Duration // the latency of each booking
	failed    int             // the number of bookings that were not served
}

// book sends a booking every 10 ms until done is closed.
func (f *floodFigures) book(p *process, done <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	pace := time.NewTicker(10 * time.Millisecond)
	defer pace.Stop()
	for {
		select {
		case <-done:
			return
		case <-pace.C:
		}
		sent := time.Now()
		status, err := p.book(client, "trip")
		f.mu.Lock()
		f.latencies = append(f.latencies, time.Since(sent))
		if err != nil || status != http.StatusOK {
			f.failed++
		}
		f.mu.Unlock()
	}
}

// change makes the checks of the n instances fail and pass by turns, one instance after the other.
func (f *floodRun) change(n int) {
	step := time.NewTicker(floodTime / floodSteps)
	defer step.Stop()
	for i := range floodSteps {
		<-step.C
		f.consul.Update(func(all []consul.Instance) []consul.Instance {
			for k := range floodChanges / floodSteps {
				index := (i*floodChanges/floodSteps + k) % n
				status := "critical"
				if all[index].Checks[0].Status == "critical" {
					status = "passing"
				}
				all[index].Checks = []consul.Check{{CheckID: all[index].Checks[0].CheckID, Name: "HTTP check", Status: status}}
			}
			return all
		})
	}
}

// BenchmarkDrain measures, ten times per run, the time from Consul's answer with a failing check until the last booking arrives at the
// endpoint, while callers book without pause.
func BenchmarkDrain(b *testing.B) {
	rig := startConsulRig(b, 4)
	// With this setting no return of the endpoint counts as flapping, which would delay the return.
	config := strings.Replace(rig.settingsFile("127.0.0.1:1", "consul"), "[membership]\n", "[membership]\nfree_returns = 100\n", 1)
	rig.startSidecar(config)
	rig.awaitReady("box-0", "box-1", "box-2", "box-3")
	var all []time.Duration
	for range 10 * b.N {
		index := rig.consul.SetStatus("box-1", "critical")
		answered := rig.awaitAnswer(index)
		time.Sleep(300 * time.Millisecond)
		all = append(all, max(0, rig.endpoints[1].lastArrival().Sub(answered)))
		time.Sleep(200 * time.Millisecond)
		before := rig.endpoints[1].count()
		rig.consul.SetStatus("box-1", "passing")
		rig.await("box-1 gets bookings again", func() bool { return rig.endpoints[1].count() > before })
	}
	rig.stopCallers()
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(all[len(all)-1].Microseconds())/1000, "most-ms")
	b.ReportMetric(0, "ns/op")
}
