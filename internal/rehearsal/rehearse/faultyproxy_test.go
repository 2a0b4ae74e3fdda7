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
	listener, err := net.Listen("tcp", config.Listen)
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
	res, err := http.Get("http://" + address + "/v1/endpoints?follow=1&since=0")
	if err != nil {
		log.Fatal(err)
	}
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
	defer res.Body.Close()
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
	n := f.asked.Add(1)
	io.Copy(io.Discard, r.Body)
	ready := f.ready()
	at := rand.IntN(len(ready))
	to, other := ready[at], ready[(at+1)%len(ready)]
	far := to
	for _, t := range ready {
		if t.Cell != to.Cell {
			far = t
		}
	}
	left, _ := parseRemaining(r.Header.Get("X-Remaining"))
	ctx := context.Background()
	say := func(status int, body []byte) {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.WriteHeader(status)
		w.Write(body)
	}
	raw := func() net.Conn {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			log.Fatal(err)
		}
		return c
	}
	whole := func(body []byte) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	switch f.fault {
	case "silent":
		<-r.Context().Done()
	case "hang":
		select {}
	case "late":
		status, body := f.attempt(ctx, r, to)
		time.Sleep(left + 65*time.Millisecond)
		say(status, body)
	case "closes":
		f.attempt(ctx, r, to)
		raw().Close()
	case "invents":
		say(200, []byte("your trip is booked\n"))
	case "stale": // the answer to another request
		_, body := f.attempt(ctx, r, to)
		say(200, []byte(strings.Replace(string(body), "served r", "served r1", 1)))
	case "doubles":
		_, body := f.attempt(ctx, r, to)
		c := raw()
		io.WriteString(c, whole(body)+whole(body))
		time.Sleep(100 * time.Millisecond)
		c.Close()
	case "twice":
		go f.attempt(ctx, r, other)
		say(f.attempt(ctx, r, to))
	case "again": // an answer is thrown away
		f.attempt(ctx, r, to)
		time.Sleep(5 * time.Millisecond)
		say(f.attempt(ctx, r, to))
	case "withdraws": // and sends again at once
		short, cancel := context.WithTimeout(ctx, 5*time.Millisecond)
		status, _ := f.attempt(short, r, to)
		cancel()
		if status == 0 {
			say(f.attempt(ctx, r, other))
		} else {
			say(502, nil)
		}
	case "far":
		f.attempt(ctx, r, to)
		say(f.attempt(ctx, r, far))
	case "refuses":
		f.attempt(ctx, r, to)
		say(503, nil)
	case "after":
		status, body := f.attempt(ctx, r, to)
		say(status, body)
		w.(http.Flusher).Flush()
		time.Sleep(120 * time.Millisecond)
		f.attempt(ctx, r, to)
	case "many":
		for range 8 {
			f.attempt(ctx, r, to)
		}
		say(f.attempt(ctx, r, to))
	case "cold": // all to the newest
		newest := ready[0]
		for _, t := range ready {
			if t.BootMS > newest.BootMS {
				newest = t
			}
		}
		status, body := f.attempt(ctx, r, newest)
		say(max(status, 429), body)
	case "crash":
		if n == 10 {
			panic(http.ErrAbortHandler)
		}
		if n == 20 {
			fmt.Fprintln(os.Stderr, "cannot go on")
			os.Exit(7)
		}
		say(f.attempt(ctx, r, to))
	default: // honest, deaf, drains
		status, body := f.attempt(ctx, r, to)
		if status == 0 {
			status = 502
		}
		say(status, body)
	}
}
