package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"quincegap/internal/structures/weightedsample"
)

// The pools that endpoints are drawn from, by availability and part in the subset.
const (
	noPool        = -1
	availablePool = iota - 1 // available endpoints in the subset
	warmingUpPool            // endpoints of the subset that are in slow start
	outsidePool              // available endpoints outside of the subset, used only for retries
	poolCount
)

// The draw weights of all endpoints of a machine kind change with each answer from the kind. Therefore a pool holds an upper bound
// of each weight, and an endpoint that is drawn by the bounds is accepted with probability weight / bound, which is equivalent to a
// draw by the weights (rejection sampling). A bound is updated when its endpoint changes. A change of the kind only raises the
// slack, a factor of all bounds in a draw. When the change becomes too large, the bounds of the whole kind are refreshed.
const (
	boundHeadroom      = 1.2 // ratio of a new bound to the draw weight
	maxBoundRatio      = 2.0 // ratio to the draw weight above which a bound is replaced, as most draws by it would be rejected
	maxDrift           = 2.0 // ratio by which the weights of a kind may change before its endpoints are refreshed
	slackCheckInterval = 64  // number of answers after which the slack is recomputed from all kinds
	maxScanned         = 32  // largest number of endpoints that are scanned; with more, draws from the pools are cheaper
	maxPoolDraws       = 24  // largest number of draws from the pools for a request before all endpoints are scanned
)

// drawPools holds the endpoints that may be drawn, with upper bounds of their draw weights.
type drawPools struct {
	pools           [poolCount]weightedsample.Pool[*endpoint]
	availableWeight float64 // sum of the draw weights in availablePool, each as of the endpoint's latest refresh
	boundSlack      float64 // factor of all bounds, at least 1
	slackChecks     int     // number of answers since the slack was recomputed from all kinds
}

// poolOf returns the pool that an endpoint belongs to while it is in the index, or noPool.
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

// remove removes an endpoint from its pool.
func (d *drawPools) remove(ep *endpoint) {
	d.pools[ep.index.pool].Remove(ep.index.slot)
	d.availableWeight -= ep.index.availableWeight
	ep.index.pooled = false
	ep.index.availableWeight = 0
}

// put adds an endpoint to a pool. If it is in the pool already, its bound is replaced if the weight is above the bound or far below
// it.
func (d *drawPools) put(ep *endpoint, pool int, weight float64) {
	switch {
	case !ep.index.pooled:
		ep.index.bound = weight * boundHeadroom
		ep.index.pool = pool
		ep.index.pooled = true
		ep.index.slot = d.pools[pool].Add(ep, ep.index.bound)
	case weight > ep.index.bound || weight*maxBoundRatio < ep.index.bound:
		ep.index.bound = weight * boundHeadroom
		d.pools[pool].Set(ep.index.slot, ep.index.bound)
	}
}

// usable returns the number of endpoints of the subset that are available or in slow start.
func (d *drawPools) usable() int { return d.pools[availablePool].Len() + d.pools[warmingUpPool].Len() }

// inScope returns the pools of the endpoints in a scope.
func (d *drawPools) inScope(within scope) []weightedsample.Pool[*endpoint] {
	if within == everywhere {
		return d.pools[:]
	}
	return d.pools[:outsidePool]
}

// draw draws one endpoint from the given pools by the bounds. It returns false if they are empty.
func (d *drawPools) draw(rng *rand.Rand, pools []weightedsample.Pool[*endpoint]) (*endpoint, bool) {
	total := 0.0
	for i := range pools {
		total += pools[i].Total()
	}
	x := rng.Float64() * total
	for i := range pools {
		poolTotal := pools[i].Total()
		if x < poolTotal {
			return pools[i].Draw(x / poolTotal)
		}
		x -= poolTotal
	}
	return nil, false
}

// drawOne draws one endpoint by the bounds, and reports whether it is accepted. Accepted endpoints are distributed by their draw
// weights.
func (b *Balancer) drawOne(now time.Duration, within scope) (*endpoint, bool) {
	ep, ok := b.pools.draw(b.rng, b.pools.inScope(within))
	if !ok {
		return nil, false
	}
	return ep, b.rng.Float64()*ep.index.bound*b.pools.boundSlack < b.capacityShare(now, ep)*b.weights.drawWeight(ep)
}

// refreshBound adds an endpoint to a pool, or updates its bound there if necessary.
func (b *Balancer) refreshBound(now time.Duration, ep *endpoint, pool int) {
	weight := b.weights.drawWeight(ep)
	if pool == availablePool {
		b.pools.availableWeight += weight - ep.index.availableWeight
		ep.index.availableWeight = weight
	}
	if pool == warmingUpPool {
		weight *= b.capacityShare(b.nextBoundCheck(now, ep), ep) // the largest capacity share until the next check of the bound
	}
	weight *= b.weights.kindDrift(ep.kind) // the weight would rise by this factor if the kind changed back
	b.pools.put(ep, pool, weight)
}

// recordDrift raises the slack to the drift of a kind, or refreshes the kind's endpoints if the drift is too large. A load report
// (reported) changes a factor of the weights of all kinds, so the slack then covers the drifts of all kinds.
func (b *Balancer) recordDrift(now time.Duration, kind int, reported bool) {
	weights := &b.weights
	drift := weights.kindDrift(kind)
	// The first service time that a kind reports changes the weights of all kinds.
	newlyReporting := weights.services.reporting != weights.services.reportingAtRefresh
	// The latency of a kind is ignored until it has kindTrustSamples answers. Then the weights of all its endpoints change at once.
	newlyTrusted := weights.trusted(kind) && weights.latencies[kind].meanAtRefresh == 0
	switch {
	case newlyReporting || weights.services.inverseSum.drift() > math.Sqrt(maxDrift):
		b.refreshAll(now)
	case newlyTrusted || drift > maxDrift:
		b.refreshKind(now, kind)
	default:
		b.pools.boundSlack = max(b.pools.boundSlack, drift)
	}
	if b.pools.slackChecks++; b.pools.slackChecks >= slackCheckInterval {
		b.pools.slackChecks = 0
		b.pools.boundSlack = 1
		reported = true
	}
	if reported {
		for kind := range weights.kinds() {
			b.pools.boundSlack = max(b.pools.boundSlack, weights.kindDrift(kind))
		}
	}
}

// availableSubsetWeight returns the sum of the draw weights of the subset's available endpoints.
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
