package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"quincegap/internal/structures/weightedsample"
)

// The pools that endpoints are drawn from.
const (
	noPool        = -1
	availablePool = iota - 1 // available, with a part in the subset
	warmingUpPool            // in slow start, with a part in the subset
	outsidePool              // available, outside of the subset: for retries alone
	poolCount
)

// An endpoint's draw weight moves with its kind's latency, all of a kind's at once and with every answer. So a pool holds a
// bound that they stay below; what is drawn is taken with probability weight / bound, which gives just the draw by the
// weights. An endpoint's bound is moved with its own changes. Its kind's only raise the slack, by which all bounds are multiplied
// when something is drawn, until they have gone so far that all of the kind are refreshed.
const (
	boundHeadroom      = 1.2 // a new bound, in draw weights of its endpoint
	maxBoundRatio      = 2.0 // a bound of more draw weights is set anew: draws by it are mostly in vain
	maxDrift           = 2.0 // a kind whose latency moves by this ratio has its endpoints refreshed
	slackCheckInterval = 64  // answers between two looks at the slack over all kinds
	maxScanned         = 32  // most endpoints that are scanned one by one: of more, draws from the pools are cheaper
	maxPoolDraws       = 24  // draws from the pools that may be in vain before all are scanned
)

// drawPools are the endpoints that may be drawn, with bounds of their draw weights.
type drawPools struct {
	pools           [poolCount]weightedsample.Pool[*endpoint]
	availableWeight float64 // sum of the draw weights in availablePool, as they were when they were refreshed
	boundSlack      float64 // factor of all bounds, at least 1
	slackChecks     int     // answers since the slack was looked at over all kinds
}

// poolOf is the pool that an endpoint belongs to while it is indexed; noPool for none.
func poolOf(ep *endpoint) int {
	switch {
	case ep.availability == available && ep.subsetWeight > 0:
		return availablePool
	case ep.availability == available:
		return outsidePool
	case ep.availability == warmingUp && ep.subsetWeight > 0:
		return warmingUpPool
	}
	return noPool
}

// remove takes an endpoint out of its pool.
func (d *drawPools) remove(ep *endpoint) {
	d.pools[ep.index.pool].Remove(ep.index.slot)
	d.availableWeight -= ep.index.availableWeight
	ep.index.pooled, ep.index.availableWeight = false, 0
}

// put puts an endpoint into a pool, or moves its bound there, if it is outgrown or wastes draws.
func (d *drawPools) put(ep *endpoint, pool int, weight float64) {
	switch {
	case !ep.index.pooled:
		ep.index.bound = weight * boundHeadroom
		ep.index.pool, ep.index.pooled = pool, true
		ep.index.slot = d.pools[pool].Add(ep, ep.index.bound)
	case weight > ep.index.bound || weight*maxBoundRatio < ep.index.bound:
		ep.index.bound = weight * boundHeadroom
		d.pools[pool].Set(ep.index.slot, ep.index.bound)
	}
}

// usable is how many endpoints of the subset get requests like any other.
func (d *drawPools) usable() int { return d.pools[availablePool].Len() + d.pools[warmingUpPool].Len() }

// in are the pools of the endpoints in a scope.
func (d *drawPools) in(within scope) []weightedsample.Pool[*endpoint] {
	if within == everywhere {
		return d.pools[:]
	}
	return d.pools[:outsidePool]
}

// draw draws one endpoint from some of the pools, by the bounds; false where they hold none.
func (d *drawPools) draw(rng *rand.Rand, pools []weightedsample.Pool[*endpoint]) (*endpoint, bool) {
	total := 0.0
	for i := range pools {
		total += pools[i].Total()
	}
	x := rng.Float64() * total
	for i := range pools {
		own := pools[i].Total()
		if x < own {
			return pools[i].Draw(x / own)
		}
		x -= own
	}
	return nil, false
}

// drawOne draws one endpoint by the bounds of the draw weights, and takes it with the probability that makes that a draw by the
// weights; false where none is taken.
func (b *Balancer) drawOne(now time.Duration, within scope) (*endpoint, bool) {
	ep, ok := b.pools.draw(b.rng, b.pools.in(within))
	if !ok {
		return nil, false
	}
	return ep, b.rng.Float64()*ep.index.bound*b.pools.boundSlack < b.capacityShare(now, ep)*b.weights.drawWeight(ep)
}

// refreshBound puts an endpoint into a pool, or moves its bound there, if that is due.
func (b *Balancer) refreshBound(now time.Duration, ep *endpoint, pool int) {
	weight := b.weights.drawWeight(ep)
	if pool == availablePool {
		b.pools.availableWeight += weight - ep.index.availableWeight
		ep.index.availableWeight = weight
	}
	if pool == warmingUpPool {
		weight *= b.capacityShare(b.nextBoundCheck(now, ep), ep) // the bound is not looked at before
	}
	weight *= b.weights.kindDrift(ep.kind) // it may go back by as much
	b.pools.put(ep, pool, weight)
}

// noteDrift takes a kind's move into the slack, and refreshes its endpoints when it has gone too far. A load report moves what
// the weights of all kinds share, so that the slack is looked at for all.
func (b *Balancer) noteDrift(now time.Duration, kind int, reported bool) {
	weights := &b.weights
	drift := weights.kindDrift(kind)
	// A kind that reports its first service time moves the weights of all kinds.
	newcomer := weights.services.reporting != weights.services.settledReporting
	// Before kindTrustSamples answers a kind's latency counts for nothing, and all its endpoints' weights leap when it does.
	newlyTrusted := weights.trusted(kind) && weights.latencies[kind].settledMean == 0
	switch {
	case newcomer || weights.services.inverseSum.drift() > math.Sqrt(maxDrift):
		b.refreshAll(now)
	case newlyTrusted || drift > maxDrift:
		b.refreshKind(now, kind)
	default:
		b.pools.boundSlack = max(b.pools.boundSlack, drift)
	}
	if b.pools.slackChecks++; b.pools.slackChecks >= slackCheckInterval {
		b.pools.slackChecks, b.pools.boundSlack, reported = 0, 1, true
	}
	if reported {
		for kind := range weights.kinds() {
			b.pools.boundSlack = max(b.pools.boundSlack, weights.kindDrift(kind))
		}
	}
}

// availableSubsetWeight is the sum of the draw weights of the subset's available endpoints.
func (b *Balancer) availableSubsetWeight() float64 {
	if b.usesPools(inSubset) {
		return b.pools.availableWeight
	}
	sum := 0.0
	for _, ep := range b.endpointsIn(inSubset) {
		if ep.availability == available {
			sum += b.weights.drawWeight(ep)
		}
	}
	return sum
}
