package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// mixedStates returns a Balancer with endpoints in many states: some are in slow start, at various shares of their capacity, some
// are ejected, draining, full or slow, or have calls in flight. The endpoints' kinds differ and, if weighted is true, their weights.
func mixedStates(tb testing.TB, endpoints, instances int, weighted bool) (*Balancer, *recorder) {
	tb.Helper()
	host := &recorder{timers: map[uint64]time.Duration{}, attempts: map[RequestID]int{}, now: 100 * time.Second}
	config := settings()
	config.Instances, config.Ordinal = instances, instances/2
	b, err := New(config, 7, host)
	if err != nil {
		tb.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	listMixedStates(b, host, rng, endpoints, weighted)
	serveMixedLatencies(b, host, rng, 40*endpoints)
	for _, e := range b.listed {
		switch rng.IntN(10) {
		case 0:
			b.eject(host.now, e, "test")
			e.trialAt = host.now + time.Hour
			b.refreshPools(host.now, e)
		case 1:
			e.rejectsUntil = host.now + time.Second
		case 2:
			e.penalties = append(e.penalties, host.now+time.Second)
		}
	}
	b.concurrency.limit = 1000
	b.enqueueDue(host.now)
	b.advanceSlowStarts(host.now)
	b.updateSubset(host.now)
	b.availableSendRate.add(host.now, b.rateWindow, 1000/float64(endpoints))
	for _, e := range b.listed {
		e.slowStartTokens, e.slowStartTokensAt = float64(rng.IntN(3)), host.now
	}
	return b, host
}

// listMixedStates lists endpoints, some of which have started recently and some of which are draining.
func listMixedStates(b *Balancer, host *recorder, rng *rand.Rand, endpoints int, weighted bool) {
	list := EndpointList{Kind: ListFull, Version: 1}
	for i := 1; i <= endpoints; i++ {
		entry := ListEntry{Endpoint: EndpointID(i), Cell: i / 2, MachineKind: i % 3, Zone: i % 4, Weight: 1}
		if weighted {
			entry.Weight = float64(1 + rng.IntN(4))
		}
		switch rng.IntN(8) {
		case 0:
			entry.StartedAt = host.now - time.Duration(rng.IntN(9000))*ms
		case 1:
			entry.State = EndpointDraining
		}
		list.Entries = append(list.Entries, entry)
	}
	b.HandleEndpoints(host.now, list)
}

// serveMixedLatencies serves requests with latencies that differ by endpoint.
func serveMixedLatencies(b *Balancer, host *recorder, rng *rand.Rand, requests int) {
	for i := range requests {
		id := RequestID(fmt.Sprint("warm", i))
		b.HandleRequest(host.now, Request{ID: id, Class: read, TimeLeft: time.Second})
		if call := host.last(); call.id == id {
			latency := time.Duration(float64(20*ms) * (0.5 + rng.ExpFloat64()) * float64(1+call.to%5) / 3)
			b.HandleOutcome(host.now, Outcome{ID: id, Endpoint: call.to, Final: true, Elapsed: latency})
		}
		if host.now += ms / 2; i%10 == 0 {
			b.HandleTimer(host.now, timerTick)
		}
	}
}

// samplePicks picks endpoints for requests with a number of earlier attempts, and returns how often each was picked. If there are more
// endpoints than scanLimit, they are drawn from the pools.
func samplePicks(t *testing.T, b *Balancer, now time.Duration, attempts, scanLimit int) map[EndpointID]float64 {
	t.Helper()
	b.scanLimit = scanLimit
	picks := map[EndpointID]float64{}
	for range 20_000 * soakFactor(3) {
		r := &request{class: b.classes[read], attempts: attempts, failedEndpoint: b.listed[1]}
		e, trial := b.pick(now, r)
		if e == nil || trial {
			t.Fatal("pick returned no endpoint, or a trial")
		}
		picks[e.id]++
	}
	return picks
}

// sameDistribution returns the probability, by a chi-square test, that two samples of the same size and distribution differ at least
// as much as x and y. The test fails if the number of drawn endpoints, less one, is below minDrawn.
func sameDistribution(t *testing.T, b *Balancer, minDrawn float64, x, y map[EndpointID]float64) (p float64) {
	t.Helper()
	sum, degrees := 0.0, -1.0
	for _, e := range b.listed {
		if inX, inY := x[e.id], y[e.id]; inX+inY > 0 {
			sum += (inX - inY) * (inX - inY) / (inX + inY)
			degrees++
		}
	}
	if degrees < minDrawn {
		t.Fatalf("only %v endpoints were drawn, too few for a comparison", degrees+1)
	}
	return distuv.ChiSquared{K: degrees}.Survival(sum)
}

// Draws from the pools follow the same weights as a scan of all endpoints. Two samples of 20,000 picks with a fixed seed have the
// same distribution by a chi-square test, for first attempts and for retries.
func TestDrawsFromPoolsAreByWeight(t *testing.T) {
	const pooled, scanned = 0, 1 << 30 // scan limits
	for _, test := range []struct {
		instances int
		weighted  bool
		attempts  int
	}{{1, false, 0}, {1, true, 0}, {4, true, 0}, {30, true, 1}, {30, false, 1}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			b, host := mixedStates(t, 120, test.instances, test.weighted)
			sample := func(scanLimit int) map[EndpointID]float64 {
				return samplePicks(t, b, host.now, test.attempts, scanLimit)
			}
			minDrawn := 20 / float64(test.instances)
			draws, scans := sample(pooled), sample(scanned)
			if p := sameDistribution(t, b, minDrawn, draws, scans); p < 0.001 {
				t.Errorf("probability that draws and scans have the same distribution: %v, want at least 0.001", p)
			}
			if test.attempts > 0 {
				return
			}
			// The comparison detects wrong draws: with bounds below the weights of some endpoints, the distribution differs.
			for _, e := range b.listed[:60] {
				e.index.bound /= 3
			}
			if p := sameDistribution(t, b, minDrawn, sample(pooled), scans); p > 0.001 {
				t.Errorf("bounds below the weights are not detected: probability %v, want at most 0.001", p)
			}
		})
	}
}
