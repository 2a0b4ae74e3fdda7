package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
)

// routed starts the program that QUINCEGAP names with four endpoints in one cell that serve as is said.
func routed(b *testing.B, more string, serve http.HandlerFunc) *bench {
	b.Helper()
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	var targets []booking.Target
	for i := range 4 {
		e, err := booking.StartEndpoint(fmt.Sprintf("box-%d", i), serve)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(e.Close)
		targets = append(targets, e.Target())
	}
	text := fmt.Sprintf(goodFile, startDiscovery(b, targets...).Address()) + "[limits]\ncores = 1\nsockets = 2048\n" + more
	return &bench{b: b, process: run(b, program, text)}
}

// BenchmarkRoutes measures what routes cost, and what second copies and a retry budget do: with calls of which one in
// twenty takes 200 ms and the others 5, and with endpoints that fail half of all calls.
func BenchmarkRoutes(b *testing.B) {
	var many strings.Builder
	for i := range 99 {
		fmt.Fprintf(&many, "[route.r%d]\nmatch_path = \"/svc%d/{rest...}\"\nwhole_time = \"1s\"\n", i, i)
	}
	many.WriteString("[route.trips]\nmatch_path = \"/trips/{rest...}\"\nwhole_time = \"2s\"\nmost_open = 500\n")
	const copies = "[attempts]\nsecond_copies = true\n[route.all]\nmatch_path = \"/{rest...}\"\ncopy_after = 0.9\ncopy_share = 0.1\n"
	at := func(what string, more string, rate int, serve func(w http.ResponseWriter)) {
		b.Run(what, func(b *testing.B) {
			var came atomic.Int64
			x := routed(b, more, func(w http.ResponseWriter, r *http.Request) {
				drain(r.Body)
				came.Add(1)
				serve(w)
			})
			x.may = true
			asked := x.load("http1", "", 32, rate)
			b.ReportMetric(float64(came.Load())/float64(asked), "attempts/request")
		})
	}
	ok := func(w http.ResponseWriter) { write(w, "ok") }
	at("cost/without", "", exchangeRate, ok)
	at("cost/100-routes", many.String(), exchangeRate, ok)
	slow := func(w http.ResponseWriter) {
		d := 5 * time.Millisecond
		if rand.IntN(20) == 0 {
			d = 200 * time.Millisecond
		}
		time.Sleep(d)
		write(w, "ok")
	}
	at("tail/without", "", 400, slow)
	at("tail/copies", copies, 400, slow)
	fails := func(w http.ResponseWriter) {
		if rand.IntN(2) == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		write(w, "ok")
	}
	at("storm/without", "", 400, fails)
	at("storm/budget", "[route.all]\nmatch_path = \"/{rest...}\"\nretry_share = 0.05\nretry_reserve = 5\n", 400, fails)
}
