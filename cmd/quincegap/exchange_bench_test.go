package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/standin/udp"
)

// BenchmarkExchange measures the CPU time and latency of a booking on one core, by the protocols to callers and to endpoints and by the
// number of callers that share a fixed rate. A run takes exchangeTime, whatever b.N is.
func BenchmarkExchange(b *testing.B) {
	for _, protocols := range [][2]string{{"http1", "http1"}, {"http3", "http1"}, {"http1", "http3"}, {"http3", "http3"}} {
		for _, callers := range []int{32, 256} {
			b.Run(fmt.Sprintf("%s-%s/%d", protocols[0], protocols[1], callers), func(b *testing.B) {
				rig := openBench(b, protocols[1])
				rig.load(protocols[0], rig.udpAddress, callers, exchangeRate)
			})
		}
	}
}

// BenchmarkRemembering measures how much longer a booking takes if it is stored before it is forwarded. STORE_DIR names a directory on the
// disk that is measured.
func BenchmarkRemembering(b *testing.B) {
	for _, callers := range []int{1, 32, 256} {
		for _, how := range []string{"without", "with"} {
			b.Run(fmt.Sprintf("%s/%d", how, callers), func(b *testing.B) {
				more := ""
				if how == "with" {
					dir, err := os.MkdirTemp(os.Getenv("STORE_DIR"), "remembering") //nolint:usetesting // on the disk that is measured
					if err != nil {
						b.Fatal(err)
					}
					b.Cleanup(func() {
						if err := os.RemoveAll(dir); err != nil {
							b.Error(err)
						}
					})
					more = fmt.Sprintf("[memory]\nmemory_dir = %q\n", dir)
				}
				rig := openBench(b, "http1", more)
				rig.load("http1", rig.udpAddress, callers, min(exchangeRate, 200*callers))
			})
		}
	}
}

// BenchmarkLoss measures bookings over HTTP/3 on a path that loses datagrams, with a delay of 5 ms each way.
func BenchmarkLoss(b *testing.B) {
	for _, loss := range []float64{0, 0.01, 0.05} {
		b.Run(fmt.Sprintf("%g%%", 100*loss), func(b *testing.B) {
			rig := openBench(b, "http1")
			relay, err := udp.Start(rig.udpAddress, 1)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(relay.Close)
			relay.SetFault(udp.Fault{LossShare: loss, Delay: 5 * time.Millisecond})
			rig.load("http3", relay.Address(), 32, 300)
		})
	}
}

// sendSafe sends a safe request. It fails if the status is not 200 or the body of the response is incomplete.
func sendSafe(rt http.RoundTripper, method, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url+"/trips", nil)
	if err != nil {
		return err
	}
	request.Header.Set("X-Txn", fmt.Sprintf("t%d", lastTxn.Add(1)))
	request.Header.Set("X-Lane", "find-trip")
	request.Header.Set("X-Remaining", "6000m")
	response, err := rt.RoundTrip(request)
	if err != nil {
		return err
	}
	defer closeNow(response.Body)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("read response with status %d: %w", response.StatusCode, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s request: got status %d, want 200", method, response.StatusCode)
	}
	return nil
}

// BenchmarkHandshake measures the sidecar's CPU time and the time until the response for a new connection with one safe request, with a
// delay of 5 ms each way.
func BenchmarkHandshake(b *testing.B) {
	for _, kind := range []string{"http1", "full", "resumed", "0-RTT"} {
		b.Run(kind, func(b *testing.B) {
			rig := openBench(b, "http1")
			relay, err := udp.Start(rig.udpAddress, 1)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(relay.Close)
			relay.SetFault(udp.Fault{Delay: 5 * time.Millisecond})
			rig.handshakes(kind, relay.Address())
		})
	}
}

// handshakes makes 300 connections of a kind, one after the other, and reports the metrics.
func (b *bench) handshakes(kind, address string) {
	b.tb.Helper()
	const n = 300
	cache := tls.NewLRUClientSessionCache(8)
	if kind != "http1" {
		first := b.rig.caller(cache)
		if err := sendSafe(first, http.MethodGet, "https://"+address); err != nil {
			b.tb.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // enough for the session ticket to arrive
		closeNow(first)
	}
	var took []time.Duration
	before := cpuSeconds(b.tb, b.cmd.Process.Pid)
	for range n {
		rt, done, method, url := b.handshake(kind, address, cache)
		sent := time.Now()
		if err := sendSafe(rt, method, url); err != nil {
			b.tb.Fatal(err)
		}
		took = append(took, time.Since(sent))
		if kind == "resumed" || kind == "0-RTT" {
			time.Sleep(15 * time.Millisecond) // enough for the next session ticket to arrive
		}
		done()
	}
	cpu := cpuSeconds(b.tb, b.cmd.Process.Pid) - before
	slices.Sort(took)
	b.tb.ReportMetric(float64(took[n/2].Microseconds())/1000, "p50-ms")
	b.tb.ReportMetric(1e6*cpu/n, "cpu-us/connection")
	b.tb.ReportMetric(0, "ns/op")
}

// handshake returns a caller of a kind that is not connected yet, a function that closes it, and the method and the URL of its request.
func (b *bench) handshake(kind, address string, cache tls.ClientSessionCache) (rt http.RoundTripper, done func(), method, url string) {
	if kind == "http1" {
		transport := &http.Transport{}
		return transport, transport.CloseIdleConnections, http.MethodGet, b.url
	}
	if kind == "full" {
		cache = nil
	}
	method = http.MethodGet
	if kind == "0-RTT" {
		method = http3.MethodGet0RTT
	}
	transport := b.rig.caller(cache)
	return transport, func() { closeNow(transport) }, method, "https://" + address
}

// BenchmarkIdle measures the sidecar's memory for an idle connection from a caller.
func BenchmarkIdle(b *testing.B) {
	const n = 200
	for _, front := range []string{"http1", "http3"} {
		b.Run(front, func(b *testing.B) {
			rig := openBench(b, "http1")
			memory := func() float64 {
				return kilobytes(processStatus(b, rig.cmd.Process.Pid), "VmRSS:")
			}
			client := &http.Client{}
			connect := func(n int) {
				for range n {
					caller, done := rig.caller(front, rig.udpAddress)
					b.Cleanup(done)
					if t, ok := caller.transport.(*http3.Transport); ok {
						t.QUICConfig = &quic.Config{MaxIdleTimeout: time.Minute}
					}
					if status, err := caller.book(client, "trip"); err != nil || status != http.StatusOK {
						b.Fatalf("a booking on a new connection: got status %d, error %v, want status 200", status, err)
					}
				}
			}
			connect(50) // makes the sidecar allocate what all connections share
			before := memory()
			connect(n)
			b.ReportMetric((memory()-before)/n, "KiB/connection")
			b.ReportMetric(0, "ns/op")
		})
	}
}
