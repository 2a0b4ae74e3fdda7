package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// quotaLimit returns the limit of a tenant with the bounds of the users' sites, and the number of requests that they allow in five seconds.
func quotaLimit(rate float64) (limit Limit, allowed float64) {
	sum := rate*5 + rate
	return Limit{Rate: rate, Burst: rate, Overage: 0.1*sum + 20}, sum*1.1 + 20
}

// outage has no allocator from start for duration. The tenant asks for far more than its limit at each sidecar from hot on. If restart is set,
// all sidecars also restart at start: they serve no client for 0.9 s, and know no other sidecar in the first half second after that.
type outage struct {
	hot, start, duration time.Duration
	restart              bool
}

// simulate returns the most requests that are admitted in five seconds.
func (o outage) simulate(seed uint64, limit Limit, sidecars int) (most int) {
	const step = 5 * time.Millisecond
	run := newPartitionRun(seed, limit, sidecars)
	run.withFaults = false
	end := o.start + o.duration + 6*time.Second
	for ; run.now < end; run.now += step {
		if run.now == o.start {
			run.noAllocatorUntil = o.start + o.duration
			run.allocator = NewAllocator(run.noAllocatorUntil, false, run.limits)
			run.allocator.SetSidecars(run.names)
		}
		run.idle = run.now < o.hot && run.now%(2*time.Second) != 0
		if o.restart {
			o.restartSidecars(run)
		}
		run.step()
	}
	return mostWithin(5*time.Second, run.admitted)
}

// restartSidecars simulates the restart of all sidecars.
func (o outage) restartSidecars(run *partitionRun) {
	const (
		down    = 900 * time.Millisecond
		unknown = 500 * time.Millisecond
	)
	switch sinceStart := run.now - o.start; {
	case sinceStart < 0:
	case sinceStart < down:
		run.idle = true
	case sinceStart == down:
		for i := range run.caches {
			run.caches[i] = NewTokenCache(run.rng.Uint64())
		}
	case sinceStart == down+unknown:
		for _, cache := range run.caches {
			cache.SetSidecarCount(len(run.caches))
		}
	}
}

// A small tenant exceeded its limit while no sidecar reached an allocator, by one request for each sidecar: each fallback bucket had room for
// a token, however many sidecars there were. The limit must hold for any number of sidecars.
func TestLimitHoldsWithoutAnAllocator(t *testing.T) {
	checkLimit(t, 0, []outage{
		{hot: 10 * time.Second, start: 12 * time.Second, duration: 2 * time.Second},
		{hot: 12 * time.Second, start: 12 * time.Second, duration: 6 * time.Second},
		{hot: 22 * time.Second, start: 4 * time.Second, duration: 25 * time.Second},
	})
}

// While sidecars that have all restarted do not know each other, each takes a large part of the limit. It must hold then, too.
func TestLimitHoldsWhenAllSidecarsRestart(t *testing.T) {
	checkLimit(t, 3, []outage{{hot: 10 * time.Second, start: 12 * time.Second, duration: 3 * time.Second, restart: true}})
}

// checkLimit simulates outages with small and large tenants and fleets. Each outage has another seed, from firstSeed on.
func checkLimit(t *testing.T, firstSeed int, outages []outage) {
	t.Helper()
	for _, rate := range []float64{2, 4, 53} {
		limit, allowed := quotaLimit(rate)
		for _, sidecars := range []int{1, 3, 12, 14, 28, 48, 82, 300} {
			t.Run(fmt.Sprintf("rate %v, %d sidecars", rate, sidecars), func(t *testing.T) {
				for i, outage := range outages {
					if most := outage.simulate(uint64(firstSeed+i), limit, sidecars); float64(most) > allowed {
						t.Errorf("%+v: %d requests admitted within five seconds, at most %v allowed", outage, most, allowed)
					}
				}
			})
		}
	}
}
