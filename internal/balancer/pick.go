package balancer

import (
	"cmp"
	"math"
	"time"
)

// This file decides where a call goes: this instance's subset, who may be drawn, the draw and the odds in it.

const (
	pickChoices        = 2   // distinct endpoints drawn for a pick, as the design has it
	callersPerEndpoint = 3   // instances to call one endpoint; of more each keeps to a subset, that tells it something
	minSubsetSize      = 2.0 // endpoints' worth of weight in a subset: with one there is nothing to compare

	// hashSubsetFrom is the size from which a subset is by the endpoints' ids alone, so that one that comes or goes
	// moves no other's place; it stays so down to hashSubsetDownTo. Smaller ones would differ too much by chance.
	hashSubsetFrom      = 64.0
	hashSubsetDownTo    = 48.0
	hashSubsetMinUsable = 0.5 // part of such a subset that has to be usable: else it grows to twice the size

	kindLatencyWeight     = 0.02 // of one answer in the pace of a kind,
	endpointLatencyWeight = 0.1  // and of an endpoint
	serviceTimeWeight     = 0.3  // of one report in an endpoint's service time
	kindTrustSamples      = 4.0  // answers that the pace of its kind counts for
)

// pick chooses an endpoint for a request: a due trial, else the fewer in flight of two drawn among those
// with room; ramping ones are drawn less often. Where none is in good health, suspect and then isolated
// ones serve: isolation never empties the set.
func (b *Balancer) pick(now time.Duration, r *request) (to *endpoint, trial bool) {
	if e := b.trialEndpoint(now, r); e != nil {
		return e, true
	}
	wide := r.attempts > 0 || r.mayHaveRun
	if b.isExhausted(r, wide) {
		if e := b.lastFreed; e != nil && b.isHealthy(now, r, e, wide) && b.isAvailable(now, r, e) {
			return e, false
		}
		return nil, false
	}
	first, second := b.drawCandidates(now, r, wide)
	if second != nil {
		return b.lessLoaded(now, first, second), false
	}
	healthy := first != nil
	c := b.candidateBuffer[:0]
	near := b.byCell[r.ranInCell]
	if !b.boundToCell(r) {
		near = b.endpointsInScope(wide)
	}
	for _, e := range near {
		if b.isHealthy(now, r, e, wide) {
			healthy = true
			if e != first && b.isAvailable(now, r, e) {
				c = append(c, e)
			}
		}
	}
	b.candidateBuffer = c
	if healthy {
		to = b.drawLeastLoaded(now, first, c)
		b.noteExhausted(now, r, wide, to)
		return to, false
	}
	for _, e := range b.endpointsInScope(true) {
		spent := e.availability == warmingUp && !b.slowStartAllows(now, e) || float64(b.outstanding(now, e)) >= concurrencySlack
		if b.retryPermitted(now, r, e) && !spent {
			c = append(c, e)
		}
	}
	b.candidateBuffer = c
	to = b.drawLeastLoaded(now, nil, c)
	b.noteExhausted(now, r, wide, to)
	return to, to != nil && to.availability == ejected
}

// isHealthy tells whether an endpoint is in good health for a request. Further attempts may leave the subset,
// but not for a ramping endpoint: all instances' together would push it over.
func (b *Balancer) isHealthy(now time.Duration, r *request, e *endpoint, wide bool) bool {
	return e.availability <= warmingUp && (e.subsetWeight > 0 || wide && e.availability == available) && b.retryPermitted(now, r, e) &&
		!b.isSuspect(now, e, suspectMeans)
}

// isAvailable tells whether it may have this request, too.
func (b *Balancer) isAvailable(now time.Duration, r *request, e *endpoint) bool {
	return b.hasCapacity(now, e) && (e != r.failedEndpoint || len(b.listedEndpoints) == 1)
}

// drawCandidates draws candidates from the pools, by the odds and among those that are free, without a look at all:
// both, or one or none where too many draws were in vain. The others are to be looked at then.
func (b *Balancer) drawCandidates(now time.Duration, r *request, wide bool) (first, second *endpoint) {
	if !b.usesPools(wide) || b.boundToCell(r) {
		return nil, nil
	}
	from := b.pools[:outsidePool]
	if wide {
		from = b.pools[:]
	}
	for range maxPoolDraws {
		e, ok := b.drawOne(now, from)
		if !ok || e == first || !b.isHealthy(now, r, e, wide) || !b.isAvailable(now, r, e) {
			continue
		}
		if first != nil {
			return first, e
		}
		first = e
	}
	return first, nil
}

