package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/h3"
	"quincegap/internal/standin/udp"
)

const (
	exchangeTime = 4 * time.Second
	exchangeRate = 1500 // bookings a second by all callers together, well below what one core can do
)

// bench is a sidecar on one core with endpoints that speak both protocols.
type bench struct {
	*process
	b   *testing.B
	d   *http3Rig
	udp string
	may bool // bookings may fail, which is reported
}

// open starts the program that QUINCEGAP names; toEndpoints is by which protocol it speaks to endpoints.
func openBench(b *testing.B, toEndpoints string, more ...string) *bench {
	b.Helper()
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	d := newHTTP3Rig(b)
	cert, err := d.ca.Pair("slot-keeper.example.org")
	if err != nil {
		b.Fatal(err)
	}
	var targets []booking.Target
	for len(targets) < 4 {
		e, err := booking.StartEndpoint(fmt.Sprintf("box-%d", len(targets)), nil)
		if err != nil {
			b.Fatal(err)
		}
		over3, err := h3.Start(e.Target().Address, cert, h3.Options{MaxStreams: 1000}, answerOK)
		if err != nil {
			e.Close()
			continue
		}
		b.Cleanup(e.Close)
		b.Cleanup(over3.Close)
		targets = append(targets, e.Target())
	}
	disc := startDiscovery(b, targets...)
	x := &bench{b: b, d: d, udp: freePort(b)}
	text := d.text(disc.Address(), x.udp) + "http3_connections = 1000\n"
	if toEndpoints == "http3" {
		text += fmt.Sprintf("[http3-endpoints]\nhttp3_to_endpoints = \"prefer\"\nhttp3_ca_file = %q\nhttp3_server_name = \"slot-keeper.example.org\"\n",
			d.put("ca.pem", d.ca.PEM()))
	}
	x.process = run(b, program, text+strings.Join(more, ""))
	return x
}

// caller is one with a connection of its own.
func (b *bench) caller(front string, address string) (*process, func()) {
	if front == "http1" {
		t := &http.Transport{}
		return &process{t: b.b, url: b.url, by: t}, t.CloseIdleConnections
	}
	c := b.d.caller(nil)
	return b.over(c, address), func() { closeNow(c) }
}

// BenchmarkExchange measures what a booking costs on one core, by protocol on both sides and by the number of
// callers who share a fixed rate. A run takes exchangeTime whatever b.N is.
func BenchmarkExchange(b *testing.B) {
	for _, way := range [][2]string{{"http1", "http1"}, {"http3", "http1"}, {"http1", "http3"}, {"http3", "http3"}} {
		for _, callers := range []int{32, 256} {
			b.Run(fmt.Sprintf("%s-%s/%d", way[0], way[1], callers), func(b *testing.B) {
				x := openBench(b, way[1])
				x.load(way[0], x.udp, callers, exchangeRate)
			})
		}
	}
}

// BenchmarkRemembering measures what a booking takes longer where it is remembered before it goes out. STORE_DIR names
// a directory on the disk that is meant.
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
				x := openBench(b, "http1", more)
				x.load("http1", x.udp, callers, min(exchangeRate, 200*callers))
			})
		}
	}
}

// BenchmarkLoss is bookings over HTTP/3 over a path that loses datagrams, with 5 ms each way.
func BenchmarkLoss(b *testing.B) {
	for _, loss := range []float64{0, 0.01, 0.05} {
		b.Run(fmt.Sprintf("%g%%", 100*loss), func(b *testing.B) {
			x := openBench(b, "http1")
			relay, err := udp.Start(x.udp, 1)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(relay.Close)
			relay.SetFault(udp.Fault{LossShare: loss, Delay: 5 * time.Millisecond})
			x.load("http3", relay.Address(), 32, 300)
		})
	}
}

// loadFigures are how bookings at a rate ended.
type loadFigures struct {
	b                      *bench
	refused, failed, count atomic.Int64

	mu   sync.Mutex
	took []time.Duration // of those that were served
}

