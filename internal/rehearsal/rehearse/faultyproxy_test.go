package rehearse

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/product"
	real "quincegap/internal/standalone"
	"quincegap/internal/standin/booking"
)

// The test binary is also the sidecars of its rehearsals: the true one, or a liar that breaks one rule in one way.
const lieVariable = "REHEARSE_TEST_SIDECAR"

func TestMain(m *testing.M) {
	switch lie := os.Getenv(lieVariable); {
	case lie == "" || os.Getenv("BALANCER_CONFIG") == "":
		os.Exit(m.Run())
	case lie == "true":
		runProduct()
	default:
		if err := (&faultyProxy{fault: lie}).run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// runProduct is cmd/quincegap's main.
func runProduct() {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	file := ""
	if len(os.Args) == 3 && os.Args[1] == "-config" {
		file = os.Args[2]
	}
	config, err := product.SidecarConfig(file, os.Getenv)
	if err == nil {
		err = real.Run(config, stop, reload)
	}
	if err != nil {
		log.Fatal(err)
	}
}

// faultyProxy is a proxy that sends each request to one box at random, but for its lie.
type faultyProxy struct {
	fault  string
	client http.Client
	asked  atomic.Int64

	mu      sync.Mutex
	targets map[string]booking.Target
	order   []string
}

func (f *faultyProxy) run() error {
	var config struct{ Listen, Discovery string }
	text, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	f.targets = map[string]booking.Target{}
	f.client.Transport = &http.Transport{DisableKeepAlives: true}
	first := make(chan bool)
	go f.follow(config.Discovery, first)
	<-first
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		if f.fault != "deaf" {
			os.Exit(0)
		}
	}()
	return http.Serve(listener, f)
}

// follow keeps the list; one that does not heed it keeps its first.
func (f *faultyProxy) follow(address string, first chan bool) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/v1/endpoints?follow=1&since=0", nil)
	if err != nil {
		log.Fatal(err)
	}
	res, err := http.DefaultClient.Do(request)
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }() // with the process, at the latest
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		var m listMessage
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			continue
		}
		f.mu.Lock()
		for _, t := range m.Targets {
			if _, ok := f.targets[t.UID]; !ok {
				f.order = append(f.order, t.UID)
			}
			if f.fault != "drains" || t.State == "Ready" {
				f.targets[t.UID] = t
			}
		}
		f.mu.Unlock()
		if first != nil {
			close(first)
			first = nil
		}
	}
}

// waitReady are the boxes that may be sent to.
func (f *faultyProxy) ready() (all []booking.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, uid := range f.order {
		if t := f.targets[uid]; t.State == "Ready" {
			all = append(all, t)
		}
	}
	return all
}

// current sends a request to a box, and returns what came.
func (f *faultyProxy) attempt(ctx context.Context, r *http.Request, to booking.Target) (int, []byte) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+to.Address+r.RequestURI, nil)
	if err != nil {
		return 0, nil
	}
	if r.Method == http.MethodPost {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader("trip=dialysis\n")), int64(len("trip=dialysis\n"))
	}
	q.Header = r.Header.Clone()
	res, err := f.client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }() // it has been read to its end
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	if res.Header.Get("X-Turned-Away") != "" {
		return 429, nil
	}
	return res.StatusCode, body
}

func (f *faultyProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		if f.fault == "hang" && f.asked.Load() > 0 {
			select {}
		}
		return
	}
	number := f.asked.Add(1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	x := f.newExchange(w, r, number)
	play := proxyFaults[f.fault]
	if play == nil {
		play = (*exchange).honest // also deaf and drains
	}
	play(x)
}

// exchange is a request to the proxy, with the servers that it may go to.
type exchange struct {
	proxy          *faultyProxy
	w              http.ResponseWriter
	r              *http.Request
	number         int64
	ready          []booking.Target
	to, other, far booking.Target // at random, another one, and one of another cell
	left           time.Duration
}

