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
	queueHolds    = 0.75  // calls for each endpoint and tier at first, and within these bounds:
	queueLeast    = 0.6   // so little never choked one
	queueMost     = 1.6   // more only delays
	queueGrows    = 0.012 // part it grows by in a rate window in which calls were held
	queueShrinks  = 0.6   // part that is left when an endpoint chokes
	chokedAt      = 1.7   // times its kind's pace: an endpoint has choked,
	unchokedAt    = 1.3   // and has recovered
	queueShare    = 0.8
	aimShare      = 0.5 // of the time from base latency to the aim; the rest is for slow calls
	startHolds    = 5.0 // the limit at first, for each endpoint that is this instance's share of the tier
	leastHolds    = 1.2 // and the least it may come to
	limitSlack    = 2.0 // calls that any endpoint, and the fleet, may hold beyond its share
	endpointShare = 1.5 // of an even share of the limit, that one endpoint may hold
	peakHold      = 5.0 // how long a peak rate is remembered, in rate windows

	baseAnswers   = 16   // answers, and one rate window, averaged for one look at the base latency
	baseFall      = 0.3  // how fast the base latency follows lower ones
	baseSkip      = 1    // first windows that do not count
	baseRise      = 0.02 // and higher ones: slowly, so that an overload is not taken for normal
	usualRise     = 0.08 // and how fast the usual latency, that strain is measured against, follows higher ones
	latencyWeight = 0.05 // weight of one answer in a class's mean latency

	// Strain: what calls take, over what they should at most take on average. Above 1 calls are paced, for where
	// an instance has a call or two in flight a limit on their number holds nothing back.
	strainBase   = 1.5  // usual latencies that calls should take at most on average,
	strainAim    = 0.55 // and part of the aim
	strainWeight = 0.12 // of one answer at most,
	strainAims   = 2.0  // and all those of so many aims count alike
	strainGain   = 1.5  // part of the pace that one second of a strain of 2 takes off
	strainMost   = 4.0  // the most that one call may tell
	paceMost     = 1.5  // of the peak rate of requests: the pace when nothing is held back
	paceLeast    = 0.15 // and the least, of that
	paceBurst    = 2.0  // calls that may be sent at once, or those of half a second

	vainMost    = 0.6 // attempts that may end without having run, for each answered call,
	vainReserve = 1.0 // beyond the limit on calls while none is answered,
	vainKnocks  = 1.0 // and all instances', for each endpoint and time that cold ones are judged over,
	vainShare   = 0.2 // or a share of what was answered at the best rate of late, whichever is more
)

// refit sets the limit on calls in flight: those answered at base latency at the best rate of late, and a
// queue. It has a floor, for calls that got stuck would else lower rate and limit in turn, without end.
// It also bounds the attempts that never run. Those that are turned away or refused go on to the next
// endpoint at once, so the sum of all instances' was the requests times MaxAttempts where all were full, and
// each learns by an attempt of its own which are: cold ones fell over under calls that they had turned away.
// What answers earn adds up to the answers, and what is allowed without them is a part of the list's length
// for each instance, or of what it had answered, so that endpoints that are back are soon found. It goes by
// cold endpoints' bound whether or not the list calls them cold: lists come late, and know little at first.
func (b *Balancer) refit(now time.Duration) {
	b.credit = min(b.credit+b.pace*(now-b.creditAt).Seconds(), max(paceBurst, b.pace/2))
	b.creditAt = now
	least := b.perInstance(leastHolds, float64(b.set.Instances))
	if !b.settled() {
		least = b.perInstance(startHolds, b.sharing)
	}
	base := b.rate.peak(now, b.window)
	queue := b.queue * float64(len(b.listed)*max(b.set.Tiers-b.set.Stage, 1)) / float64(b.set.Instances)
	queue = min(queue, queueShare*base, b.spare.peak(now, b.window))
	b.limit = max(base+queue+limitSlack, least)
	if each := float64(len(b.listed)) / b.sharing; each > 0 {
		knocks := max(vainKnocks*each/b.window.Seconds(), vainShare*b.served.peak(now, b.window))
		b.vain.Bound(now, knocks, vainReserve+startHolds*each, b.limit+vainReserve)
	}
}

// perInstance is a number of calls for each listed endpoint, divided among the tier's instances.
func (b *Balancer) perInstance(calls, instances float64) float64 {
	return limitSlack + calls*float64(len(b.listed))/instances
}

// room tells whether an endpoint may get one more call.
func (b *Balancer) room(now time.Duration, e *endpoint) bool {
	if e.fullUntil > now || e.mark == ramping && !b.rampRoom(now, e) {
		return false
	}
	// A cold endpoint with a warm one's calls in flight would answer none of them in time.
	most := (endpointShare*b.limit/max(b.seats, 1)/b.slow(e) + limitSlack) * b.share(now, e)
	return float64(b.load(now, e)-e.lost) < max(most, limitSlack)
}

// load is the number of own calls in flight, with those that failed a short while ago: few in flight must
// not draw calls to an endpoint that fails fast, and timed-out work may still run there.
func (b *Balancer) load(now time.Duration, e *endpoint) int {
	e.debts = slices.DeleteFunc(e.debts, func(t time.Duration) bool { return t <= now })
	return len(e.calls) + len(e.debts)
}

// fit moves the queue that endpoints may hold. What one bears before it chokes is told nowhere: the queue
// grows while calls are held here, and shrinks when an endpoint turns far slower than its kind.
func (b *Balancer) fit(now time.Duration, e *endpoint) {
	kind := b.kinds[e.kind].mean
	choked := e.pace.n*paceWeight > 0.99 && e.pace.mean > chokedAt*kind
	if choked && !e.choked {
		b.queue = max(b.queue*queueShrinks, queueLeast)
	}
	if choked || e.pace.mean < unchokedAt*kind {
		e.choked = choked
	}
	if len(b.held) > 0 && now-b.queueAt > b.window {
		b.queue, b.queueAt = min(b.queue*(1+queueGrows), queueMost), now
	}
}

// press takes what a call took into the strain, and moves the pace of calls by it. It acts where instances
// outnumber endpoints: there each has a call or two in flight, and no limit on their number keeps a tier
// from filling up; and on clients' requests only: what the tiers above have worked on is not refused below.
func (b *Balancer) press(now time.Duration, c *class, took time.Duration) {
	due := min(strainBase*c.usual, strainAim*c.Aim.Seconds())
	if due <= 0 || b.set.Stage > 0 || b.set.Instances <= len(b.listed) {
		return
	}
	dt := (now - b.strainAt).Seconds()
	weight := min(strainWeight, dt/(strainAims*c.Aim.Seconds()))
	b.strain += weight * (min(took.Seconds()/due, strainMost) - b.strain)
	most := paceMost * b.asked.peak(now, b.window)
	if !b.paced {
		b.paced, b.pace, b.credit, b.creditAt = b.strain > 1, most, paceBurst, now
	} else {
		b.pace = max(b.pace*(1-strainGain*min(b.strain-1, 1)*min(dt, 1)), paceLeast*most)
		b.paced = b.strain > 1
	}
	b.strainAt = now
}