// book books at a pace until a time, and notes what became of it.
func (f *loadFigures) book(c *process, client *http.Client, every time.Duration, end time.Time) {
	var own []time.Duration
	pace := time.NewTicker(every)
	defer pace.Stop()
	for time.Now().Before(end) {
		<-pace.C
		sent := time.Now()
		status, err := c.book(client, "trip")
		f.count.Add(1)
		switch {
		case f.b.may && err == nil && status == http.StatusBadGateway:
			f.failed.Add(1)
		case err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable:
			f.b.b.Errorf("a booking: status %d, %v", status, err)
			return
		case status == http.StatusOK:
			own = append(own, time.Since(sent))
		default:
			f.refused.Add(1)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.took = append(f.took, own...)
}

// load has callers book at a rate, and reports.
func (b *bench) load(front, address string, callers, rate int) (asked int64) {
	figures := &loadFigures{b: b}
	var all sync.WaitGroup
	ready := make(chan bool, callers)
	begin := make(chan struct{})
	var end time.Time
	for range callers {
		all.Go(func() {
			c, done := b.caller(front, address)
			defer done()
			client := &http.Client{}
			_, _ = c.book(client, "trip") // for the connection: what is measured follows
			ready <- true
			<-begin
			figures.book(c, client, time.Duration(callers)*time.Second/time.Duration(rate), end)
		})
	}
	for range callers {
		<-ready
	}
	cpu := ticks(b.b, b.cmd.Process.Pid)
	end = time.Now().Add(exchangeTime)
	close(begin)
	all.Wait()
	cpu = ticks(b.b, b.cmd.Process.Pid) - cpu
	took := figures.took
	if len(took) == 0 {
		b.b.Fatal("nothing was served")
	}
	slices.Sort(took)
	b.b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	b.b.ReportMetric(1e6*cpu/float64(len(took)), "cpu-us/request")
	b.b.ReportMetric(float64(len(took))/exchangeTime.Seconds(), "requests/s")
	b.b.ReportMetric(float64(figures.refused.Load()), "refused")
	if b.may {
		b.b.ReportMetric(float64(figures.failed.Load()), "failed")
	}
	b.b.ReportMetric(0, "ns/op")
	return figures.count.Load() + int64(callers)
}

// find is a safe request on a connection of its own.
func find(rt http.RoundTripper, method, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url+"/trips", nil)
	if err != nil {
		return err
	}
	r.Header.Set("X-Txn", fmt.Sprintf("t%d", txn.Add(1)))
	r.Header.Set("X-Lane", "find-trip")
	r.Header.Set("X-Remaining", "6000m")
	res, err := rt.RoundTrip(r)
	if err != nil {
		return err
	}
	defer closeNow(res.Body)
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("status %d: %w", res.StatusCode, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// BenchmarkHandshake measures a connection with one safe request, 5 ms away: what it costs the sidecar, and the time
// until the answer.
func BenchmarkHandshake(b *testing.B) {
	for _, kind := range []string{"http1", "full", "resumed", "0-RTT"} {
		b.Run(kind, func(b *testing.B) {
			x := openBench(b, "http1")
			relay, err := udp.Start(x.udp, 1)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(relay.Close)
			relay.SetFault(udp.Fault{Delay: 5 * time.Millisecond})
			x.handshakes(kind, relay.Address())
		})
	}
}

// handshakes measures connections of a kind, one after the other.
func (b *bench) handshakes(kind, address string) {
	const n = 300
	b.b.Helper()
	cache := tls.NewLRUClientSessionCache(8)
	if kind != "http1" {
		c := b.d.caller(cache)
		if err := find(c, http.MethodGet, "https://"+address); err != nil {
			b.b.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // for the ticket
		closeNow(c)
	}
	var took []time.Duration
	before := ticks(b.b, b.cmd.Process.Pid)
	for range n {
		rt, done, method, url := b.handshake(kind, address, cache)
		sent := time.Now()
		if err := find(rt, method, url); err != nil {
			b.b.Fatal(err)
		}
		took = append(took, time.Since(sent))
		if kind == "resumed" || kind == "0-RTT" {
			time.Sleep(15 * time.Millisecond) // for the next ticket
		}
		done()
	}
	cpu := ticks(b.b, b.cmd.Process.Pid) - before
	slices.Sort(took)
	b.b.ReportMetric(float64(took[n/2].Microseconds())/1000, "p50-ms")
	b.b.ReportMetric(1e6*cpu/n, "cpu-us/connection")
	b.b.ReportMetric(0, "ns/op")
}

// handshake is a caller of a kind without a connection, how it is closed, and what it asks for.
func (b *bench) handshake(kind, address string, cache tls.ClientSessionCache) (rt http.RoundTripper, done func(), method, url string) {
	if kind == "http1" {
		t := &http.Transport{}
		return t, t.CloseIdleConnections, http.MethodGet, b.url
	}
	if kind == "full" {
		cache = nil
	}
	method = http.MethodGet
	if kind == "0-RTT" {
		method = http3.MethodGet0RTT
	}
	c := b.d.caller(cache)
	return c, func() { closeNow(c) }, method, "https://" + address
}

// BenchmarkIdle measures what memory an idle connection from a caller takes.
func BenchmarkIdle(b *testing.B) {
	const n = 200
	for _, front := range []string{"http1", "http3"} {
		b.Run(front, func(b *testing.B) {
			x := openBench(b, "http1")
			memory := func() float64 {
				return kilobytes(processStatus(b, x.cmd.Process.Pid), "VmRSS:")
			}
			client := &http.Client{}
			connect := func(n int) {
				for range n {
					c, done := x.caller(front, x.udp)
					b.Cleanup(done)
					if t, ok := c.by.(*http3.Transport); ok {
						t.QUICConfig = &quic.Config{MaxIdleTimeout: time.Minute}
					}
					if status, err := c.book(client, "trip"); err != nil || status != http.StatusOK {
						b.Fatal(status, err)
					}
				}
			}
			connect(50) // what is needed once
			before := memory()
			connect(n)
			b.ReportMetric((memory()-before)/n, "KiB/connection")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// run starts a program with a file, and waits until it serves.
func run(b *testing.B, program, text string) *process {
	b.Helper()
	at := freePort(b)
	file := filepath.Join(b.TempDir(), "sidecar.toml")
	putFile(b, file, strings.Replace(text, "127.0.0.1:0", at, 1))
	p := &process{t: b, url: "http://" + at}
	p.cmd = command(program, "-config", file)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG=", "GOMAXPROCS=1")
	if err := p.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		killNow(p.cmd)
	})
	awaitReady(b, http.DefaultClient, p.url, 5*time.Millisecond)
	return p
}
