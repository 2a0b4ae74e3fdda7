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
	availablePool = iota - 1 // available, in the subset
	warmingUpPool            // in slow start, in the subset
	outsidePool              // available, outside of the subset: only for retries
	poolCount
)

// The draw weights of all endpoints of a machine kind change with each answer from the kind. So a pool holds an upper bound of
// each weight instead, and an endpoint that is drawn by the bounds is accepted with probability weight / bound, which gives
// exactly a draw by the weights. A bound is changed when its own endpoint changes. A change of the kind only raises the slack, a
// factor of all bounds in a draw, until it is so large that the bounds of the whole kind are refreshed.
const (
	boundHeadroom      = 1.2 // factor of a draw weight that gives a new bound
	maxBoundRatio      = 2.0 // a bound above this multiple of the draw weight is replaced: most draws by it would be rejected
	maxDrift           = 2.0 // the endpoints of a kind are refreshed when its latency has changed by this ratio
	slackCheckInterval = 64  // answers after which the slack is computed from all kinds again
	maxScanned         = 32  // most endpoints that are scanned one by one: with more, draws from the pools are cheaper
	maxPoolDraws       = 24  // most draws from the pools for a request before all endpoints are scanned
)

// drawPools holds the endpoints that may be drawn, with upper bounds of their draw weights.
type drawPools struct {
	pools           [poolCount]weightedsample.Pool[*endpoint]
	availableWeight float64 // sum of the draw weights in availablePool, each as of its latest refresh
	boundSlack      float64 // factor of all bounds, at least 1
	slackChecks     int     // answers since the slack was computed from all kinds
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

// put adds an endpoint to a pool, or replaces its bound there if the weight exceeds it or is far below it.
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

// in returns the pools of the endpoints in a scope.
func (d *drawPools) in(within scope) []weightedsample.Pool[*endpoint] {
	if within == everywhere {
		return d.pools[:]
	}
	return d.pools[:outsidePool]
}

// draw draws one endpoint from some of the pools, by the bounds. It reports false if they are empty.
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

// drawOne draws one endpoint by the bounds, and reports whether it is accepted. The accepted ones are distributed by the draw
// weights.
func (b *Balancer) drawOne(now time.Duration, within scope) (*endpoint, bool) {
	ep, ok := b.pools.draw(b.rng, b.pools.in(within))
	if !ok {
		return nil, false
	}
	return ep, b.rng.Float64()*ep.index.bound*b.pools.boundSlack < b.capacityShare(now, ep)*b.weights.drawWeight(ep)
}

// refreshBound adds an endpoint to a pool, or replaces its bound there if necessary.
func (b *Balancer) refreshBound(now time.Duration, ep *endpoint, pool int) {
	weight := b.weights.drawWeight(ep)
	if pool == availablePool {
		b.pools.availableWeight += weight - ep.index.availableWeight
		ep.index.availableWeight = weight
	}
	if pool == warmingUpPool {
		weight *= b.capacityShare(b.nextBoundCheck(now, ep), ep) // the largest share until the bound is checked again
	}
	weight *= b.weights.kindDrift(ep.kind) // the drift may be undone
	b.pools.put(ep, pool, weight)
}

// recordDrift raises the slack by the drift of a kind, or refreshes the kind's endpoints if the drift is too large. A load report
// changes a factor of the weights of all kinds, so all kinds are then included in the slack.
func (b *Balancer) recordDrift(now time.Duration, kind int, reported bool) {
	weights := &b.weights
	drift := weights.kindDrift(kind)
	// A kind that reports its first service time moves the weights of all kinds.
	newlyReporting := weights.services.reporting != weights.services.settledReporting
	// Until it has kindTrustSamples answers the latency of a kind is ignored; then all weights of its endpoints change at once.
	newlyTrusted := weights.trusted(kind) && weights.latencies[kind].settledMean == 0
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
