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
)

// openRoutedBench starts the program that QUINCEGAP names, with four endpoints of one cell that have the same handler. Without QUINCEGAP it
// skips the benchmark. more are further lines of the settings file.
func openRoutedBench(b *testing.B, more string, serve http.HandlerFunc) *bench {
	b.Helper()
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	targets := startTargets(b, 4, func(int) http.HandlerFunc { return serve })
	text := fmt.Sprintf(sidecarFile, startDiscovery(b, targets...).Address()) + "[limits]\ncores = 1\nsockets = 2048\n" + more
	return &bench{tb: b, process: runProgram(b, program, text)}
}

// BenchmarkRoutes measures the cost of routes, the effect of hedged requests on calls of which one in twenty takes 200 ms and the others
// 5 ms, and the effect of a retry budget with endpoints that fail half of all calls.
func BenchmarkRoutes(b *testing.B) {
	var hundredRoutes strings.Builder
	for i := range 99 {
		fmt.Fprintf(&hundredRoutes, "[route.r%d]\nmatch_path = \"/svc%d/{rest...}\"\nwhole_time = \"1s\"\n", i, i)
	}
	hundredRoutes.WriteString("[route.trips]\nmatch_path = \"/trips/{rest...}\"\nwhole_time = \"2s\"\nmost_open = 500\n")
	const hedging = "[attempts]\nsecond_copies = true\n[route.all]\nmatch_path = \"/{rest...}\"\ncopy_after = 0.9\ncopy_share = 0.1\n"
	measure := func(name, more string, rate int, serve func(w http.ResponseWriter)) {
		b.Run(name, func(b *testing.B) {
			var attempts atomic.Int64
			rig := openRoutedBench(b, more, func(w http.ResponseWriter, r *http.Request) {
				drain(r.Body)
				attempts.Add(1)
				serve(w)
			})
			rig.allowFailures = true
			requests := rig.load("http1", "", 32, rate)
			b.ReportMetric(float64(attempts.Load())/float64(requests), "attempts/request")
		})
	}
	ok := func(w http.ResponseWriter) { write(w, "ok") }
	measure("cost/without", "", exchangeRate, ok)
	measure("cost/100-routes", hundredRoutes.String(), exchangeRate, ok)
	slow := func(w http.ResponseWriter) {
		delay := 5 * time.Millisecond
		if rand.IntN(20) == 0 {
			delay = 200 * time.Millisecond
		}
		time.Sleep(delay)
		write(w, "ok")
	}
	measure("tail/without", "", 400, slow)
	measure("tail/copies", hedging, 400, slow)
	fails := func(w http.ResponseWriter) {
		if rand.IntN(2) == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		write(w, "ok")
	}
	measure("storm/without", "", 400, fails)
	measure("storm/budget", "[route.all]\nmatch_path = \"/{rest...}\"\nretry_share = 0.05\nretry_reserve = 5\n", 400, fails)
}
