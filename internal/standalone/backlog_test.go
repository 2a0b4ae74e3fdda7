package standalone

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// fleetLoop returns a loop that does not run, with a list of n endpoints, numbered from 0.
func fleetLoop(tb testing.TB, n int) *loop {
	tb.Helper()
	config := &Config{Limits: Limits{Sockets: 1024}, Seed: 1, tuning: tuningOf(nil)}
	config.Settings.ConnectTimeout = time.Second
	config.Settings.Instances = 1
	config.Settings.Classes = []balancer.Class{{Name: "a", Idempotency: balancer.Idempotent}}
	l, err := newLoop(config)
	if err != nil {
		tb.Fatal(err)
	}
	l.handleList(fleetList(1, 0, n), endpointsource.FromFetch)
	return l
}

// fleetList is a complete list of n endpoints, numbered from a number on.
func fleetList(rev uint64, from, n int) endpointList {
	l := endpointList{Rev: rev, All: true}
	for i := from; i < from+n; i++ {
		l.Targets = append(l.Targets, listedEndpoint{
			UID: fmt.Sprintf("s-%08x", i+1), Address: fmt.Sprintf("127.%d.%d.%d:80", 1+i/62500, i/250%250, i%250+1),
			State: "Ready", Weight: 1, Cell: i / 2,
		})
	}
	return l
}

// A long list is applied in chunks, with other events in between: endpoints that drain or are gone first, then the others, and a
// later list after it.
func TestLongListIsAppliedInChunks(t *testing.T) {
	const n = 3 * maxChunkEntries
	loop := fleetLoop(t, n)
	if len(loop.endpoints.byID) != n || loop.backlog.ready() != nil {
		t.Fatalf("%d endpoints at first", len(loop.endpoints.byID))
	}
	next := fleetList(2, n/2, n) // half of them gone, and as many new
	next.Targets[0].State = "Terminating"
	loop.handleList(next, endpointsource.FromWatch)
	loop.handleList(endpointList{Rev: 3, Targets: []listedEndpoint{{UID: next.Targets[n-1].UID, State: "Gone"}}}, endpointsource.FromWatch)
	if loop.backlog.ready() == nil {
		t.Fatal("the list was applied at once")
	}
	urgent := 1 + (n/2+maxChunkEntries-1)/maxChunkEntries // chunks of what drains, and of what is missing
	for range urgent {
		loop.backlog.next()
	}
	if got := len(loop.endpoints.byID); got != n/2 {
		t.Errorf("%d are left after the urgent chunks, should be %d", got, n/2)
	}
	if e := loop.endpoints.byID[balancer.EndpointID(n/2+1)]; e == nil || e.Open.Load() {
		t.Error("one that drains is open")
	}
	for loop.backlog.ready() != nil {
		loop.backlog.next()
	}
	if got := len(loop.endpoints.byID); got != n-1 {
		t.Errorf("%d in the end, should be %d", got, n-1)
	}
}

// Discovery that sends long lists without a pause does not make the backlog grow.
func TestBacklogIsBounded(t *testing.T) {
	var b backlog
	var got []int
	for i := range 3 * maxBacklogSteps {
		b.add(func() { got = append(got, 2*i) }, func() { got = append(got, 2*i+1) })
		if len(b.steps) > maxBacklogSteps {
			t.Fatalf("%d steps wait", len(b.steps))
		}
	}
	for b.ready() != nil {
		b.next()
	}
	if len(got) != 6*maxBacklogSteps || !slices.IsSorted(got) {
		t.Errorf("%d of %d steps ran, in order %v", len(got), 6*maxBacklogSteps, slices.IsSorted(got))
	}
}

// BenchmarkLongList measures how long the loop takes to apply a complete list of 10,000 endpoints, and for how long at most it delays
// other events.
func BenchmarkLongList(b *testing.B) {
	const n = 10000
	for _, c := range []struct {
		name   string
		others int
	}{{"the same", 0}, {"a tenth others", n / 10}, {"all others", n}} {
		b.Run(c.name, func(b *testing.B) {
			l := fleetLoop(b, n)
			lists := [2]endpointList{fleetList(0, c.others, n), fleetList(0, 0, n)}
			worst, rev := time.Duration(0), uint64(1)
			for i := 0; b.Loop(); i++ {
				rev++
				lists[i%2].Rev = rev
				prepared := lists[i%2].prepare(endpointsource.FromWatch) // outside of the loop
				began := time.Now()
				l.handlePreparedList(prepared, endpointsource.FromWatch)
				worst = max(worst, time.Since(began))
				for l.backlog.ready() != nil {
					began := time.Now()
					l.backlog.next()
					worst = max(worst, time.Since(began))
				}
			}
			b.ReportMetric(float64(worst.Microseconds())/1000, "ms/longest")
		})
	}
}

// BenchmarkUnusedEndpoints measures the memory for each endpoint that a sidecar knows and has sent nothing to.
func BenchmarkUnusedEndpoints(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			perEndpoint := 0.0
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := fleetLoop(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				perEndpoint = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(perEndpoint, "B/endpoint")
		})
	}
}
