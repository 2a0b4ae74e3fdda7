package balancer

import (
	"slices"
	"time"
)

// This file decides how much may be out: calls in flight, here and at one endpoint, their queue and pace.

const (
	// Limits: in flight there may be what is answered at base latency, and a queue: so many calls for each
	// endpoint and tier from here on, no more than a share of the first, and none that would use up the time to
	// the aim. More only waits there instead of here, is answered late, and may choke endpoints.
	initialQueue            = 0.75  // calls for each endpoint and tier at first, and within these bounds:
	minQueue                = 0.6   // so little never choked one
	maxQueue                = 1.6   // more only delays
	queueGrowth             = 0.012 // part it grows by in a rate window in which calls were held
	queueShrinkFactor       = 0.6   // part that is left when an endpoint chokes
	saturatedRatio          = 1.7   // times its kind's pace: an endpoint has choked,
	recoveredRatio          = 1.3   // and has recovered
	maxQueueShare           = 0.8
	targetShare             = 0.5 // of the time from base latency to the aim; the rest is for slow calls
	initialCallsPerEndpoint = 5.0 // the limit at first, for each endpoint that is this instance's share of the tier
	minCallsPerEndpoint     = 1.2 // and the least it may come to
	concurrencySlack        = 2.0 // calls that any endpoint, and the fleet, may hold beyond its share
	maxEndpointShare        = 1.5 // of an even share of the limit, that one endpoint may hold
	peakHoldWindows         = 5.0 // how long a peak rate is remembered, in rate windows

	minWindowSamples  = 16   // answers, and one rate window, averaged for one look at the base latency
	baseLatencyFall   = 0.3  // how fast the base latency follows lower ones
	skippedWindows    = 1    // first windows that do not count
	baseLatencyRise   = 0.02 // and higher ones: slowly, so that an overload is not taken for normal
	usualLatencyRise  = 0.08 // and how fast the usual latency, that strain is measured against, follows higher ones
	meanLatencyWeight = 0.05 // weight of one answer in a class's mean latency

	// Strain: what calls take, over what they should at most take on average. Above 1 calls are paced, for where
	// an instance has a call or two in flight a limit on their number holds nothing back.
	pressureUsualMultiple = 1.5  // usual latencies that calls should take at most on average,
	pressureTargetShare   = 0.55 // and part of the aim
	maxPressureWeight     = 0.12 // of one answer at most,
	pressureWindowTargets = 2.0  // and all those of so many aims count alike
	pressureGain          = 1.5  // part of the pace that one second of a strain of 2 takes off
	maxPressureSample     = 4.0  // the most that one call may tell
	maxSendRateMultiple   = 1.5  // of the peak rate of requests: the pace when nothing is held back
	minSendRateShare      = 0.15 // and the least, of that
	sendBurst             = 2.0  // calls that may be sent at once, or those of half a second

	maxRejectionsPerResponse = 0.6 // attempts that may end without having run, for each answered call,
	rejectionReserve         = 1.0 // beyond the limit on calls while none is answered,
	rejectionsPerEndpoint    = 1.0 // and all instances', for each endpoint and time that cold ones are judged over,
	rejectionShare           = 0.2 // or a share of what was answered at the best rate of late, whichever is more
)

// updateLimits sets the limit on calls in flight: those answered at base latency at the best rate of late, and a
// queue. It has a floor, for calls that got stuck would else lower rate and limit in turn, without end.
// It also bounds the attempts that never run. Those that are turned away or refused go on to the next
// endpoint at once, so the sum of all instances' was the requests times MaxAttempts where all were full, and
// each learns by an attempt of its own which are: cold ones fell over under calls that they had turned away.
// What answers earn adds up to the answers, and what is allowed without them is a part of the list's length
// for each instance, or of what it had answered, so that endpoints that are back are soon found. It goes by
// cold endpoints' bound whether or not the list calls them cold: lists come late, and know little at first.
func (b *Balancer) updateLimits(now time.Duration) {
	b.sendTokens = min(b.sendTokens+b.sendRate*(now-b.sendTokensAt).Seconds(), max(sendBurst, b.sendRate/2))
	b.sendTokensAt = now
	least := b.perInstance(minCallsPerEndpoint, float64(b.settings.Instances))
	if !b.latenciesKnown() {
		least = b.perInstance(initialCallsPerEndpoint, b.quotaDivisor)
	}
	base := b.baseConcurrency.peak(now, b.rateWindow)
	queue := b.queuePerEndpoint * float64(len(b.listedEndpoints)*max(b.settings.Tiers-b.settings.Tier, 1)) / float64(b.settings.Instances)
	queue = min(queue, maxQueueShare*base, b.targetConcurrency.peak(now, b.rateWindow))
	b.concurrencyLimit = max(base+queue+concurrencySlack, least)
	if each := float64(len(b.listedEndpoints)) / b.quotaDivisor; each > 0 {
		knocks := max(rejectionsPerEndpoint*each/b.rateWindow.Seconds(), rejectionShare*b.servedRate.peak(now, b.rateWindow))
		b.rejectionThrottle.Update(now, knocks, rejectionReserve+initialCallsPerEndpoint*each, b.concurrencyLimit+rejectionReserve)
	}
}

