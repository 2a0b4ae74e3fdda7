package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quincegap/internal/standin/consul"
)

// BenchmarkConsul follows Consul with 100, 1,000 and 10,000 instances, quiet for 5 s and then in a flood of
// 10,000 changes in 5 s, while bookings go on. It reports latencies, the sidecar's CPU and memory, and the
// questions to Consul. Run it with a built program:
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
				flood(b, program, n)
			}
		})
	}
}

const (
	floodTime    = 5 * time.Second
	floodChanges = 10000
	floodSteps   = 100
)

// floodRun is a sidecar that follows a Consul with many instances.
type floodRun struct {
	b      *testing.B
	consul *consul.Server
	cmd    *exec.Cmd
	p      *process
}

// flood measures the sidecar with n instances, quiet and in a flood of changes.
func flood(b *testing.B, program string, n int) {
	b.Helper()
	// Each instance has an address of its own on loopback; the same little server is behind all.
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w, "ok") })}
	defer closeNow(server)
	c, err := consul.Start("", floodInstances(b, server, n)...)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	address := freePort(b)
	file := filepath.Join(b.TempDir(), "sidecar.toml")
	putFile(b, file, strings.Replace(fmt.Sprintf(goodFile, "127.0.0.1:1"), "127.0.0.1:0", address, 1)+fmt.Sprintf(`
[membership]
source = "consul"
[consul]
agents = %q
service = "slot-keeper"
`, c.Address()))
	f := &floodRun{b, c, command(program, "-config", file), &process{t: b, url: "http://" + address}}
	f.cmd.Env = append(os.Environ(), "BALANCER_CONFIG=")
	if err := f.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer killNow(f.cmd)
	awaitReady(b, http.DefaultClient, f.p.url, 5*time.Millisecond)
	f.measure("quiet", func() { time.Sleep(floodTime) })
	f.measure("flood", func() { f.change(n) })
	status := processStatus(b, f.cmd.Process.Pid)
	b.ReportMetric(kilobytes(status, "VmHWM:")/1024, "MiB-peak")
	b.ReportMetric(kilobytes(status, "VmRSS:")/1024, "MiB-rss")
	b.ReportMetric(0, "ns/op")
}

// floodInstances are n instances of a server, each at an address of its own.
func floodInstances(b *testing.B, server *http.Server, n int) (all []consul.Instance) {
	b.Helper()
	for i := range n {
		l, err := listen(fmt.Sprintf("127.77.%d.%d:0", i>>8, i&255))
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = server.Serve(l) }() // until the server is closed
		all = append(all, consul.Instance{
			Node: fmt.Sprintf("node-%d", i/10), ID: fmt.Sprintf("slot-keeper-%d", i), PassingWeight: 1, WarningWeight: 1,
			Meta: map[string]string{"zone": "salt-lake", "cell": fmt.Sprint(i % 10), "model": "m"}, Tags: []string{"v2"},
			Checks: []consul.Check{{CheckID: fmt.Sprintf("service:slot-keeper-%d", i), Name: "HTTP check", Status: "passing"}},
		}.WithAddress(l.Addr().String()))
	}
	return all
}

// measure has 8 callers book while something happens, and reports under a name.
func (f *floodRun) measure(name string, during func()) {
	b := f.b
	b.Helper()
	questions, _ := f.consul.Queries()
	cpu := ticks(b, f.cmd.Process.Pid)
	began := time.Now()
	done := make(chan struct{})
	figures := &floodFigures{}
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() { figures.book(f.p, done) })
	}
	during()
	close(done)
	callers.Wait()
	span := time.Since(began)
	after, _ := f.consul.Queries()
	took := figures.took
	slices.Sort(took)
	if figures.failed > 0 {
		b.Errorf("%s: %d of %d bookings were not served", name, figures.failed, len(took))
	}
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, name+"-p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, name+"-p99-ms")
	b.ReportMetric(100*(ticks(b, f.cmd.Process.Pid)-cpu)/span.Seconds(), name+"-cpu-%")
	b.ReportMetric(float64(after-questions)*60/span.Seconds(), name+"-questions/min")
}

// floodFigures are how long bookings took, and how many were not served.
type floodFigures struct {
	mu     sync.Mutex
	took   []time.Duration
	failed int
}

// book books every 10 ms until done is closed.
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
		f.took = append(f.took, time.Since(sent))
		if err != nil || status != http.StatusOK {
			f.failed++
		}
		f.mu.Unlock()
	}
}

// change turns the checks of all n instances over and over.
func (f *floodRun) change(n int) {
	step := time.NewTicker(floodTime / floodSteps)
	defer step.Stop()
	for s := range floodSteps {
		<-step.C
		f.consul.Update(func(all []consul.Instance) []consul.Instance {
			for k := range floodChanges / floodSteps {
				i := (s*floodChanges/floodSteps + k) % n
				status := "critical"
				if all[i].Checks[0].Status == "critical" {
					status = "passing"
				}
				all[i].Checks = []consul.Check{{CheckID: all[i].Checks[0].CheckID, Name: "HTTP check", Status: status}}
			}
			return all
		})
	}
}

// ticks is the processor time that a process has used, in seconds.
func ticks(tb testing.TB, pid int) float64 {
	tb.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		tb.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system float64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		tb.Fatal(err)
	}
	return (user + system) / 100
}

// BenchmarkDrain measures, ten times each run, how long after the answer that tells of a failing check the last
// booking still comes to its box, while bookings come without pause.
func BenchmarkDrain(b *testing.B) {
	tn := startConsulRig(b, 4)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.awaitReady("box-0", "box-1", "box-2", "box-3")
	var all []time.Duration
	for range 10 * b.N {
		index := tn.consul.SetStatus("box-1", "critical")
		var told time.Time
		tn.until("told", func() (ok bool) { told, ok = tn.consul.AnsweredAt(index); return ok })
		time.Sleep(300 * time.Millisecond)
		all = append(all, max(0, tn.endpoints[1].lastCame().Sub(told)))
		// So long that its coming back is no flap.
		time.Sleep(200 * time.Millisecond)
		before := tn.endpoints[1].count()
		tn.consul.SetStatus("box-1", "passing")
		tn.until("back", func() bool { return tn.endpoints[1].count() > before })
	}
	tn.stopCallers()
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(all[len(all)-1].Microseconds())/1000, "most-ms")
	b.ReportMetric(0, "ns/op")
}
