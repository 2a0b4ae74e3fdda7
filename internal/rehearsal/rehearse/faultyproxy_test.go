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

// sidecarVariable is the environment variable that makes the test binary run as a sidecar: the product for the value "true", otherwise a
// proxy with the named fault.
const sidecarVariable = "REHEARSE_TEST_SIDECAR"

// TestMain runs the tests, or a sidecar if the binary was started as one by a rehearsal.
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

// runProduct runs the product as the main function of cmd/quincegap does.
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

// faultyProxy is a proxy that sends each request to a random server, and breaks one rule in the way that its fault names.
type faultyProxy struct {
	fault  string
	client http.Client
	asked  atomic.Int64

	mu      sync.Mutex
	targets map[string]booking.Target
	order   []string
}

// run serves requests until the process ends. With the fault "deaf" it ignores SIGTERM.
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
	listed := make(chan bool)
	go f.follow(config.Discovery, listed)
	<-listed
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

// follow keeps the server list up to date, and closes listed when the first list has arrived. With the fault "drains" it ignores states
// other than Ready.
func (f *faultyProxy) follow(address string, listed chan bool) {
	url := "http://" + address + "/v1/endpoints?follow=1&since=0"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		log.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }() // the end of the process closes it otherwise
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var list listMessage
		if json.Unmarshal(lines.Bytes(), &list) != nil {
			continue
		}
		f.mu.Lock()
		for _, target := range list.Targets {
			if _, ok := f.targets[target.UID]; !ok {
				f.order = append(f.order, target.UID)
			}
			if f.fault != "drains" || target.State == "Ready" {
				f.targets[target.UID] = target
			}
		}
		f.mu.Unlock()
		if listed != nil {
			close(listed)
			listed = nil
		}
	}
}

// ready returns the servers that may receive requests.
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

// attempt sends a request to a server, and returns the status and body of the response: status 0 if there was none, and 429 without a
// body if the server rejected the attempt.
func (f *faultyProxy) attempt(ctx context.Context, r *http.Request, to booking.Target) (int, []byte) {
	forwarded, err := http.NewRequestWithContext(ctx, r.Method, "http://"+to.Address+r.RequestURI, nil)
	if err != nil {
		return 0, nil
	}
	if r.Method == http.MethodPost {
		forwarded.Body, forwarded.ContentLength = io.NopCloser(strings.NewReader("trip=dialysis\n")), int64(len("trip=dialysis\n"))
	}
	forwarded.Header = r.Header.Clone()
	response, err := f.client.Do(forwarded)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // the body has been read completely
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	if response.Header.Get("X-Turned-Away") != "" {
		return 429, nil
	}
	return response.StatusCode, body
}

// ServeHTTP answers readiness checks, and handles other requests with the proxy's fault.
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
		serve = (*exchange).honest // also for the fault "deaf", which is in run, and "drains", which is in follow
	}
	serve(e)
}

// exchange is one request to the proxy, with the servers that it may be sent to.
type exchange struct {
	proxy          *faultyProxy
	response       http.ResponseWriter
	request        *http.Request
	number         int64
	ready          []booking.Target
	to, other, far booking.Target // a random server, the next one in the list, and one of another cell (to if there is none)
	left           time.Duration  // time until the request's deadline; 0 if not given
}

// newExchange returns the exchange of a request, with randomly drawn servers.
func (f *faultyProxy) newExchange(w http.ResponseWriter, r *http.Request, number int64) *exchange {
	ready := f.ready()
	index := rand.IntN(len(ready))
	e := &exchange{
		proxy: f, response: w, request: r, number: number, ready: ready,
		to: ready[index], other: ready[(index+1)%len(ready)],
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

// send sends the request to a server, even if the caller has disconnected.
func (e *exchange) send(to booking.Target) (int, []byte) {
	return e.proxy.attempt(context.WithoutCancel(e.request.Context()), e.request, to)
}

// answer sends a response to the caller.
func (e *exchange) answer(status int, body []byte) {
	e.response.Header().Set("Content-Length", fmt.Sprint(len(body)))
	e.response.WriteHeader(status)
	_, _ = e.response.Write(body) // the caller may have disconnected
}

// hijack takes over the caller's connection.
func (e *exchange) hijack() net.Conn {
	c, _, err := e.response.(http.Hijacker).Hijack()
	if err != nil {
		log.Fatal(err)
	}
	return c
}

// proxyFaults maps the name of a fault to the handler that replaces honest.
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
	"stale": func(e *exchange) { // returns the response to another request
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
	"again": func(e *exchange) { // discards the first response and sends the request again
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

// doubles sends the response twice.
func (e *exchange) doubles() {
	_, body := e.send(e.to)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	c := e.hijack()
	_, _ = io.WriteString(c, answer+answer) // the caller may have disconnected
	time.Sleep(100 * time.Millisecond)
	closeConn(c)
}

// withdraws cancels its attempt after 5 ms, and immediately sends the request to another server.
func (e *exchange) withdraws() {
	attemptContext, cancel := context.WithTimeout(context.WithoutCancel(e.request.Context()), 5*time.Millisecond)
	status, _ := e.proxy.attempt(attemptContext, e.request, e.to)
	cancel()
	if status == 0 {
		e.answer(e.send(e.other))
	} else {
		e.answer(http.StatusBadGateway, nil)
	}
}

// toNewest sends every request to the server that started last.
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

// crash aborts the tenth request, and exits the process at the twentieth.
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

// honest sends the request once and returns the server's response, or status 502 if there is none.
func (e *exchange) honest() {
	status, body := e.send(e.to)
	if status == 0 {
		status = http.StatusBadGateway
	}
	e.answer(status, body)
}
