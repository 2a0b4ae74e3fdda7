package main

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
)

// crowdTime is the length of a measurement.
const crowdTime = 3 * time.Second

// runReverseProxy is the program with which BenchmarkCrowd compares quincegap: net/http's reverse proxy, which sends requests round robin
// to the endpoints that BE_PROXY names, separated by commas. It prints its address in one line.
func runReverseProxy() {
	var next atomic.Uint64
	hosts := strings.Split(os.Getenv("BE_PROXY"), ",")
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	var targets []*httputil.ReverseProxy
	for _, host := range hosts {
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: host})
		proxy.Transport = transport
		targets = append(targets, proxy)
	}
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	err = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" {
			return
		}
		targets[next.Add(1)%uint64(len(targets))].ServeHTTP(w, r)
	}))
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// BenchmarkCrowd measures callers that book in step: each sends its next booking when all callers have their responses. The endpoints
// respond at once. It counts the rejected bookings, with the program that QUINCEGAP names and with net/http's reverse proxy, each on one
// core. A run takes crowdTime, whatever b.N is.
func BenchmarkCrowd(b *testing.B) {
	if os.Getenv("CROWD") == "" {
		b.Skip("CROWD is not set")
	}
	for _, endpoints := range []int{8, 64, 1000} {
		targets := startTargets(b, endpoints, defaultHandler)
		for _, callers := range []int{32, 256, 512, 1024} {
			b.Run(fmt.Sprintf("quincegap/%d-endpoints/%d", endpoints, callers), func(b *testing.B) {
				program := os.Getenv("QUINCEGAP")
				if program == "" {
					b.Skip("QUINCEGAP names no program")
				}
				text := fmt.Sprintf(sidecarFile, startDiscovery(b, targets...).Address()) + "[limits]\ncores = 1\nsockets = 4096\n"
				measureCrowd(b, runProgram(b, program, text), callers)
			})
			b.Run(fmt.Sprintf("proxy/%d-endpoints/%d", endpoints, callers), func(b *testing.B) {
				measureCrowd(b, startProxy(b, targets), callers)
			})
		}
	}
}

// startProxy runs net/http's reverse proxy over endpoints, on one core; see runReverseProxy.
func startProxy(b *testing.B, targets []booking.Target) *process {
	b.Helper()
	var hosts []string
	for _, target := range targets {
		hosts = append(hosts, target.Address)
	}
	proxy := &process{tb: b, cmd: command(os.Args[0])}
	proxy.cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "BE_PROXY="+strings.Join(hosts, ","))
	out, err := proxy.cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := proxy.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { killNow(proxy.cmd) })
	var address string
	if _, err := fmt.Fscanln(out, &address); err != nil {
		b.Fatal(err)
	}
	proxy.url = "http://" + address
	return proxy
}

// crowdFigures counts the bookings of a measurement by their outcome.
type crowdFigures struct {
	rejected, served, failed atomic.Int64
}

// book sends a booking for each step, on its own connection, and reports each outcome on done.
func (f *crowdFigures) book(b *testing.B, p *process, step <-chan struct{}, done chan<- struct{}) {
	b.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range step {
		status, err := p.book(client, "trip")
		switch {
		case err == nil && status == http.StatusOK:
			f.served.Add(1)
		case err == nil && status == http.StatusServiceUnavailable:
			f.rejected.Add(1)
		default:
			if f.failed.Add(1) == 1 {
				b.Logf("the first booking that failed: got status %d, error %v", status, err)
			}
		}
		done <- struct{}{}
	}
}

// measureCrowd has callers book in step for crowdTime, each on its own connection, and reports the metrics.
func measureCrowd(b *testing.B, target *process, callers int) {
	b.Helper()
	var figures crowdFigures
	var running sync.WaitGroup
	steps := make([]chan struct{}, callers)
	done := make(chan struct{}, callers)
	for i := range steps {
		steps[i] = make(chan struct{}, 1)
		running.Go(func() { figures.book(b, target, steps[i], done) })
	}
	before := cpuSeconds(b, target.cmd.Process.Pid)
	for end := time.Now().Add(crowdTime); time.Now().Before(end); {
		for _, step := range steps {
			step <- struct{}{}
		}
		for range steps {
			<-done
		}
	}
	cpu := cpuSeconds(b, target.cmd.Process.Pid) - before
	for _, step := range steps {
		close(step)
	}
	running.Wait()
	if figures.served.Load() == 0 {
		b.Fatal("no booking was served")
	}
	b.ReportMetric(float64(figures.rejected.Load()), "refused")
	b.ReportMetric(float64(figures.failed.Load()), "failed")
	b.ReportMetric(float64(figures.served.Load())/crowdTime.Seconds(), "requests/s")
	b.ReportMetric(1e6*cpu/float64(figures.served.Load()), "cpu-us/request")
	b.ReportMetric(0, "ns/op")
}
