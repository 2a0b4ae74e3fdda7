package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/golden"
)

// The texts of routes for people, which are patterns, reasons why a route is taken or not, and requests that two routes match; and the
// figures of limits.
func TestGoldenTexts(t *testing.T) {
	var all strings.Builder
	d := draws{rand.New(rand.NewPCG(4, 2))}
	var words []PatternText
	for range 12 {
		words = append(words, d.pattern())
	}
	table := newTable(routesOf(t, words...))
	requests := []Request{{Path: "//a"}, {Path: "/a/%2e%2e/b", Host: "a.org"}}
	for range 12 {
		requests = append(requests, d.request())
	}
	for i := range requests {
		q := &requests[i]
		fmt.Fprintf(&all, "%s %s %s %q %q %v\n", q.Method, q.Host, q.Path, q.Class, q.Tenant, q.Header)
		for _, r := range table.Explain(q) {
			fmt.Fprintf(&all, "  %s: %s: %v %s\n", r.Name, r.Pattern(), r.Taken, r.Text)
		}
	}
	for i, r := range table.Routes {
		for _, o := range table.Routes[:i] {
			if r.pattern.compare(o.pattern) != disjoint {
				all.WriteString(exampleRequest(r.pattern, o.pattern) + "\n")
			}
		}
	}
	bits, fault := readOutcomes("late, turned-away")
	s := &Settings{retryable: bits, RetryBackoff: 20 * time.Millisecond, HedgeQuantile: 0.95, HedgeShare: 0.05}
	fmt.Fprintf(&all, "%s %q %v %v\n", s.RetryOutcomes(), fault, s.AllowsRetry(balancer.StatusTimeout), s.AllowsRetry(balancer.StatusError))
	for attempt := range 14 {
		fmt.Fprintf(&all, "%v ", s.Backoff(attempt, 0.25))
	}
	r := &Route{Settings: s, State: &State{}}
	for i := range 5000 {
		r.RecordLatency(time.Duration(i%977) * 100 * time.Microsecond)
		r.earnHedge()
	}
	after, ok := r.HedgeDelay()
	made := 0
	for r.TakeHedge() {
		made++
	}
	fmt.Fprintf(&all, "\n%v %v %d %d\n", after, ok, made, r.State.Hedges)
	golden.Text(t, "texts.txt", []byte(all.String()))
}