// drawLeastLoaded takes distinct candidates at random, each by its odds, after one that may have been drawn, and
// returns the lighter.
func (b *Balancer) drawLeastLoaded(now time.Duration, first *endpoint, c []*endpoint) *endpoint {
	b.weighCandidates(now, c)
	best, n := first, 0
	if first != nil {
		n = 1
	}
	for ; n < pickChoices && len(c) > 0; n++ {
		total := 0.0
		for _, e := range c {
			total += e.drawWeight
		}
		x, i := b.rng.Float64()*total, 0
		for ; i < len(c)-1; i++ {
			if x -= c[i].drawWeight; x < 0 {
				break
			}
		}
		e := c[i]
		c[i], c = c[len(c)-1], c[:len(c)-1]
		best = b.lessLoaded(now, best, e)
	}
	return best
}

// lessLoaded is the one with the fewest own calls in flight for its odds; of equals, the one drawn first, so
// that ties fall at random and by the odds: the same calls are a longer queue at a smaller endpoint, and a
// coin, in a subset of two, gave both the same whatever their odds.
func (b *Balancer) lessLoaded(now time.Duration, first, e *endpoint) *endpoint {
	if first == nil || float64(b.outstanding(now, e))/b.drawWeight(e) < float64(b.outstanding(now, first))/b.drawWeight(first) {
		return e
	}
	return first
}

// drawWeight is an endpoint's chance in a draw: by the part of its weight in the subset, or by its whole size for
// a further attempt that has left the subset. At full size an instance has so few calls in flight that the
// draw, not the comparison, keeps small machines from getting what large ones get.
func (b *Balancer) drawWeight(e *endpoint) float64 {
	if e.subsetWeight > 0 {
		return b.effectiveWeight(e) * e.subsetWeight / b.endpointWeight(e)
	}
	return b.effectiveWeight(e)
}

// effectiveWeight is what an endpoint can do beside others: its listed weight, less what it is slower than its kind by;
// where the list weighs all alike, what its pace tells.
func (b *Balancer) effectiveWeight(e *endpoint) float64 {
	if len(b.kindServiceTimes.kinds) > 0 && !b.useListedWeights {
		if e.kind >= len(b.kindServiceTimes.kinds) { // moved to a kind that has reported nothing
			return b.kindSpeed(e)
		}
		return b.kindSpeed(e) * b.kindServiceTimes.kinds[e.kind].ratioTo(e.serviceTime)
	}
	if !b.useListedWeights {
		return 1 / b.latencyRatio(e)
	}
	return e.listedWeight * b.kindLatencyRatio(e) / b.latencyRatio(e)
}

// updateSubset notes which endpoints are in this instance's subset, and with what part of their weight. Many
// instances that each call every endpoint fill its connection table with idle connections, and know nothing
// of any. Small subsets tile a ring of the listed weights by ordinal, so that together they reach each
// endpoint in proportion to its weight; an instance that has isolated some goes on along the ring. Endpoints
// that leave are no part of it: when many left at once, their shares fell to the few that came after them.
func (b *Balancer) updateSubset(now time.Duration) {
	total, n := b.ordered.Total(), float64(b.ordered.Len())
	b.subsetSize = min(max(callersPerEndpoint*n/float64(b.settings.Instances), minSubsetSize), cmp.Or(float64(b.settings.MaxSubsetSize), n), n)
	if b.subsetSize >= n {
		b.useAllEndpoints(now)
		return
	}
	if b.subsetSize > hashSubsetFrom || b.subsetByHash && b.subsetSize > hashSubsetDownTo {
		wide := 1.0
		for wide*b.subsetSize < n && b.usableInShare(wide) < hashSubsetMinUsable*b.subsetSize {
			wide *= 2
		}
		b.useHashSubset(now, wide)
		return
	}
	need := total * b.subsetSize / n
	_, at := math.Modf(float64(b.settings.Ordinal) * b.subsetSize / n)
	eps := total * 1e-9
	b.clearSubset()
	c, at := b.ordered.Seek(at*total, eps)
	for i := 0; need > eps && i < 2*b.ordered.Len(); i, at = i+1, 0 {
		e, w, _ := c.Next()
		if take := min(w-max(at, 0)-e.subsetWeight, need); take >= eps {
			b.addToSubset(e, take)
			if e.availability <= warmingUp {
				need -= take
			}
		}
	}
	b.finishSubset(now)
}
