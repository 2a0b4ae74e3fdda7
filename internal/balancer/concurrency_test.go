package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// What endpoints bear before they saturate is nowhere to be learnt: one that turns slow shrinks the queue they may hold.
func TestSaturatedEndpointShrinksTheQueue(t *testing.T) {
	burst := func(slow time.Duration) int {
		f := start(t, settings(), 16)
		for i := range 2400 {
			f.ask(read)
			s := f.last()
			took := 100 * ms
			if s.to == 1 && i < 1800 {
				took = slow
			}
			f.end(s, StatusOK, took)
			f.pass(4 * ms)
		}
		at := len(f.sent)
		for range 100 {
			f.ask(read)
		}
		return len(f.sent) - at
	}
	if level, saturated := burst(100*ms), burst(500*ms); saturated >= level {
		t.Errorf("%d of a burst are sent after one endpoint saturated, %d without", saturated, level)
	}
}

// A base latency learnt from the first answers, which are those of short calls, held nearly all back.
func TestFirstShortAnswersDoNotSetTheLimit(t *testing.T) {
	f := start(t, settings(), 10)
	for i := range 40 {
		f.ask(read)
		f.end(f.last(), StatusOK, time.Duration(1+i%3)*ms)
	}
	if at := len(f.sent); true {
		for range 40 {
			f.ask(read)
		}
		if n := len(f.sent) - at; n < 40 {
			t.Errorf("%d of 40 sent at once to 10 endpoints, want all", n)
		}
	}
}

// Stuck calls lower the answered rate; a limit without a floor would follow it down for good.
func TestLimitRecoversFromStuckCalls(t *testing.T) {
	f := start(t, settings(), 6)
	f.serve(100, nil)
	f.pass(30 * time.Second)
	at := len(f.sent)
	for range 6 {
		f.ask(read)
	}
	if n := len(f.sent) - at; n < 6 {
		t.Errorf("%d of 6 sent after a long pause, want all", n)
	}
}

// Endpoints that reject all, or are not there, get no more from many instances than from few: each learns that
// for itself, and each goes on with the next at once.
func TestRejectedAttemptsDoNotGrowWithTheInstances(t *testing.T) {
	const endpoints, perSecond, length = 16, 400, 4 * time.Second
	for _, status := range []Status{StatusRejected, StatusConnectFailed} {
		for _, instances := range []int{2, 8, 40, 200} {
			all := startInstances(t, instances, endpoints)
			attempts := map[EndpointID]int{}
			for n := range int(length.Seconds() * perSecond) {
				all[n%instances].ask(read)
				for _, f := range all {
					f.endAll(status, attempts)
					f.pass(time.Second / perSecond)
				}
			}
			if len(attempts) == 0 {
				t.Errorf("%v, %d instances: no attempts", status, instances)
				continue
			}
			most := slices.Max(slices.Collect(maps.Values(attempts)))
			// A call for each second, what is allowed in flight at first (initialCallsPerEndpoint, and the slack of each instance),
			// and chance: they are drawn.
			mean := length.Seconds() + initialCallsPerEndpoint + float64(instances)*(concurrencySlack+rejectionReserve)/endpoints
			if float64(most) > 2*mean+6 {
				t.Errorf("%v, %d instances: %d attempts at one endpoint in %v, %.0f on average allowed", status, instances, most, length, mean)
			}
		}
	}
}

// startInstances starts all instances of a tier, each with random choices of its own.
func startInstances(t *testing.T, instances, endpoints int) (all []*fixture) {
	t.Helper()
	for i := range instances {
		s := settings()
		s.Instances, s.Ordinal = instances, i
		f := start(t, s, endpoints)
		f.b.rng = rand.New(rand.NewPCG(uint64(i), 1))
		all = append(all, f)
	}
	return all
}

// endAll ends what is sent, until nothing more is, and counts the attempts at each endpoint.
func (f *fixture) endAll(status Status, attempts map[EndpointID]int) {
	for len(f.sent) > 0 {
		s := f.sent[0]
		f.sent = f.sent[1:]
		attempts[s.to]++
		f.end(s, status, ms)
	}
}
