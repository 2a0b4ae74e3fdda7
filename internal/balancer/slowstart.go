package balancer

import "time"

// This file limits the requests to endpoints that have just started (slow start). Their capacity begins with a share of the full
// capacity, which grows with time.

const (
	skippedSlowStartShare = 0.75 // share of slow start skipped after an ejection by an endpoint whose connections never broke

	// The rate limit of an endpoint in slow start is the rate of an available endpoint of the same capacity, times OverloadMultiple
	// and one of these factors, but no less than that rate.
	slowStartHeadroom      = 0.7 // factor while any endpoint is available
	slowStartAloneHeadroom = 0.9 // factor while no endpoint is available, so that no other can take the requests

	slowStartStep = 1.25 // factor by which the capacity share grows between two checks of the bound
)

// startSlowStart starts an endpoint's slow start, counted from the given time.
func (b *Balancer) startSlowStart(now time.Duration, ep *endpoint, from time.Duration) {
	b.clearEjection(ep)
	ep.availability = warmingUp
	ep.slowStartFrom = from
	// The initial fraction of a token is random, so that instances which learn of the start at the same time do not all send a
	// request at once.
	ep.slowStartTokens = b.rng.Float64()
	ep.slowStartTokensAt = now
	b.slowStarts.Remove(ep)
	b.reindex(now, ep)
}

// advanceSlowStarts updates the bounds of endpoints in slow start whose check is due, and ends the slow starts that are over.
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

// capacityShare returns the share of its full capacity that an endpoint is assumed to have, which is 1 unless it is in slow start.
func (b *Balancer) capacityShare(now time.Duration, ep *endpoint) float64 {
	if ep.availability != warmingUp || b.settings.SlowStartWindow == 0 {
		return 1
	}
	from := b.settings.SlowStartMinShare
	share := from + (1-from)*float64(now-ep.slowStartFrom)/float64(b.settings.SlowStartWindow)
	return min(max(share, from), 1)
}

// nextBoundCheck returns the time at which the capacity share of an endpoint in slow start will have grown by the factor
// slowStartStep, or at which its slow start will be over, whichever is earlier.
func (b *Balancer) nextBoundCheck(now time.Duration, ep *endpoint) time.Duration {
	over := ep.slowStartFrom + b.settings.SlowStartWindow
	if b.settings.SlowStartMinShare >= 1 {
		return over
	}
	grown := (b.capacityShare(now, ep)*slowStartStep - b.settings.SlowStartMinShare) / (1 - b.settings.SlowStartMinShare)
	at := ep.slowStartFrom + seconds(grown*b.settings.SlowStartWindow.Seconds())
	// The next tick is the earliest: a share that begins at 0 stays 0 when multiplied, and would be checked in an endless loop.
	return min(over, max(at, now+b.tickInterval))
}

// slowStartAllows reports whether an endpoint in slow start may get a request. Its rate is limited relative to its capacity share
// of an available endpoint's rate, whatever the state of the others: if nearly all endpoints are in slow start, a draw by capacity
// share alone would overload them. The limit is proportional to the draw weight. Otherwise, a slow machine, or one with a small
// weight in many subsets, would get the rate of a fast one.
func (b *Balancer) slowStartAllows(now time.Duration, ep *endpoint) bool {
	perWeight := b.availableSendRate.peak(now, b.rateWindow)
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

// countAvailableSend records that a request is sent to an endpoint, if that is available and in the subset. The limits in slow
// start are relative to the rate of these sends.
func (b *Balancer) countAvailableSend(now time.Duration, ep *endpoint) {
	if ep.availability != available || ep.subsetWeight <= 0 {
		return
	}
	if weight := b.availableSubsetWeight(); weight > 0 {
		b.availableSendRate.add(now, b.rateWindow, 1/weight)
	}
}

// holdSlowStartRate keeps the limits in slow start unchanged while no endpoint of the subset is available. No send updates
// availableSendRate then. If the rate were not held, it would decay, and the limits with it.
func (b *Balancer) holdSlowStartRate(now time.Duration) {
	b.noneAvailable = b.availableSubsetWeight() == 0
	if b.noneAvailable {
		b.availableSendRate.decay(now, b.rateWindow)
	}
}
