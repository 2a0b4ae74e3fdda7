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

// loopWithEndpoints returns a loop that is not running, with a list of n endpoints.
func loopWithEndpoints(tb testing.TB, n int) *loop {
	tb.Helper()
	config := &Config{Limits: Limits{Sockets: 1024}, Seed: 1, tuning: tuningOf(nil)}
	config.Settings.ConnectTimeout = time.Second
	config.Settings.Instances = 1
	config.Settings.Classes = []balancer.Class{{Name: "a", Idempotency: balancer.Idempotent}}
	l, err := newLoop(config)
	if err != nil {
		tb.Fatal(err)
	}
	l.handleList(completeList(1, 0, n), endpointsource.FromFetch)
	return l
}

// completeList returns a complete list of n endpoints, whose numbers begin at from+1.
func completeList(rev uint64, from, n int) endpointList {
	l := endpointList{Rev: rev, All: true}
	for i := from; i < from+n; i++ {
		l.Targets = append(l.Targets, listedEndpoint{
			UID: fmt.Sprintf("s-%08x", i+1), Address: fmt.Sprintf("127.%d.%d.%d:80", 1+i/62500, i/250%250, i%250+1),
			State: "Ready", Weight: 1, Cell: i / 2,
		})
	}
	return l
}

// A long list is applied in chunks, with other events in between: first endpoints that drain or were removed, then the others. A later
// list is applied after it.
func TestLongListIsAppliedInChunks(t *testing.T) {
	const n = 3 * maxChunkEntries
	loop := loopWithEndpoints(t, n)
	if len(loop.endpoints.byID) != n || loop.backlog.ready() != nil {
		t.Fatalf("before the new list: got %d endpoints, waiting chunks %v; want %d and none",
			len(loop.endpoints.byID), loop.backlog.ready() != nil, n)
	}
	next := completeList(2, n/2, n) // half of the endpoints are removed, and as many are new
	next.Targets[0].State = "Terminating"
	loop.handleList(next, endpointsource.FromWatch)
	loop.handleList(endpointList{Rev: 3, Targets: []listedEndpoint{{UID: next.Targets[n-1].UID, State: "Gone"}}}, endpointsource.FromWatch)
	if loop.backlog.ready() == nil {
		t.Fatal("no chunk is waiting: the long list was applied in one event")
	}
	urgent := 1 + (n/2+maxChunkEntries-1)/maxChunkEntries // chunks of endpoints that drain or are no longer listed
	for range urgent {
		loop.backlog.runNext()
	}
	if got := len(loop.endpoints.byID); got != n/2 {
		t.Errorf("after the chunks of draining and removed endpoints: got %d endpoints, want %d", got, n/2)
	}
	if e := loop.endpoints.byID[balancer.EndpointID(n/2+1)]; e == nil || e.Open.Load() {
		t.Errorf("endpoint %d, which drains, is missing or open to new attempts: %+v", n/2+1, e)
	}
	for loop.backlog.ready() != nil {
		loop.backlog.runNext()
	}
	if got := len(loop.endpoints.byID); got != n-1 {
		t.Errorf("after all chunks: got %d endpoints, want %d", got, n-1)
	}
}

// Discovery that sends long lists without a pause does not make the backlog grow.
func TestBacklogIsBounded(t *testing.T) {
	var b backlog
	var got []int
	for i := range 3 * maxBacklogSteps {
		b.add(func() { got = append(got, 2*i) }, func() { got = append(got, 2*i+1) })
		if len(b.steps) > maxBacklogSteps {
			t.Fatalf("%d steps wait, want at most %d", len(b.steps), maxBacklogSteps)
		}
	}
	for b.ready() != nil {
		b.runNext()
	}
	if len(got) != 6*maxBacklogSteps || !slices.IsSorted(got) {
		t.Errorf("%d of %d steps ran, in order: %v; want all, in order", len(got), 6*maxBacklogSteps, slices.IsSorted(got))
	}
}

// BenchmarkLongList measures how long the loop takes to apply a complete list of 10,000 endpoints, and the longest time for which that
// delays other events.
func BenchmarkLongList(b *testing.B) {
	const n = 10000
	for _, test := range []struct {
		name   string
		others int
	}{{"the same", 0}, {"a tenth others", n / 10}, {"all others", n}} {
		b.Run(test.name, func(b *testing.B) {
			l := loopWithEndpoints(b, n)
			lists := [2]endpointList{completeList(0, test.others, n), completeList(0, 0, n)}
			worst, rev := time.Duration(0), uint64(1)
			for i := 0; b.Loop(); i++ {
				rev++
				lists[i%2].Rev = rev
				prepared := lists[i%2].prepare(endpointsource.FromWatch) // runs in another goroutine than the loop's, so it is not part of the delay
				began := time.Now()
				l.handlePreparedList(prepared, endpointsource.FromWatch)
				worst = max(worst, time.Since(began))
				for l.backlog.ready() != nil {
					began := time.Now()
					l.backlog.runNext()
					worst = max(worst, time.Since(began))
				}
			}
			b.ReportMetric(float64(worst.Microseconds())/1000, "ms/longest")
		})
	}
}

// BenchmarkUnusedEndpoints measures the memory for each endpoint that a sidecar knows but has not sent anything to.
func BenchmarkUnusedEndpoints(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			perEndpoint := 0.0
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := loopWithEndpoints(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				perEndpoint = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(perEndpoint, "B/endpoint")
		})
	}
}
