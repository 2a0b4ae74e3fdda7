package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/h3"
)

const (
	exchangeTime = 4 * time.Second // length of a measurement
	exchangeRate = 1500            // bookings per second by all callers together, well below the capacity of one core
)

// bench is a sidecar on one core under a benchmark, with endpoints that serve HTTP/1.1 and HTTP/3.
type bench struct {
	*process
	tb            *testing.B
	rig           *http3Rig
	udpAddress    string // the address on which the sidecar serves HTTP/3
	allowFailures bool   // whether bookings may be answered with 502; their number is reported
}

// openBench starts the program that QUINCEGAP names; without that it skips the benchmark. toEndpoints is the protocol that the program uses
// to endpoints: http1 or http3. more are further lines of its settings file.
func openBench(b *testing.B, toEndpoints string, more ...string) *bench {
	b.Helper()
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	clients := newHTTP3Rig(b)
	cert, err := clients.ca.Pair("slot-keeper.example.org")
	if err != nil {
		b.Fatal(err)
	}
	var targets []booking.Target
	for len(targets) < 4 {
		endpoint, err := booking.StartEndpoint(fmt.Sprintf("box-%d", len(targets)), nil)
		if err != nil {
			b.Fatal(err)
		}
		overHTTP3, err := h3.Start(endpoint.Target().Address, cert, h3.Options{MaxStreams: 1000}, answerOK)
		if err != nil {
			endpoint.Close() // another program uses the port number for UDP
			continue
		}
		b.Cleanup(endpoint.Close)
		b.Cleanup(overHTTP3.Close)
		targets = append(targets, endpoint.Target())
	}
	discovery := startDiscovery(b, targets...)
	rig := &bench{tb: b, rig: clients, udpAddress: freePort(b)}
	text := clients.settingsFile(discovery.Address(), rig.udpAddress) + "http3_connections = 1000\n"
	if toEndpoints == "http3" {
		text += "[http3-endpoints]\nhttp3_to_endpoints = \"prefer\"\nhttp3_server_name = \"slot-keeper.example.org\"\n" +
			fmt.Sprintf("http3_ca_file = %q\n", clients.put("ca.pem", string(clients.ca.PEM())))
	}
	rig.process = runProgram(b, program, text+strings.Join(more, ""))
	return rig
}

// caller returns a caller with a new connection over a protocol, and a function that closes the connection. HTTP/3 connects to the address.
func (b *bench) caller(protocol, address string) (caller *process, done func()) {
	if protocol == "http1" {
		transport := &http.Transport{}
		return &process{tb: b.tb, url: b.url, transport: transport}, transport.CloseIdleConnections
	}
	transport := b.rig.caller(nil)
	return b.over(transport, address), func() { closeNow(transport) }
}

// loadFigures are the outcomes of the bookings of a measurement.
type loadFigures struct {
	bench                   *bench
	rejected, failed, count atomic.Int64 // the numbers of rejected, failed and all bookings

	mu        sync.Mutex
	latencies []time.Duration // the latency of each booking that was served
}

// book sends a booking per interval until end, and records the outcomes.
func (f *loadFigures) book(caller *process, client *http.Client, interval time.Duration, end time.Time) {
	var latencies []time.Duration
	pace := time.NewTicker(interval)
	defer pace.Stop()
	for time.Now().Before(end) {
		<-pace.C
		sent := time.Now()
		status, err := caller.book(client, "trip")
		f.count.Add(1)
		switch {
		case f.bench.allowFailures && err == nil && status == http.StatusBadGateway:
			f.failed.Add(1)
		case err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable:
			f.bench.tb.Errorf("a booking: got status %d, error %v, want status 200 or 503", status, err)
			return
		case status == http.StatusOK:
			latencies = append(latencies, time.Since(sent))
		default:
			f.rejected.Add(1)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latencies = append(f.latencies, latencies...)
}

// load has callers book for exchangeTime at a rate, which is in bookings per second for all of them together. It reports the metrics and
// returns the number of bookings.
func (b *bench) load(protocol, address string, callers, rate int) (sent int64) {
	figures := &loadFigures{bench: b}
	var running sync.WaitGroup
	ready := make(chan bool, callers)
	begin := make(chan struct{})
	var end time.Time
	for range callers {
		running.Go(func() {
			caller, done := b.caller(protocol, address)
			defer done()
			client := &http.Client{}
			_, _ = caller.book(client, "trip") // opens the connection, and is not measured
			ready <- true
			<-begin
			figures.book(caller, client, time.Duration(callers)*time.Second/time.Duration(rate), end)
		})
	}
	for range callers {
		<-ready
	}
	cpu := cpuSeconds(b.tb, b.cmd.Process.Pid)
	end = time.Now().Add(exchangeTime)
	close(begin)
	running.Wait()
	cpu = cpuSeconds(b.tb, b.cmd.Process.Pid) - cpu
	took := figures.latencies
	if len(took) == 0 {
		b.tb.Fatal("no booking was served")
	}
	slices.Sort(took)
	b.tb.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.tb.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	b.tb.ReportMetric(1e6*cpu/float64(len(took)), "cpu-us/request")
	b.tb.ReportMetric(float64(len(took))/exchangeTime.Seconds(), "requests/s")
	b.tb.ReportMetric(float64(figures.rejected.Load()), "refused")
	if b.allowFailures {
		b.tb.ReportMetric(float64(figures.failed.Load()), "failed")
	}
	b.tb.ReportMetric(0, "ns/op")
	return figures.count.Load() + int64(callers)
}
