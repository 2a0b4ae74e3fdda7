package balancer

import "time"

// This file limits the requests to endpoints that have just started (slow start). Their capacity begins with a share of the full
// one, which grows with time.

const (
	restoredWarmShare      = 0.75 // share of the slow start that an endpoint skips after an ejection, if its connections never broke
	slowStartHeadroom      = 0.7  // part of OverloadMultiple by which an endpoint's rate may exceed its share of an available one's
	slowStartAloneHeadroom = 0.9  // the same while no endpoint is available, as no other can take the requests
	slowStartStep          = 1.25 // factor by which the capacity share grows between two checks of the bound
)

// startSlowStart starts an endpoint's slow start, counted from the given time.
func (b *Balancer) startSlowStart(now time.Duration, ep *endpoint, from time.Duration) {
	b.clearEjection(ep)
	ep.availability = warmingUp
	ep.slowStartFrom = from
	// The fraction of a token is random, so that the instances which learn of the start at the same time do not all send a
	// request at once.
	ep.slowStartTokens = b.rng.Float64()
	ep.slowStartTokensAt = now
	b.slowStarts.Remove(ep)
	b.reindex(now, ep)
}

// advanceSlowStarts updates the bounds of endpoints in slow start, and ends the slow starts that are over.
func (b *Balancer) advanceSlowStarts(now time.Duration) {
	for {
		ep, at, ok := b.slowStarts.Peek()
		if !ok || at > now {
			return
		}
		b.slowStarts.Remove(ep)
		if b.capacityShare(now, ep) >= 1 {
			ep.availability = available
		}
		b.refreshPools(now, ep)
	}
}

// capacityShare returns the share of its full capacity that an endpoint is assumed to have: 1 unless it is in slow start.
func (b *Balancer) capacityShare(now time.Duration, ep *endpoint) float64 {
	if ep.availability != warmingUp || b.settings.SlowStartWindow == 0 {
		return 1
	}
	from := b.settings.SlowStartMinShare
	share := from + (1-from)*float64(now-ep.slowStartFrom)/float64(b.settings.SlowStartWindow)
	return min(max(share, from), 1)
}

// nextBoundCheck returns when the share of an endpoint in slow start will have grown by slowStartStep, or when its slow start
// will be over.
func (b *Balancer) nextBoundCheck(now time.Duration, ep *endpoint) time.Duration {
	over := ep.slowStartFrom + b.settings.SlowStartWindow
	if b.settings.SlowStartMinShare >= 1 {
		return over
	}
	grown := (b.capacityShare(now, ep)*slowStartStep - b.settings.SlowStartMinShare) / (1 - b.settings.SlowStartMinShare)
	at := ep.slowStartFrom + seconds(grown*b.settings.SlowStartWindow.Seconds())
	// The next tick is the earliest, as a share that begins at 0 would be checked without end.
	return min(over, max(at, now+b.tickInterval))
}

// slowStartAllows reports whether an endpoint in slow start may get a request. Its rate is limited to its capacity share of an
// available endpoint's rate, whatever the others do: if nearly all are in slow start, a draw by capacity share alone would
// overload them. It scales with the draw weight: otherwise a slow machine, or one with a small weight in many subsets, would get
// the rate of a fast one.
func (b *Balancer) slowStartAllows(now time.Duration, ep *endpoint) bool {
	perWeight := b.warmSendRate.peak(now, b.rateWindow)
	if perWeight == 0 {
		return len(ep.calls) == 0
	}
	headroom := slowStartHeadroom
	if b.noneAvailable {
		headroom = slowStartAloneHeadroom
	}
	rate := max(headroom*b.settings.OverloadMultiple, 1) * b.capacityShare(now, ep) * perWeight * b.weights.drawWeight(ep)
	earned := rate * (now - ep.slowStartTokensAt).Seconds()
	ep.slowStartTokens = min(ep.slowStartTokens+earned, 1+rate*b.rateWindow.Seconds()/4)
	ep.slowStartTokensAt = now
	return ep.slowStartTokens >= 1
}

// countAvailableSend records that an available endpoint of the subset is sent a request. The limits in slow start follow that
// rate.
func (b *Balancer) countAvailableSend(now time.Duration, ep *endpoint) {
	if ep.availability != available || ep.subsetWeight <= 0 {
		return
	}
	if weight := b.availableSubsetWeight(); weight > 0 {
		b.warmSendRate.add(now, b.rateWindow, 1/weight)
	}
}

// holdSlowStartRate keeps the limits in slow start as they are while no endpoint of the subset is available. No send renews the
// rate then; without this it decayed, and the limits with it.
func (b *Balancer) holdSlowStartRate(now time.Duration) {
	b.noneAvailable = b.availableSubsetWeight() == 0
	if b.noneAvailable {
		b.warmSendRate.decay(now, b.rateWindow)
	}
}