func (f *faultyProxy) newExchange(w http.ResponseWriter, r *http.Request, number int64) *exchange {
	ready := f.ready()
	at := rand.IntN(len(ready))
	x := &exchange{proxy: f, w: w, r: r, number: number, ready: ready, to: ready[at], other: ready[(at+1)%len(ready)]}
	x.far = x.to
	for _, t := range ready {
		if t.Cell != x.to.Cell {
			x.far = t
		}
	}
	if left, err := parseRemaining(r.Header.Get("X-Remaining")); err == nil {
		x.left = left
	}
	return x
}

// send sends the request to a server, whether or not the caller is still there.
func (x *exchange) send(to booking.Target) (int, []byte) {
	return x.proxy.attempt(context.WithoutCancel(x.r.Context()), x.r, to)
}

// answer answers the caller.
func (x *exchange) answer(status int, body []byte) {
	x.w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // the caller may have gone
}

// raw takes the connection of the caller.
func (x *exchange) raw() net.Conn {
	c, _, err := x.w.(http.Hijacker).Hijack()
	if err != nil {
		log.Fatal(err)
	}
	return c
}

// proxyFaults are what a proxy does instead of sending a request once and answering it, by name.
var proxyFaults = map[string]func(x *exchange){
	"silent": func(x *exchange) { <-x.r.Context().Done() },
	"hang":   func(*exchange) { select {} },
	"late": func(x *exchange) {
		status, body := x.send(x.to)
		time.Sleep(x.left + 65*time.Millisecond)
		x.answer(status, body)
	},
	"closes": func(x *exchange) {
		x.send(x.to)
		closeConn(x.raw())
	},
	"invents": func(x *exchange) { x.answer(http.StatusOK, []byte("your trip is booked\n")) },
	"stale": func(x *exchange) { // the answer to another request
		_, body := x.send(x.to)
		x.answer(http.StatusOK, []byte(strings.Replace(string(body), "served r", "served r1", 1)))
	},
	"doubles":   (*exchange).doubles,
	"withdraws": (*exchange).withdraws,
	"cold":      (*exchange).toNewest,
	"crash":     (*exchange).crash,
	"twice": func(x *exchange) {
		go x.send(x.other)
		x.answer(x.send(x.to))
	},
	"again": func(x *exchange) { // an answer is thrown away
		x.send(x.to)
		time.Sleep(5 * time.Millisecond)
		x.answer(x.send(x.to))
	},
	"far": func(x *exchange) {
		x.send(x.to)
		x.answer(x.send(x.far))
	},
	"refuses": func(x *exchange) {
		x.send(x.to)
		x.answer(http.StatusServiceUnavailable, nil)
	},
	"after": func(x *exchange) {
		x.answer(x.send(x.to))
		x.w.(http.Flusher).Flush()
		time.Sleep(120 * time.Millisecond)
		x.send(x.to)
	},
	"many": func(x *exchange) {
		for range 8 {
			x.send(x.to)
		}
		x.answer(x.send(x.to))
	},
}

// doubles answers twice.
func (x *exchange) doubles() {
	_, body := x.send(x.to)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	c := x.raw()
	_, _ = io.WriteString(c, answer+answer) // the caller may have gone
	time.Sleep(100 * time.Millisecond)
	closeConn(c)
}

// withdraws cancels its attempt, and sends again at once.
func (x *exchange) withdraws() {
	short, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), 5*time.Millisecond)
	status, _ := x.proxy.attempt(short, x.r, x.to)
	cancel()
	if status == 0 {
		x.answer(x.send(x.other))
	} else {
		x.answer(http.StatusBadGateway, nil)
	}
}

// toNewest sends all to the server that has started last.
func (x *exchange) toNewest() {
	newest := x.ready[0]
	for _, t := range x.ready {
		if t.BootMS > newest.BootMS {
			newest = t
		}
	}
	status, body := x.send(newest)
	x.answer(max(status, http.StatusTooManyRequests), body)
}

// crash ends the proxy amid its work.
func (x *exchange) crash() {
	if x.number == 10 {
		panic(http.ErrAbortHandler)
	}
	if x.number == 20 {
		fmt.Fprintln(os.Stderr, "cannot go on")
		os.Exit(7)
	}
	x.answer(x.send(x.to))
}

// honest sends once, and answers what came.
func (x *exchange) honest() {
	status, body := x.send(x.to)
	if status == 0 {
		status = http.StatusBadGateway
	}
	x.answer(status, body)
}
