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

// countedEndpoint is an endpoint that counts the bookings that it gets.
type countedEndpoint struct {
	*booking.Endpoint

	mu       sync.Mutex
	bookings int       // the number of bookings so far
	last     time.Time // the time at which the last booking arrived
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

// count returns the number of bookings that have arrived so far.
func (c *countedEndpoint) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bookings
}

// lastArrival returns the time at which the last booking arrived.
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

// countingOK returns a handler that serves each request and counts them in n.
func countingOK(n *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		answerOK(w, r)
	}
}

// startTargets starts n endpoints, each with the handler that the function returns for its index. An endpoint with a nil handler serves
// each request.
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

// defaultHandler is an argument for startTargets with which endpoints use their default handler, which serves each request.
func defaultHandler(int) http.HandlerFunc { return nil }

// startSite starts n endpoints, and a discovery service that lists them.
func startSite(tb testing.TB, n int) *booking.Discovery {
	tb.Helper()
	return startDiscovery(tb, startTargets(tb, n, defaultHandler)...)
}

// startDiscovery starts a discovery service that lists the given endpoints.
func startDiscovery(tb testing.TB, targets ...booking.Target) *booking.Discovery {
	tb.Helper()
	discovery, err := booking.StartDiscovery("", targets...)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(discovery.Close)
	return discovery
}

// ledger records how often the endpoints of several cells executed each request. A cell executes a request with a key once, and answers
// repeats of it without executing them. A request without a key is executed each time that it arrives.
type ledger struct {
	mu           sync.Mutex
	executedKeys map[string]bool // whether a request with a key has been executed, by cell and key
	executions   map[string]int  // the number of executions, by key, or by the id of a request without a key
}

// newLedger returns a ledger without executions.
func newLedger() *ledger {
	return &ledger{executedKeys: map[string]bool{}, executions: map[string]int{}}
}

// serve returns the handler of an endpoint in a cell, which records in the ledger.
func (l *ledger) serve(cell int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		drain(r.Body)
		key := r.Header.Get("Idempotency-Key")
		l.mu.Lock()
		if key == "" {
			l.executions[r.Header.Get("X-Txn")]++
		} else if id := fmt.Sprint(cell, key); !l.executedKeys[id] {
			l.executedKeys[id] = true
			l.executions[key]++
		}
		l.mu.Unlock()
		time.Sleep(5 * time.Millisecond) // the time of the work, during which tests kill sidecars
		write(w, "ok")
	}
}

// duplicates returns the number of requests that were executed more than once, and of all that were executed.
func (l *ledger) duplicates() (duplicates, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.executions {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates, len(l.executions)
}

// startCells starts n cells of size endpoints each, which record in a ledger.
func startCells(tb testing.TB, l *ledger, n, size int) []booking.Target {
	tb.Helper()
	targets := startTargets(tb, n*size, func(i int) http.HandlerFunc { return l.serve(i / size) })
	for i := range targets {
		targets[i].Cell = i / size
	}
	return targets
}