// perInstance is a number of calls for each listed endpoint, divided among the tier's instances.
func (b *Balancer) perInstance(calls, instances float64) float64 {
	return concurrencySlack + calls*float64(len(b.listedEndpoints))/instances
}

// hasCapacity tells whether an endpoint may get one more call.
func (b *Balancer) hasCapacity(now time.Duration, e *endpoint) bool {
	if e.rejectsUntil > now || e.availability == warmingUp && !b.slowStartAllows(now, e) {
		return false
	}
	// A cold endpoint with a warm one's calls in flight would answer none of them in time.
	most := (maxEndpointShare*b.concurrencyLimit/max(b.subsetSize, 1)/b.latencyRatio(e) + concurrencySlack) * b.capacityShare(now, e)
	return float64(b.outstanding(now, e)-e.lostCalls) < max(most, concurrencySlack)
}

// outstanding is the number of own calls in flight, with those that failed a short while ago: few in flight must
// not draw calls to an endpoint that fails fast, and timed-out work may still run there.
func (b *Balancer) outstanding(now time.Duration, e *endpoint) int {
	e.penalties = slices.DeleteFunc(e.penalties, func(t time.Duration) bool { return t <= now })
	return len(e.calls) + len(e.penalties)
}

// adaptQueue moves the queue that endpoints may hold. What one bears before it chokes is told nowhere: the queue
// grows while calls are held here, and shrinks when an endpoint turns far slower than its kind.
func (b *Balancer) adaptQueue(now time.Duration, e *endpoint) {
	kind := b.kindLatencies[e.kind].mean
	choked := e.latency.samples*endpointLatencyWeight > 0.99 && e.latency.mean > saturatedRatio*kind
	if choked && !e.saturated {
		b.queuePerEndpoint = max(b.queuePerEndpoint*queueShrinkFactor, minQueue)
	}
	if choked || e.latency.mean < recoveredRatio*kind {
		e.saturated = choked
	}
	if len(b.pending) > 0 && now-b.queueChangedAt > b.rateWindow {
		b.queuePerEndpoint, b.queueChangedAt = min(b.queuePerEndpoint*(1+queueGrowth), maxQueue), now
	}
}

// updatePressure takes what a call took into the strain, and moves the pace of calls by it. It acts where instances
// outnumber endpoints: there each has a call or two in flight, and no limit on their number keeps a tier
// from filling up; and on clients' requests only: what the tiers above have worked on is not refused below.
func (b *Balancer) updatePressure(now time.Duration, c *class, took time.Duration) {
	due := min(pressureUsualMultiple*c.usualLatency, pressureTargetShare*c.LatencyTarget.Seconds())
	if due <= 0 || b.settings.Tier > 0 || b.settings.Instances <= len(b.listedEndpoints) {
		return
	}
	dt := (now - b.pressureAt).Seconds()
	weight := min(maxPressureWeight, dt/(pressureWindowTargets*c.LatencyTarget.Seconds()))
	b.pressure += weight * (min(took.Seconds()/due, maxPressureSample) - b.pressure)
	most := maxSendRateMultiple * b.requestRate.peak(now, b.rateWindow)
	if !b.sendRateLimited {
		b.sendRateLimited, b.sendRate, b.sendTokens, b.sendTokensAt = b.pressure > 1, most, sendBurst, now
	} else {
		b.sendRate = max(b.sendRate*(1-pressureGain*min(b.pressure-1, 1)*min(dt, 1)), minSendRateShare*most)
		b.sendRateLimited = b.pressure > 1
	}
	b.pressureAt = now
}
