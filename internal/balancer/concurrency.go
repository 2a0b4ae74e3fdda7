package balancer

import "time"

// This file limits the attempts in flight, in total and at each endpoint, and adapts the queue that endpoints may hold.
//
// The limit is the number of attempts in flight at base latency, and a queue: a number of requests for each endpoint and each
// tier from here on, at most a share of the attempts at base latency, and none that would use up the time to the latency target.
// Requests beyond that would only wait at the endpoints instead of here, be answered late, and might saturate endpoints.

const (
	// The queue that endpoints may hold, in requests for each endpoint and tier.
	initialQueue      = 0.75
	minQueue          = 0.6   // a queue this short has never saturated an endpoint
	maxQueue          = 1.6   // a longer queue only adds delay
	queueGrowth       = 0.012 // relative growth of the queue in a rate window in which requests were pending
	queueShrinkFactor = 0.6   // factor of the queue when an endpoint saturates
	saturatedRatio    = 1.7   // an endpoint is saturated above this multiple of its kind's latency
	recoveredRatio    = 1.3   // a saturated endpoint has recovered below this multiple of its kind's latency

	maxQueueShare           = 0.8 // of the attempts in flight at base latency
	targetShare             = 0.5 // of the time from base latency to latency target; the rest is a reserve for slow answers
	initialCallsPerEndpoint = 5.0 // the limit while no latency is known, for each listed endpoint, divided by the instances
	minCallsPerEndpoint     = 1.2 // the least limit once a latency is known, in the same unit
	concurrencySlack        = 2.0 // requests beyond its share that each endpoint, and the fleet, may hold
	maxEndpointShare        = 1.5 // most of the limit that one endpoint may hold, in even shares

	// The budget of attempts that may end without having run (updateRejectionThrottle): what each answer earns, a reserve, and
	// what time earns, which is the larger of rejectionsPerEndpoint and rejectionShare.
	maxRejectionsPerResponse = 0.6 // most that one answer earns
	rejectionReserve         = 1.0 // beyond the limit on attempts in flight, while nothing is answered
	rejectionsPerEndpoint    = 1.0 // by all instances together, for each endpoint and rate window
	rejectionShare           = 0.2 // of the recent peak rate of answers
)

// concurrency limits the attempts in flight.
type concurrency struct {
	limit          float64
	base           decayingRate // base latencies answered per second, which is the number of attempts in flight at low load
	target         decayingRate // the same for targetShare of the time from base latency to latency target
	queue          float64      // requests that may queue, for each endpoint and tier
	queueChangedAt time.Duration
}

// record records the answer to a request of a class.
func (c *concurrency) record(now, window time.Duration, of *class) {
	base := of.latency.base
	c.base.add(now, window, base)
	c.target.add(now, window, targetShare*max(of.LatencyTarget.Seconds()-base, 0))
}

// adaptQueue adapts the queue that endpoints may hold. The queue at which an endpoint saturates is not known in advance, so the
// queue grows while requests are pending here, and shrinks when an endpoint becomes far slower than its kind.
func (c *concurrency) adaptQueue(now, window time.Duration, ep *endpoint, kindLatency float64, pending bool) {
	enoughSamples := ep.latency.samples*endpointLatencyWeight > 0.99 // its latency is based on the full number of answers
	saturated := enoughSamples && ep.latency.mean > saturatedRatio*kindLatency
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

// updateLimits updates all limits to the given time.
func (b *Balancer) updateLimits(now time.Duration) {
	b.sends.refill(now)
	b.updateConcurrency(now)
	b.updateRejectionThrottle(now)
}

// updateConcurrency sets the limit on attempts in flight: the recent peak of attempts at base latency, and a queue. It has a
// floor, because attempts that are stuck would otherwise lower the rate and the limit in turn, without end.
func (b *Balancer) updateConcurrency(now time.Duration) {
	limiter := &b.concurrency
	floor := b.perInstance(minCallsPerEndpoint, float64(b.settings.Instances))
	if !b.latenciesKnown() {
		floor = b.perInstance(initialCallsPerEndpoint, b.quotaDivisor)
	}
	base := limiter.base.peak(now, b.rateWindow)
	tiers := max(b.settings.Tiers-b.settings.Tier, 1)
	queue := limiter.queue * float64(len(b.listed)*tiers) / float64(b.settings.Instances)
	queue = min(queue, maxQueueShare*base, limiter.target.peak(now, b.rateWindow))
	limiter.limit = max(base+queue+concurrencySlack, floor)
}

// updateRejectionThrottle limits the attempts that never run. An attempt that is rejected or gets no connection is repeated at
// the next endpoint at once. With all endpoints full, the attempts of all instances added up to MaxAttempts times the requests,
// and each instance finds out by its own attempts which endpoints are full: endpoints in slow start failed under requests that
// they had rejected.
//
// The budget is earned in proportion to answers. What is allowed without answers is proportional to the endpoints for each
// instance, or to the recent peak rate of answers, so that endpoints that recover are soon found. The overload limit of endpoints
// in slow start (OverloadMultiple) applies whether or not the list shows any in slow start, since lists arrive late and are
// incomplete at first.
func (b *Balancer) updateRejectionThrottle(now time.Duration) {
	endpoints := float64(len(b.listed)) / b.quotaDivisor
	if endpoints <= 0 {
		return
	}
	rate := max(rejectionsPerEndpoint*endpoints/b.rateWindow.Seconds(), rejectionShare*b.servedRate.peak(now, b.rateWindow))
	first := rejectionReserve + initialCallsPerEndpoint*endpoints
	b.rejections.Update(now, rate, first, b.concurrency.limit+rejectionReserve)
}

// latenciesKnown reports whether the base latency of any class is known well enough to derive limits from it.
func (b *Balancer) latenciesKnown() bool {
	for _, c := range b.classes {
		if c.latency.known() {
			return true
		}
	}
	return false
}

// perInstance returns a limit for one instance: the given calls for each listed endpoint, divided by the number of instances, and
// concurrencySlack.
func (b *Balancer) perInstance(calls, instances float64) float64 {
	return concurrencySlack + calls*float64(len(b.listed))/instances
}

// limitReached reports whether a limit keeps all requests from being sent at present.
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

// maxOutstanding returns how many of this instance's requests one endpoint may hold: maxEndpointShare times its even share of the
// limit on attempts in flight, less if it is slower than the fleet, and concurrencySlack more. In slow start it is the capacity
// share of that, as an endpoint that held as many requests as an available one would answer none of them in time. It is never
// below concurrencySlack.
func (b *Balancer) maxOutstanding(now time.Duration, ep *endpoint) float64 {
	share := maxEndpointShare * b.concurrency.limit / max(b.subset.size, 1)
	limit := share/b.weights.latencyRatio(ep) + concurrencySlack
	return max(limit*b.capacityShare(now, ep), concurrencySlack)
}
