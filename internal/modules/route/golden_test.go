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

// The golden file has the texts for people: patterns, why each route is selected for a request or not, and example requests that two
// routes match. It also has the figures of retries, backoff and hedging.
func TestGoldenTexts(t *testing.T) {
	var output strings.Builder
	d := draws{rand.New(rand.NewPCG(4, 2))}
	var patterns []PatternText
	for range 12 {
		patterns = append(patterns, d.pattern())
	}
	table := newTable(routesOf(t, patterns...))
	requests := []Request{{Path: "//a"}, {Path: "/a/%2e%2e/b", Host: "a.org"}}
	for range 12 {
		requests = append(requests, d.request())
	}
	for i := range requests {
		q := &requests[i]
		fmt.Fprintf(&output, "%s %s %s %q %q %v\n", q.Method, q.Host, q.Path, q.Class, q.Tenant, q.Header)
		for _, r := range table.Explain(q) {
			fmt.Fprintf(&output, "  %s: %s: %v %s\n", r.Name, r.Pattern(), r.Taken, r.Text)
		}
	}
	for i, r := range table.Routes {
		for _, other := range table.Routes[:i] {
			if r.pattern.compare(other.pattern) != disjoint {
				output.WriteString(exampleRequest(r.pattern, other.pattern) + "\n")
			}
		}
	}
	bits, fault := parseOutcomes("late, turned-away")
	s := &Settings{retryable: bits, RetryBackoff: 20 * time.Millisecond, HedgeQuantile: 0.95, HedgeShare: 0.05}
	fmt.Fprintf(&output, "%s %q %v %v\n", s.RetryOutcomes(), fault, s.AllowsRetry(balancer.StatusTimeout), s.AllowsRetry(balancer.StatusError))
	for attempt := range 14 {
		fmt.Fprintf(&output, "%v ", s.Backoff(attempt, 0.25))
	}
	r := &Route{Settings: s, State: &State{}}
	for i := range 5000 {
		r.RecordLatency(time.Duration(i%977) * 100 * time.Microsecond)
		r.addHedgeTokens()
	}
	delay, ok := r.HedgeDelay()
	hedges := 0
	for r.TakeHedge() {
		hedges++
	}
	fmt.Fprintf(&output, "\n%v %v %d %d\n", delay, ok, hedges, r.State.Hedges)
	golden.Text(t, "texts.txt", []byte(output.String()))
}
