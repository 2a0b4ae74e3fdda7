package balancer

import "time"

// This file limits what may be in flight: here and at one endpoint, and the queue that endpoints may hold.
//
// In flight there may be what is answered at base latency, and a queue: so many requests for each endpoint and tier from here on,
// no more than a share of the first, and none that would use up the time to the latency target. More only waits there instead of
// here, is answered late, and may saturate endpoints.

const (
	// The queue that endpoints may hold, in requests for each endpoint and tier.
	initialQueue      = 0.75
	minQueue          = 0.6   // so little never saturated an endpoint
	maxQueue          = 1.6   // more only delays
	queueGrowth       = 0.012 // part that the queue grows by in a rate window in which requests were pending
	queueShrinkFactor = 0.6   // part that is left when an endpoint saturates
	saturatedRatio    = 1.7   // an endpoint is saturated from so many times its kind's latency on
	recoveredRatio    = 1.3   // a saturated endpoint has recovered below so many times its kind's latency

	maxQueueShare           = 0.8 // of what is answered at base latency
	targetShare             = 0.5 // of the time from base latency to latency target; the rest is for slow answers
	initialCallsPerEndpoint = 5.0 // the limit while no latency is known, for each listed endpoint, divided by the instances
	minCallsPerEndpoint     = 1.2 // the least limit later, counted in the same way
	concurrencySlack        = 2.0 // requests that any endpoint, and the fleet, may hold beyond its share
	maxEndpointShare        = 1.5 // of an even share of the limit, that one endpoint may hold

	// How many attempts may end without having run (updateRejectionThrottle): what answers earn, a reserve, and what is earned by time,
	// which is the more of rejectionsPerEndpoint and rejectionShare.
	maxRejectionsPerResponse = 0.6 // earned by one answer, at most
	rejectionReserve         = 1.0 // beyond the limit on what is in flight, while nothing is answered
	rejectionsPerEndpoint    = 1.0 // by all instances together, for each endpoint and rate window
	rejectionShare           = 0.2 // of what was answered at the best rate of late
)

// concurrency limits the attempts in flight.
type concurrency struct {
	limit          float64
	base           decayingRate // base latencies answered a second: the attempts in flight at little load
	target         decayingRate // the same for the time from base latency to the latency target
	queue          float64      // requests that may queue for each endpoint and tier
	queueChangedAt time.Duration
}

// record takes in an answer to a request of a class.
func (c *concurrency) record(now, window time.Duration, of *class) {
	base := of.latency.base
	c.base.add(now, window, base)
	c.target.add(now, window, targetShare*max(of.LatencyTarget.Seconds()-base, 0))
}

// adaptQueue moves the queue that endpoints may hold. What one bears before it saturates is nowhere to be learnt: the queue
// grows while requests are pending here, and shrinks when an endpoint turns far slower than its kind.
func (c *concurrency) adaptQueue(now, window time.Duration, ep *endpoint, kindLatency float64, pending bool) {
	rested := ep.latency.samples*endpointLatencyWeight > 0.99 // its latency rests on as many answers as it may
	saturated := rested && ep.latency.mean > saturatedRatio*kindLatency
	if saturated && !ep.saturated {
		c.queue = max(c.queue*queueShrinkFactor, minQueue)
	}
	if saturated || ep.latency.mean < recoveredRatio*kindLatency {
		ep.saturated = saturated
	}
	if pending && now-c.queueChangedAt > window {
		c.queue = min(c.queue*(1+queueGrowth), maxQueue)
		c.queueChangedAt = now
	}
}

// updateLimits brings all limits up to a time.
func (b *Balancer) updateLimits(now time.Duration) {
	b.sends.refill(now)
	b.updateConcurrency(now)
	b.updateRejectionThrottle(now)
}

// updateConcurrency sets the limit on what is in flight: what is answered at base latency at the best rate of late, and a queue.
// It has a floor, for requests that got stuck would else lower rate and limit in turn, without end.
func (b *Balancer) updateConcurrency(now time.Duration) {
	c := &b.concurrency
	floor := b.perInstance(minCallsPerEndpoint, float64(b.settings.Instances))
	if !b.latenciesKnown() {
		floor = b.perInstance(initialCallsPerEndpoint, b.quotaDivisor)
	}
	base := c.base.peak(now, b.rateWindow)
	tiers := max(b.settings.Tiers-b.settings.Tier, 1)
	queue := c.queue * float64(len(b.listed)*tiers) / float64(b.settings.Instances)
	queue = min(queue, maxQueueShare*base, c.target.peak(now, b.rateWindow))
	c.limit = max(base+queue+concurrencySlack, floor)
}

// updateRejectionThrottle bounds the attempts that never run. Those that are rejected or find no connection go on to the next
// endpoint at once, so the sum of all instances' was the requests times MaxAttempts where all endpoints were full, and each
// instance learns by an attempt of its own which are: endpoints in slow start failed under requests that they had rejected.
//
// What answers earn adds up to the answers, and what is allowed without them is a part of the list's length for each instance, or
// of what it had answered, so that endpoints that recover are soon found. It goes by the bound of endpoints in slow start whether
// or not the list says that they are: lists come late, and know little at first.
func (b *Balancer) updateRejectionThrottle(now time.Duration) {
	endpoints := float64(len(b.listed)) / b.quotaDivisor
	if endpoints <= 0 {
		return
	}
	rate := max(rejectionsPerEndpoint*endpoints/b.rateWindow.Seconds(), rejectionShare*b.servedRate.peak(now, b.rateWindow))
	first := rejectionReserve + initialCallsPerEndpoint*endpoints
	b.rejections.Update(now, rate, first, b.concurrency.limit+rejectionReserve)
}

// latenciesKnown reports whether the base latencies rest on enough to set limits by.
func (b *Balancer) latenciesKnown() bool {
	for _, c := range b.classes {
		if c.latency.known() {
			return true
		}
	}
	return false
}

// perInstance is a number of requests for each listed endpoint, divided among instances.
func (b *Balancer) perInstance(calls, instances float64) float64 {
	return concurrencySlack + calls*float64(len(b.listed))/instances
}

// limitReached reports whether nothing more may be sent for now.
func (b *Balancer) limitReached() bool {
	return float64(b.inFlight-b.losses.inFlight) >= b.concurrency.limit || !b.sends.allows() || !b.rejections.Allowed()
}

// hasCapacity reports whether an endpoint may get one more request.
func (b *Balancer) hasCapacity(now time.Duration, ep *endpoint) bool {
	if ep.rejectsUntil > now || ep.availability == warmingUp && !b.slowStartAllows(now, ep) {
		return false
	}
	return float64(ep.outstanding(now)-ep.lostCalls) < b.maxOutstanding(now, ep)
}

// maxOutstanding is how many of this instance's requests one endpoint may hold: maxEndpointShare times its even share of the limit on
// what is in flight, less if it is slower than the fleet, and concurrencySlack more. In slow start it is a part of that: an endpoint
// that held as many requests as an available one would answer none of them in time. It is concurrencySlack at least.
func (b *Balancer) maxOutstanding(now time.Duration, ep *endpoint) float64 {
	share := maxEndpointShare * b.concurrency.limit / max(b.subset.size, 1)
	limit := share/b.weights.latencyRatio(ep) + concurrencySlack
	return max(limit*b.capacityShare(now, ep), concurrencySlack)
}
