package main

import (
	"fmt"
	"net"
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

func flood(b *testing.B, program string, n int) {
	// Each instance has an address of its own on loopback; the same little server is behind all.
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Write([]byte("ok")) })}
	defer server.Close()
	var all []consul.Instance
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", i>>8, i&255))
		if err != nil {
			b.Fatal(err)
		}
		go server.Serve(l)
		all = append(all, consul.Instance{
			Node: fmt.Sprintf("node-%d", i/10), ID: fmt.Sprintf("slot-keeper-%d", i), PassingWeight: 1, WarningWeight: 1,
			Meta: map[string]string{"zone": "salt-lake", "cell": fmt.Sprint(i % 10), "model": "m"}, Tags: []string{"v2"},
			Checks: []consul.Check{{CheckID: fmt.Sprintf("service:slot-keeper-%d", i), Name: "HTTP check", Status: "passing"}},
		}.WithAddress(l.Addr().String()))
	}
	c, err := consul.Start("", all...)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	address := freePort(b)
	file := filepath.Join(b.TempDir(), "sidecar.toml")
	text := strings.Replace(fmt.Sprintf(goodFile, "127.0.0.1:1"), "127.0.0.1:0", address, 1) + fmt.Sprintf(`
[membership]
source = "consul"
[consul]
agents = %q
service = "slot-keeper"
`, c.Address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(program, "-config", file)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG=")
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
	}()
	p := &process{t: b, url: "http://" + address}
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if res, err := http.Get(p.url + "/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			b.Fatal("never ready")
		}
	}
	measure := func(name string, during func()) {
		questions, _ := c.Queries()
		cpu := ticks(b, cmd.Process.Pid)
		began := time.Now()
		done := make(chan struct{})
		var mu sync.Mutex
		var took []time.Duration
		failed := 0
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
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
					mu.Lock()
					took = append(took, time.Since(sent))
					if err != nil || status != http.StatusOK {
						failed++
					}
					mu.Unlock()
				}
			})
		}
		during()
		close(done)
		callers.Wait()
		span := time.Since(began)
		after, _ := c.Queries()
		slices.Sort(took)
		if failed > 0 {
			b.Errorf("%s: %d of %d bookings were not served", name, failed, len(took))
		}
		b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, name+"-p50-ms")
		b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, name+"-p99-ms")
		b.ReportMetric(100*(ticks(b, cmd.Process.Pid)-cpu)/span.Seconds(), name+"-cpu-%")
		b.ReportMetric(float64(after-questions)*60/span.Seconds(), name+"-questions/min")
	}
	measure("quiet", func() { time.Sleep(floodTime) })
	measure("flood", func() {
		step := time.NewTicker(floodTime / floodSteps)
		defer step.Stop()
		for s := range floodSteps {
			<-step.C
			c.Update(func(all []consul.Instance) []consul.Instance {
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
	})
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(kilobytes(string(status), "VmHWM:")/1024, "MiB-peak")
	b.ReportMetric(kilobytes(string(status), "VmRSS:")/1024, "MiB-rss")
	b.ReportMetric(0, "ns/op")
}

// ticks is the processor time that a process has used, in seconds.
func ticks(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system float64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return (user + system) / 100
}

// BenchmarkDrain measures, ten times each run, how long after the answer that tells of a failing check the last
// booking still comes to its box, while bookings come without pause.
func BenchmarkDrain(b *testing.B) {
	tn := build(b, 4)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.shows("box-0", "box-1", "box-2", "box-3")
	var all []time.Duration
	for range 10 * b.N {
		index := tn.consul.SetStatus("box-1", "critical")
		var told time.Time
		tn.until("told", func() (ok bool) { told, ok = tn.consul.AnsweredAt(index); return ok })
		time.Sleep(300 * time.Millisecond)
		all = append(all, max(0, tn.boxes[1].came().Sub(told)))
		// So long that its coming back is no flap.
		time.Sleep(200 * time.Millisecond)
		before := tn.boxes[1].count()
		tn.consul.SetStatus("box-1", "passing")
		tn.until("back", func() bool { return tn.boxes[1].count() > before })
	}
	tn.calm()
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(all[len(all)-1].Microseconds())/1000, "most-ms")
	b.ReportMetric(0, "ns/op")
}
