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

// sidecarVariable selects which sidecar the test binary is in a rehearsal that it has started: the product, or a proxy with a fault.
const sidecarVariable = "REHEARSE_TEST_SIDECAR"

func TestMain(m *testing.M) {
	switch sidecar := os.Getenv(sidecarVariable); {
	case sidecar == "" || os.Getenv("BALANCER_CONFIG") == "":
		os.Exit(m.Run())
	case sidecar == "true":
		runProduct()
	default:
		if err := (&faultyProxy{fault: sidecar}).run(); err != nil {
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

// faultyProxy is a proxy that sends each request to one server at random, and breaks one rule in one way: its fault.
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

// follow keeps the list of servers up to date; first is closed once there is one. With the fault "drains" it ignores states other
// than Ready.
func (f *faultyProxy) follow(address string, first chan bool) {
	url := "http://" + address + "/v1/endpoints?follow=1&since=0"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
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

// ready returns the servers that may be sent to.
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

// attempt sends a request to a server, and returns the status and body of its answer; status 0 if there was none.
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
	_, _ = io.Copy(io.Discard, r.Body) // the fault does not depend on the body
	e := f.newExchange(w, r, number)
	serve := proxyFaults[f.fault]
	if serve == nil {
		serve = (*exchange).honest // also deaf, whose fault is in run, and drains, whose fault is in follow
	}
	serve(e)
}

// exchange is one request to the proxy, with the servers that it may go to.
type exchange struct {
	proxy          *faultyProxy
	response       http.ResponseWriter
	request        *http.Request
	number         int64
	ready          []booking.Target
	to, other, far booking.Target // a server drawn at random, the one after it, and one of another cell
	left           time.Duration  // that the caller waits; 0 if it does not say
}

func (f *faultyProxy) newExchange(w http.ResponseWriter, r *http.Request, number int64) *exchange {
	ready := f.ready()
	at := rand.IntN(len(ready))
	e := &exchange{
		proxy: f, response: w, request: r, number: number, ready: ready,
		to: ready[at], other: ready[(at+1)%len(ready)],
	}
	e.far = e.to
	for _, t := range ready {
		if t.Cell != e.to.Cell {
			e.far = t
		}
	}
	if left, err := parseRemaining(r.Header.Get("X-Remaining")); err == nil {
		e.left = left
	}
	return e
}

// send sends the request to a server, whether or not the caller is still there.
func (e *exchange) send(to booking.Target) (int, []byte) {
	return e.proxy.attempt(context.WithoutCancel(e.request.Context()), e.request, to)
}

// answer answers the caller.
func (e *exchange) answer(status int, body []byte) {
	e.response.Header().Set("Content-Length", fmt.Sprint(len(body)))
	e.response.WriteHeader(status)
	_, _ = e.response.Write(body) // the caller may have gone
}

// hijack takes over the connection of the caller.
func (e *exchange) hijack() net.Conn {
	c, _, err := e.response.(http.Hijacker).Hijack()
	if err != nil {
		log.Fatal(err)
	}
	return c
}

// proxyFaults are what a proxy does instead of sending a request once and answering it, by the name of the fault.
var proxyFaults = map[string]func(e *exchange){
	"silent": func(e *exchange) { <-e.request.Context().Done() },
	"hang":   func(*exchange) { select {} },
	"late": func(e *exchange) {
		status, body := e.send(e.to)
		time.Sleep(e.left + 65*time.Millisecond)
		e.answer(status, body)
	},
	"closes": func(e *exchange) {
		e.send(e.to)
		closeConn(e.hijack())
	},
	"invents": func(e *exchange) { e.answer(http.StatusOK, []byte("your trip is booked\n")) },
	"stale": func(e *exchange) { // the answer to another request
		_, body := e.send(e.to)
		e.answer(http.StatusOK, []byte(strings.Replace(string(body), "served r", "served r1", 1)))
	},
	"doubles":   (*exchange).doubles,
	"withdraws": (*exchange).withdraws,
	"cold":      (*exchange).toNewest,
	"crash":     (*exchange).crash,
	"twice": func(e *exchange) {
		go e.send(e.other)
		e.answer(e.send(e.to))
	},
	"again": func(e *exchange) { // an answer is thrown away
		e.send(e.to)
		time.Sleep(5 * time.Millisecond)
		e.answer(e.send(e.to))
	},
	"far": func(e *exchange) {
		e.send(e.to)
		e.answer(e.send(e.far))
	},
	"refuses": func(e *exchange) {
		e.send(e.to)
		e.answer(http.StatusServiceUnavailable, nil)
	},
	"after": func(e *exchange) {
		e.answer(e.send(e.to))
		e.response.(http.Flusher).Flush()
		time.Sleep(120 * time.Millisecond)
		e.send(e.to)
	},
	"many": func(e *exchange) {
		for range 8 {
			e.send(e.to)
		}
		e.answer(e.send(e.to))
	},
}

// doubles answers twice.
func (e *exchange) doubles() {
	_, body := e.send(e.to)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	c := e.hijack()
	_, _ = io.WriteString(c, answer+answer) // the caller may have gone
	time.Sleep(100 * time.Millisecond)
	closeConn(c)
}

// withdraws cancels its attempt, and sends again at once.
func (e *exchange) withdraws() {
	short, cancel := context.WithTimeout(context.WithoutCancel(e.request.Context()), 5*time.Millisecond)
	status, _ := e.proxy.attempt(short, e.request, e.to)
	cancel()
	if status == 0 {
		e.answer(e.send(e.other))
	} else {
		e.answer(http.StatusBadGateway, nil)
	}
}

// toNewest sends all to the server that has started last.
func (e *exchange) toNewest() {
	newest := e.ready[0]
	for _, t := range e.ready {
		if t.BootMS > newest.BootMS {
			newest = t
		}
	}
	status, body := e.send(newest)
	e.answer(max(status, http.StatusTooManyRequests), body)
}

// crash aborts the tenth request, and ends the process at the twentieth.
func (e *exchange) crash() {
	if e.number == 10 {
		panic(http.ErrAbortHandler)
	}
	if e.number == 20 {
		fmt.Fprintln(os.Stderr, "cannot go on")
		os.Exit(7)
	}
	e.answer(e.send(e.to))
}

// honest sends once, and answers what came.
func (e *exchange) honest() {
	status, body := e.send(e.to)
	if status == 0 {
		status = http.StatusBadGateway
	}
	e.answer(status, body)
}
