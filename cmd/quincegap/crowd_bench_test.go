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

const crowdTime = 3 * time.Second

// beProxy serves as what quincegap is held against: net/http's reverse proxy over the endpoints that
// BE_PROXY names, in turn. It says its address in one line.
func beProxy() {
	var next atomic.Uint64
	hosts := strings.Split(os.Getenv("BE_PROXY"), ",")
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	var targets []*httputil.ReverseProxy
	for _, host := range hosts {
		p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: host})
		p.Transport = transport
		targets = append(targets, p)
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

// BenchmarkCrowd has callers book in step, the next booking of each when all have their answers, at endpoints that
// answer at once, and counts who is refused; beside it the same at net/http's reverse proxy. Each has one core. A
// run takes crowdTime whatever b.N is. It plays the program that QUINCEGAP names, or this build.
func BenchmarkCrowd(b *testing.B) {
	if os.Getenv("CROWD") == "" {
		b.Skip("CROWD is not set")
	}
	for _, endpoints := range []int{8, 64, 1000} {
		targets := crowdEndpoints(b, endpoints)
		for _, callers := range []int{32, 256, 512, 1024} {
			b.Run(fmt.Sprintf("quincegap/%d-endpoints/%d", endpoints, callers), func(b *testing.B) {
				program := os.Getenv("QUINCEGAP")
				if program == "" {
					b.Skip("QUINCEGAP names no program")
				}
				text := fmt.Sprintf(goodFile, startDiscovery(b, targets...).Address()) + "[limits]\ncores = 1\nsockets = 4096\n"
				crowd(b, run(b, program, text), callers)
			})
			b.Run(fmt.Sprintf("proxy/%d-endpoints/%d", endpoints, callers), func(b *testing.B) {
				crowd(b, startProxy(b, targets), callers)
			})
		}
	}
}

// crowdEndpoints starts n endpoints that answer at once.
func crowdEndpoints(b *testing.B, n int) (targets []booking.Target) {
	b.Helper()
	for i := range n {
		e, err := booking.StartEndpoint(fmt.Sprintf("box-%d", i), nil)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(e.Close)
		targets = append(targets, e.Target())
	}
	return targets
}

// startProxy runs net/http's reverse proxy over endpoints, on one core; see beProxy.
func startProxy(b *testing.B, targets []booking.Target) *process {
	b.Helper()
	var hosts []string
	for _, target := range targets {
		hosts = append(hosts, target.Address)
	}
	p := &process{t: b, cmd: command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "BE_PROXY="+strings.Join(hosts, ","))
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { killNow(p.cmd) })
	var at string
	if _, err := fmt.Fscanln(out, &at); err != nil {
		b.Fatal(err)
	}
	p.url = "http://" + at
	return p
}

// crowdFigures count how bookings ended.
type crowdFigures struct {
	refused, served, failed atomic.Int64
}

// book books once for each step, on a connection of its own, and says so each time.
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
			f.refused.Add(1)
		default:
			if f.failed.Add(1) == 1 {
				b.Logf("failed: status %d, %v", status, err)
			}
		}
		done <- struct{}{}
	}
}

// crowd has callers book in step for a while, each on a connection of its own, and reports.
func crowd(b *testing.B, p *process, callers int) {
	b.Helper()
	var figures crowdFigures
	var all sync.WaitGroup
	step := make([]chan struct{}, callers)
	done := make(chan struct{}, callers)
	for i := range step {
		step[i] = make(chan struct{}, 1)
		all.Go(func() { figures.book(b, p, step[i], done) })
	}
	before := ticks(b, p.cmd.Process.Pid)
	for end := time.Now().Add(crowdTime); time.Now().Before(end); {
		for _, s := range step {
			s <- struct{}{}
		}
		for range step {
			<-done
		}
	}
	cpu := ticks(b, p.cmd.Process.Pid) - before
	for _, s := range step {
		close(s)
	}
	all.Wait()
	if figures.served.Load() == 0 {
		b.Fatal("nothing was served")
	}
	b.ReportMetric(float64(figures.refused.Load()), "refused")
	b.ReportMetric(float64(figures.failed.Load()), "failed")
	b.ReportMetric(float64(figures.served.Load())/crowdTime.Seconds(), "requests/s")
	b.ReportMetric(1e6*cpu/float64(figures.served.Load()), "cpu-us/request")
	b.ReportMetric(0, "ns/op")
}
