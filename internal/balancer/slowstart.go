package balancer

import "time"

// This file decides what endpoints that have just started get (slow start): they begin with a share of their capacity, which
// grows with time.

const (
	restoredWarmShare      = 0.75 // of the slow start that an unejected endpoint skips if nothing shows that it restarted
	slowStartHeadroom      = 0.7  // of OverloadMultiple: an endpoint's rate over its share of what available ones are sent
	slowStartAloneHeadroom = 0.9  // the same while none is available: there is nobody else to take the requests
	slowStartStep          = 1.25 // how far a share grows between two looks at its endpoint's bound
)

// startSlowStart begins an endpoint's slow start, counted from the given time.
func (b *Balancer) startSlowStart(now time.Duration, ep *endpoint, from time.Duration) {
	b.clearEjection(ep)
	ep.availability, ep.slowStartFrom = warmingUp, from
	// A random part of a request: instances that hear of a start at once must not all send one at once.
	ep.slowStartTokens, ep.slowStartTokensAt = b.rng.Float64(), now
	b.slowStarts.Remove(ep)
	b.reindex(now, ep)
}

// advanceSlowStarts brings the bounds of endpoints in slow start up to date, and ends those that are over.
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

// capacityShare is the part of its capacity that an endpoint is taken to have: 1 unless it is in slow start.
func (b *Balancer) capacityShare(now time.Duration, ep *endpoint) float64 {
	if ep.availability != warmingUp || b.settings.SlowStartWindow == 0 {
		return 1
	}
	from := b.settings.SlowStartMinShare
	share := from + (1-from)*float64(now-ep.slowStartFrom)/float64(b.settings.SlowStartWindow)
	return min(max(share, from), 1)
}

// nextBoundCheck is when the share of an endpoint in slow start will have grown by slowStartStep, or when its slow start is over.
func (b *Balancer) nextBoundCheck(now time.Duration, ep *endpoint) time.Duration {
	over := ep.slowStartFrom + b.settings.SlowStartWindow
	if b.settings.SlowStartMinShare >= 1 {
		return over
	}
	grown := (b.capacityShare(now, ep)*slowStartStep - b.settings.SlowStartMinShare) / (1 - b.settings.SlowStartMinShare)
	at := ep.slowStartFrom + seconds(grown*b.settings.SlowStartWindow.Seconds())
	// One that starts with no share at all would be looked at again and again.
	return min(over, max(at, now+b.tickInterval))
}

// slowStartAllows caps what an endpoint in slow start is sent to its share of what an available one gets, whatever the others
// do: when nearly all are in slow start a draw by share alone would overload them. It goes by the draw weight, too: a slow
// machine, or one of which a sliver lies in each of many subsets, got a whole fast one's.
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

// countAvailableSend notes that an available endpoint of the subset is sent a request: what those in slow start get goes by that.
func (b *Balancer) countAvailableSend(now time.Duration, ep *endpoint) {
	if ep.availability != available || ep.subsetWeight <= 0 {
		return
	}
	if weight := b.availableSubsetWeight(); weight > 0 {
		b.warmSendRate.add(now, b.rateWindow, 1/weight)
	}
}

// holdSlowStartRate keeps up what endpoints in slow start get while none of the subset is available. No send can renew it then:
// it faded, and with it what they got.
func (b *Balancer) holdSlowStartRate(now time.Duration) {
	b.noneAvailable = b.availableSubsetWeight() == 0
	if b.noneAvailable {
		b.warmSendRate.decay(now, b.rateWindow)
	}
}
