package ratelimit

import (
	"maps"
	"slices"
	"time"
)

const (
	// sumInterval is the time between two recomputations of a bucket's sums over all shares.
	sumInterval = 100 * time.Millisecond

	// evenFraction is the part of the rate that is divided evenly among sidecars. The rest is divided in proportion to demand.
	evenFraction = 0.2

	// initialOverageFraction is the part of Limit.Overage that a bucket contains at first, except at the system's first start. It
	// is small because several allocators may succeed each other within one quota window.
	initialOverageFraction = 0.25
)

// bucket is the token bucket of one tenant, with the fallback shares of all sidecars. Its sums are recomputed every sumInterval
// and updated incrementally in between, so that the cost of a request does not grow with the number of sidecars.
type bucket struct {
	level              float64 // number of tokens in the bucket
	refilledAt         time.Duration
	shares             map[string]*fallbackShare // fallback shares by the sidecar's address
	totalDemand        float64                   // sum of all sidecars' demand, in requests per second
	totalShares        float64                   // sum of all shares, in requests per second
	unresponsiveShares float64                   // sum of the shares of sidecars without a request for unresponsiveAfter
	summedAt           time.Duration             // time of the newest recomputation of the sums
	sumsComputed       bool                      // true once the sums have been computed
}

// fallbackShare is the part of one tenant's rate that one sidecar may use while it reaches no allocator.
type fallbackShare struct {
	incarnation  uint64        // process of the sidecar that holds the share
	rate, demand float64       // granted and requested rate, in requests per second
	expiresAt    time.Duration // end of the share's lease
}

// newBucket returns a bucket that is full at the system's initial start, and nearly empty otherwise.
func newBucket(startedAt time.Duration, initialStart bool, limit Limit) *bucket {
	level := initialLevel(limit)
	if initialStart {
		level = limit.Burst
	}
	return &bucket{level: level, refilledAt: startedAt, shares: map[string]*fallbackShare{}}
}

// initialLevel returns the number of tokens that the bucket of a new allocator contains, except at the system's first start.
func initialLevel(limit Limit) float64 { return min(limit.Burst, initialOverageFraction*limit.Overage) }

// findOrAddShare returns the share of a sidecar, and adds an empty one if there is none.
func (b *bucket) findOrAddShare(sidecar string) *fallbackShare {
	share := b.shares[sidecar]
	if share == nil {
		share = &fallbackShare{}
		b.shares[sidecar] = share
	}
	return share
}

// recomputeSums removes expired shares and recomputes the sums if sumInterval has passed since it last did so. It adds in the
// order of addresses, so that the floating-point sums are the same in every run.
func (b *bucket) recomputeSums(now time.Duration, sidecars map[string]*sidecarState) {
	if b.sumsComputed && now-b.summedAt < sumInterval {
		return
	}
	b.sumsComputed = true
	b.summedAt = now
	b.totalDemand = 0
	b.totalShares = 0
	b.unresponsiveShares = 0
	for _, address := range slices.Sorted(maps.Keys(b.shares)) {
		share := b.shares[address]
		sidecar := sidecars[address]
		restarted := sidecar != nil && sidecar.incarnation != share.incarnation // the new process does not hold the share
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

// setShare sets the rate and the demand of a share and updates the sums.
func (b *bucket) setShare(share *fallbackShare, rate, demand float64) {
	b.totalShares += rate - share.rate
	b.totalDemand += demand - share.demand
	share.rate = rate
	share.demand = demand
}

// refill adds the tokens that accrued at the given rate since the last refill, and those that a sidecar returns unused. The
// bucket has room for limit.Burst tokens, and for at least one.
func (b *bucket) refill(now time.Duration, rate, unused float64, limit Limit) {
	added := rate*(now-b.refilledAt).Seconds() + min(max(unused, 0), limit.Burst)
	b.level = min(b.level+added, max(limit.Burst, 1))
	b.refilledAt = now
}

// take removes the wanted number of tokens from the bucket, or all whole tokens if there are fewer, and returns how many it
// removed.
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

// timeUntil returns the time until the lacking tokens will be in the bucket, at most shareLease. rate is the refill rate in tokens
// per second. The result is rounded up by the time of at most one token.
func (b *bucket) timeUntil(lacking, rate float64) time.Duration {
	if rate <= 0 {
		return shareLease
	}
	seconds := (1 - min(b.level, 1) + lacking) / rate
	return min(time.Duration(seconds*float64(time.Second)), shareLease)
}
