package balancer

import "time"

// This file limits the attempts in flight, in total and at each endpoint, and adapts the queue that endpoints may hold.
//
// The limit is the number of attempts in flight at base latency plus a queue. The queue is a number of requests for each endpoint
// and for each tier from this one on. It is at most maxQueueShare of the attempts at base latency, and short enough to leave time
// until the latency target. Requests above the limit would only wait at the endpoints instead of here, be answered late, and might
// saturate endpoints.

const (
	// The queue that endpoints may hold, in requests for each endpoint and tier.
	initialQueue      = 0.75
	minQueue          = 0.6   // a queue this short has never saturated an endpoint
	maxQueue          = 1.6   // a longer queue only adds delay
	queueGrowth       = 0.012 // relative growth of the queue per rate window while requests are pending
	queueShrinkFactor = 0.6   // factor by which the queue shrinks when an endpoint becomes saturated
	saturatedRatio    = 1.7   // multiple of its kind's latency above which an endpoint is saturated
	recoveredRatio    = 1.3   // multiple of its kind's latency below which a saturated endpoint has recovered

	maxQueueShare           = 0.8 // longest queue, as a share of the attempts in flight at base latency
	targetShare             = 0.5 // share of the time from base latency to latency target for queueing; the rest is for slow answers
	initialCallsPerEndpoint = 5.0 // limit while no latency is known: attempts per listed endpoint, divided by the instances
	minCallsPerEndpoint     = 1.2 // lowest limit once a latency is known, in the same unit
	concurrencySlack        = 2.0 // requests that one endpoint may hold above its share, and all endpoints together above the computed limit
	maxEndpointShare        = 1.5 // largest part of the limit that one endpoint may hold, in even shares

	// The budget of attempts that may end without having run (updateRejectionThrottle) consists of what each answer earns, a
	// reserve, and what is earned over time, at the larger of the rates by rejectionsPerEndpoint and by rejectionShare.
	maxRejectionsPerResponse = 0.6 // maximum that one answer earns
	rejectionReserve         = 1.0 // budget above the limit on attempts in flight, while nothing is answered
	rejectionsPerEndpoint    = 1.0 // attempts by all instances together, for each endpoint and rate window
	rejectionShare           = 0.2 // attempts per second, as a share of the recent peak rate of answers
)

// concurrency limits the attempts in flight.
type concurrency struct {
	limit          float64
	baseInFlight   decayingRate // sum of the base latencies of the answers of a second: the attempts in flight at low load
	targetQueue    decayingRate // sum of targetShare times the time from base latency to latency target: the longest queue
	queue          float64      // requests that may queue, for each endpoint and tier
	queueChangedAt time.Duration
}

// record records the answer to a request of a class.
func (c *concurrency) record(now, window time.Duration, of *class) {
	base := of.latency.base
	c.baseInFlight.add(now, window, base)
	c.targetQueue.add(now, window, targetShare*max(of.LatencyTarget.Seconds()-base, 0))
}

// adaptQueue adapts the queue that endpoints may hold. The queue at which an endpoint saturates is not known in advance, so the
// queue grows while requests are pending here, and shrinks when an endpoint becomes far slower than its kind.
func (c *concurrency) adaptQueue(now, window time.Duration, ep *endpoint, kindLatency float64, pending bool) {
	enoughSamples := ep.latency.samples*endpointLatencyWeight > 0.99 // the endpoint's latency is based on the full number of answers
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

// updateLimits computes all limits for the current time.
func (b *Balancer) updateLimits(now time.Duration) {
	b.sends.refill(now)
	b.updateConcurrency(now)
	b.updateRejectionThrottle(now)
}

// updateConcurrency sets the limit on attempts in flight: the recent peak of attempts at base latency plus a queue. The limit has
// a floor. Without it, stuck attempts would lower the rate of answers, which would lower the limit, which would lower the rate
// again, and so on.
func (b *Balancer) updateConcurrency(now time.Duration) {
	limiter := &b.concurrency
	floor := b.instanceLimit(minCallsPerEndpoint, float64(b.settings.Instances))
	if !b.latenciesKnown() {
		floor = b.instanceLimit(initialCallsPerEndpoint, b.quotaDivisor)
	}
	baseInFlight := limiter.baseInFlight.peak(now, b.rateWindow)
	tiers := max(b.settings.Tiers-b.settings.Tier, 1)
	queue := limiter.queue * float64(len(b.listed)*tiers) / float64(b.settings.Instances)
	queue = min(queue, maxQueueShare*baseInFlight, limiter.targetQueue.peak(now, b.rateWindow))
	limiter.limit = max(baseInFlight+queue+concurrencySlack, floor)
}

// updateRejectionThrottle limits the attempts that never run. An attempt that is rejected or gets no connection is repeated at
// another endpoint at once, and each instance learns only by its own attempts which endpoints are full. With all endpoints full,
// the attempts of all instances added up to MaxAttempts times the requests, and endpoints in slow start failed under the load of
// requests that they rejected.
//
// Answers earn budget. The budget without answers is proportional to the number of endpoints per instance, or to the recent peak
// rate of answers, so that endpoints that recover are soon found. The overload limit of endpoints in slow start
// (OverloadMultiple) applies whether or not the list shows any in slow start, since lists arrive late and are incomplete at
// first.
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

// instanceLimit returns a limit for one instance: the given calls per listed endpoint, divided by the number of instances, plus
// concurrencySlack.
func (b *Balancer) instanceLimit(calls, instances float64) float64 {
	return concurrencySlack + calls*float64(len(b.listed))/instances
}

// limitReached reports whether a limit prevents any request from being sent now.
func (b *Balancer) limitReached() bool {
	return float64(b.inFlight-b.losses.inFlight) >= b.concurrency.limit || !b.sends.allows() || !b.rejections.Allowed()
}

// hasCapacity reports whether an endpoint may get another request.
func (b *Balancer) hasCapacity(now time.Duration, ep *endpoint) bool {
	if ep.rejectsUntil > now || ep.availability == warmingUp && !b.slowStartAllows(now, ep) {
		return false
	}
	return float64(ep.outstanding(now)-ep.lostCalls) < b.maxOutstanding(now, ep)
}

// maxOutstanding returns how many of this instance's requests one endpoint may hold: maxEndpointShare times its even share of the
// limit on attempts in flight, divided by its latency relative to the fleet's, plus concurrencySlack. In slow start, the number is
// multiplied by the capacity share, as an endpoint that held as many requests as an available one would answer none of them in
// time. The result is at least concurrencySlack.
func (b *Balancer) maxOutstanding(now time.Duration, ep *endpoint) float64 {
	share := maxEndpointShare * b.concurrency.limit / max(b.subset.size, 1)
	limit := share/b.weights.latencyRatio(ep) + concurrencySlack
	return max(limit*b.capacityShare(now, ep), concurrencySlack)
}
