package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// mixed is a Balancer amid a hard day: of n endpoints some are in slow start, at various shares, some are ejected, drain, are
// full, slow, or have calls in flight; kinds and weights differ.
func mixed(tb testing.TB, n, instances int, weighted bool) (*Balancer, *recorder) {
	tb.Helper()
	h := &recorder{timers: map[uint64]time.Duration{}, attempts: map[RequestID]int{}, now: 100 * time.Second}
	s := settings()
	s.Instances, s.Ordinal = instances, instances/2
	b, err := New(s, 7, h)
	if err != nil {
		tb.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	listMixed(b, h, rng, n, weighted)
	serveMixed(b, h, rng, 40*n)
	for _, e := range b.listed {
		switch rng.IntN(10) {
		case 0:
			b.eject(h.now, e, "test")
			e.trialAt = h.now + time.Hour
			b.refreshPools(h.now, e)
		case 1:
			e.rejectsUntil = h.now + time.Second
		case 2:
			e.penalties = append(e.penalties, h.now+time.Second)
		}
	}
	b.concurrency.limit = 1000
	b.enqueueDue(h.now)
	b.advanceSlowStarts(h.now)
	b.updateSubset(h.now)
	b.warmSendRate.add(h.now, b.rateWindow, 1000/float64(n))
	for _, e := range b.listed {
		e.slowStartTokens, e.slowStartTokensAt = float64(rng.IntN(3)), h.now
	}
	return b, h
}

// listMixed lists n endpoints, of which some started lately and some drain.
func listMixed(b *Balancer, h *recorder, rng *rand.Rand, n int, weighted bool) {
	l := EndpointList{Kind: ListFull, Version: 1}
	for i := 1; i <= n; i++ {
		e := ListEntry{Endpoint: EndpointID(i), Cell: i / 2, MachineKind: i % 3, Zone: i % 4, Weight: 1}
		if weighted {
			e.Weight = float64(1 + rng.IntN(4))
		}
		switch rng.IntN(8) {
		case 0:
			e.StartedAt = h.now - time.Duration(rng.IntN(9000))*ms
		case 1:
			e.State = EndpointDraining
		}
		l.Entries = append(l.Entries, e)
	}
	b.HandleEndpoints(h.now, l)
}

// serveMixed serves requests, of which each endpoint answers at a pace of its own.
func serveMixed(b *Balancer, h *recorder, rng *rand.Rand, requests int) {
	for i := range requests {
		id := RequestID(fmt.Sprint("warm", i))
		b.HandleRequest(h.now, Request{ID: id, Class: read, TimeLeft: time.Second})
		if x := h.last(); x.id == id {
			took := time.Duration(float64(20*ms) * (0.5 + rng.ExpFloat64()) * float64(1+x.to%5) / 3)
			b.HandleOutcome(h.now, Outcome{ID: id, Endpoint: x.to, Final: true, Elapsed: took})
		}
		if h.now += ms / 2; i%10 == 0 {
			b.HandleTimer(h.now, timerTick)
		}
	}
}

// samplePicks picks endpoints for requests that have made so many attempts, and counts the picks of each. Of more endpoints than
// scanLimit they are drawn from the pools.
func samplePicks(t *testing.T, b *Balancer, now time.Duration, attempts, scanLimit int) map[EndpointID]float64 {
	t.Helper()
	b.scanLimit = scanLimit
	got := map[EndpointID]float64{}
	for range 20_000 * soaked(3) {
		r := &request{class: b.classes[read], attempts: attempts, failedEndpoint: b.listed[1]}
		e, trial := b.pick(now, r)
		if e == nil || trial {
			t.Fatal("nothing, or a trial")
		}
		got[e.id]++
	}
	return got
}

// sameDistribution is the probability, by chi-square, that two samples of the same size differ as much by chance.
func sameDistribution(t *testing.T, b *Balancer, minDrawn float64, x, y map[EndpointID]float64) (p float64) {
	t.Helper()
	sum, n := 0.0, -1.0
	for _, e := range b.listed {
		if a, b := x[e.id], y[e.id]; a+b > 0 {
			sum += (a - b) * (a - b) / (a + b)
			n++
		}
	}
	if n < minDrawn {
		t.Fatalf("only %v were drawn", n+1)
	}
	return distuv.ChiSquared{K: n}.Survival(sum)
}

// What is drawn from the pools is drawn by the same weights as by a scan of all: two samples of 20,000 picks each
// pass for one by chi-square at a fixed seed, for first attempts and for retries.
func TestDrawsFromPoolsAreByWeight(t *testing.T) {
	const pooled, scanned = 0, 1 << 30 // limits of a scan
	for _, c := range []struct {
		instances int
		weighted  bool
		attempts  int
	}{{1, false, 0}, {1, true, 0}, {4, true, 0}, {30, true, 1}, {30, false, 1}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			b, h := mixed(t, 120, c.instances, c.weighted)
			sample := func(scanLimit int) map[EndpointID]float64 {
				return samplePicks(t, b, h.now, c.attempts, scanLimit)
			}
			minDrawn := 20 / float64(c.instances)
			draws, scans := sample(pooled), sample(scanned)
			if p := sameDistribution(t, b, minDrawn, draws, scans); p < 0.001 {
				t.Errorf("p = %v", p)
			}
			if c.attempts > 0 {
				return
			}
			// And the test can fail: bounds that the weights have outgrown by a half, unknown to the slack.
			for _, e := range b.listed[:60] {
				e.index.bound /= 3
			}
			if p := sameDistribution(t, b, minDrawn, sample(pooled), scans); p > 0.001 {
				t.Errorf("weights that are off pass: p = %v", p)
			}
		})
	}
}
