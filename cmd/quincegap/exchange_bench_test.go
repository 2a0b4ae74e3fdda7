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
)

// BenchmarkExchange measures what a booking costs on one core, by protocol and by the number of callers who
// share a fixed rate. QUINCEGAP names the program. A run takes exchangeTime whatever b.N is.
func BenchmarkExchange(b *testing.B) {
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	for _, callers := range []int{32, 256} {
		b.Run(fmt.Sprintf("http1/%d", callers), func(b *testing.B) { exchangeHTTP1(b, program, callers) })
	}
}

const (
	exchangeTime = 4 * time.Second
	exchangeRate = 3000 // bookings a second by all callers together, well below what one core can do
)

func exchangeHTTP1(b *testing.B, program string, callers int) {
	d := site(b, 4)
	p := run(b, program, fmt.Sprintf(goodFile, d.Address()))
	cpu := ticks(b, p.cmd.Process.Pid)
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	end := time.Now().Add(exchangeTime)
	for range callers {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			var own []time.Duration
			pace := time.NewTicker(time.Duration(callers) * time.Second / exchangeRate)
			defer pace.Stop()
			for time.Now().Before(end) {
				<-pace.C
				sent := time.Now()
				status, err := p.book(client, "trip")
				switch {
				case err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable:
					b.Errorf("a booking: status %d, %v", status, err)
					return
				case status == http.StatusOK:
					own = append(own, time.Since(sent))
				}
			}
			mu.Lock()
			took = append(took, own...)
			mu.Unlock()
		})
	}
	all.Wait()
	report(b, took, ticks(b, p.cmd.Process.Pid)-cpu)
}

func report(b *testing.B, took []time.Duration, cpu float64) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(1e6*cpu/float64(len(took)), "cpu-us/request")
	b.ReportMetric(float64(len(took))/exchangeTime.Seconds(), "requests/s")
	b.ReportMetric(0, "ns/op")
}

// run starts a program with a file, and waits until it serves.
func run(b *testing.B, program, text string) *process {
	b.Helper()
	at := freePort(b)
	file := filepath.Join(b.TempDir(), "sidecar.toml")
	if err := os.WriteFile(file, []byte(strings.Replace(text, "127.0.0.1:0", at, 1)), 0o600); err != nil {
		b.Fatal(err)
	}
	p := &process{t: b, url: "http://" + at}
	p.cmd = exec.Command(program, "-config", file)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG=", "GOMAXPROCS=1")
	if err := p.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		p.cmd.Process.Kill()
		p.cmd.Wait()
	})
	for until := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if res, err := http.Get(p.url + "/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return p
			}
		}
		if time.Now().After(until) {
			b.Fatal("never ready")
		}
	}
}
