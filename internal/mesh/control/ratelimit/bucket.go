package ratelimit

import (
	"maps"
	"slices"
	"time"
)

const (
	// sumInterval is the time between two recomputations of a bucket's sums.
	sumInterval = 100 * time.Millisecond

	// evenFraction is the part of the rate that is divided evenly among sidecars; the rest is divided by demand.
	evenFraction = 0.2

	// initialOverageFraction is the part of Limit.Overage with which a bucket starts, except at the system's first start. It is
	// small because several allocators may follow one another within a window.
	initialOverageFraction = 0.25
)

// bucket is the token bucket of one tenant, with the fallback shares of all sidecars. Its sums are recomputed every sumInterval
// and updated in between, so that the cost of a request does not grow with the number of sidecars.
type bucket struct {
	level              float64 // tokens
	refilledAt         time.Duration
	shares             map[string]*fallbackShare // by the sidecar's address
	totalDemand        float64                   // of all sidecars, in requests a second
	totalShares        float64                   // the same of shares
	unresponsiveShares float64                   // of sidecars without a request for unresponsiveAfter
	summedAt           time.Duration
	initialised        bool // the sums were computed once
}

// fallbackShare is the share of one sidecar in one tenant's limit.
type fallbackShare struct {
	incarnation  uint64  // of the sidecar
	rate, demand float64 // in requests a second
	expiresAt    time.Duration
}

func newBucket(startedAt time.Duration, initialStart bool, limit Limit) *bucket {
	level := min(limit.Burst, initialOverageFraction*limit.Overage)
	if initialStart {
		level = limit.Burst
	}
	return &bucket{level: level, refilledAt: startedAt, shares: map[string]*fallbackShare{}}
}

// shareOf returns the share of a sidecar, which it adds if necessary.
func (b *bucket) shareOf(sidecar string) *fallbackShare {
	share := b.shares[sidecar]
	if share == nil {
		share = &fallbackShare{}
		b.shares[sidecar] = share
	}
	return share
}

// recomputeSums recomputes the sums if sumInterval has passed, and drops shares that have ended. It adds up in the order of
// addresses, so that floating point sums are the same in every run.
func (b *bucket) recomputeSums(now time.Duration, sidecars map[string]*requester) {
	if b.initialised && now-b.summedAt < sumInterval {
		return
	}
	b.initialised = true
	b.summedAt = now
	b.totalDemand = 0
	b.totalShares = 0
	b.unresponsiveShares = 0
	for _, address := range slices.Sorted(maps.Keys(b.shares)) {
		share := b.shares[address]
		sidecar := sidecars[address]
		restarted := sidecar != nil && sidecar.incarnation != share.incarnation // it holds no earlier share any more
		if now >= share.expiresAt || restarted {
			delete(b.shares, address)
			continue
		}
		b.totalDemand += share.demand
		b.totalShares += share.rate
		if sidecar == nil || now-sidecar.lastSeen > unresponsiveAfter {
			b.unresponsiveShares += share.rate
		}
	}
}

// setShare changes a share and updates the sums.
func (b *bucket) setShare(share *fallbackShare, rate, demand float64) {
	b.totalShares += rate - share.rate
	b.totalDemand += demand - share.demand
	share.rate = rate
	share.demand = demand
}

// refill adds the tokens of the time since the last refill, and those that a sidecar gives back.
func (b *bucket) refill(now time.Duration, rate, unused float64, limit Limit) {
	added := rate*(now-b.refilledAt).Seconds() + min(max(unused, 0), limit.Burst)
	b.level = min(b.level+added, max(limit.Burst, 1))
	b.refilledAt = now
}

// take takes the wanted number of tokens from the bucket, or all complete tokens if there are fewer, and returns how many.
func (b *bucket) take(wanted float64) float64 {
	taken := 0.0
	switch {
	case wanted <= 0:
	case b.level >= wanted:
		taken = wanted
	case b.level >= 1:
		taken = float64(int(b.level))
	}
	b.level -= taken
	return taken
}

// timeUntil returns the time until the lacking tokens are there, rounded up by one token at most, at a rate of refill in tokens a second.
// It is shareLease at most.
func (b *bucket) timeUntil(lacking, rate float64) time.Duration {
	if rate <= 0 {
		return shareLease
	}
	seconds := (1 - min(b.level, 1) + lacking) / rate
	return min(time.Duration(seconds*float64(time.Second)), shareLease)
}
