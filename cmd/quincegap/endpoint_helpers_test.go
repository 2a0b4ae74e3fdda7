package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
)

// countedEndpoint is an endpoint that counts its bookings.
type countedEndpoint struct {
	*booking.Endpoint

	mu       sync.Mutex
	bookings int
	last     time.Time // the arrival of the last booking
}

// startCountedEndpoint starts an endpoint that serves each booking.
func startCountedEndpoint(tb testing.TB, name string) *countedEndpoint {
	tb.Helper()
	endpoint := &countedEndpoint{}
	var err error
	endpoint.Endpoint, err = booking.StartEndpoint(name, func(w http.ResponseWriter, r *http.Request) {
		endpoint.mu.Lock()
		endpoint.last = time.Now()
		endpoint.bookings++
		endpoint.mu.Unlock()
		drain(r.Body)
		write(w, name)
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(endpoint.Close)
	return endpoint
}

// count returns the number of bookings so far.
func (c *countedEndpoint) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bookings
}

// lastArrival returns when the last booking arrived.
func (c *countedEndpoint) lastArrival() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// answerOK is the handler of an endpoint that serves each request.
func answerOK(w http.ResponseWriter, r *http.Request) {
	drain(r.Body)
	write(w, "ok")
}

// countingOK returns a handler that serves each request and counts them.
func countingOK(n *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		answerOK(w, r)
	}
}

// startTargets starts n endpoints with the handler that is given for each; a nil handler serves each request.
func startTargets(tb testing.TB, n int, handler func(i int) http.HandlerFunc) (targets []booking.Target) {
	tb.Helper()
	for i := range n {
		endpoint, err := booking.StartEndpoint(fmt.Sprintf("box-%d", i), handler(i))
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(endpoint.Close)
		targets = append(targets, endpoint.Target())
	}
	return targets
}

// defaultHandler is a handler for startTargets: the endpoint's own, which serves each request.
func defaultHandler(int) http.HandlerFunc { return nil }

// startSite starts n endpoints and a discovery that lists them.
func startSite(tb testing.TB, n int) *booking.Discovery {
	tb.Helper()
	return startDiscovery(tb, startTargets(tb, n, defaultHandler)...)
}

// startDiscovery starts a discovery that lists some endpoints.
func startDiscovery(tb testing.TB, targets ...booking.Target) *booking.Discovery {
	tb.Helper()
	d, err := booking.StartDiscovery("", targets...)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(d.Close)
	return d
}

// ledger records which effects requests had at the endpoints of several cells. A cell executes a request with a key once, and answers
// its repeats without executing them; a request without a key is executed each time that it arrives.
type ledger struct {
	mu   sync.Mutex
	seen map[string]bool // by cell and key
	runs map[string]int  // executions, by key, or by the id of a request without one
}

func newLedger() *ledger { return &ledger{seen: map[string]bool{}, runs: map[string]int{}} }

// serve returns the handler of an endpoint in a cell.
func (l *ledger) serve(cell int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		drain(r.Body)
		key := r.Header.Get("Idempotency-Key")
		l.mu.Lock()
		if key == "" {
			l.runs[r.Header.Get("X-Txn")]++
		} else if id := fmt.Sprint(cell, key); !l.seen[id] {
			l.seen[id] = true
			l.runs[key]++
		}
		l.mu.Unlock()
		time.Sleep(5 * time.Millisecond) // the work, during which sidecars die
		write(w, "ok")
	}
}

// duplicates returns how many effects happened more than once, and how many happened at all.
func (l *ledger) duplicates() (duplicates, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.runs {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates, len(l.runs)
}

// startCells starts n cells of some endpoints each, which record in a ledger.
func startCells(tb testing.TB, l *ledger, n, size int) []booking.Target {
	tb.Helper()
	targets := startTargets(tb, n*size, func(i int) http.HandlerFunc { return l.serve(i / size) })
	for i := range targets {
		targets[i].Cell = i / size
	}
	return targets
}
