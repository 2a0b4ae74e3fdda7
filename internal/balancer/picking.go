package balancer

import "time"

// This file decides which endpoint a request goes to: the one with the fewest own requests in flight, for its weight, of two that
// are drawn at random by their weights (power of two choices).

// pickChoices is how many distinct endpoints are drawn and compared.
const pickChoices = 2

// pick chooses an endpoint for a request: an ejected one whose trial is due, else the less loaded of two drawn among those with
// capacity; those in slow start are drawn less often. Where none is healthy, suspect and then ejected ones serve: ejections
// never empty the set. It returns nil where the request has to wait, and reports whether the attempt is a trial, which
// may end an ejection.
func (b *Balancer) pick(now time.Duration, r *request) (to *endpoint, trial bool) {
	if e := b.trialEndpoint(now, r); e != nil {
		return e, true
	}
	within := r.scope()
	if b.exhausted.covers(r, within) {
		return b.pickFreed(now, r, within), false
	}
	first, second := b.drawCandidates(now, r, within)
	if second != nil {
		return b.lessLoaded(now, first, second), false
	}
	others, healthy := b.scanCandidates(now, r, within, first)
	if !healthy {
		others = b.scanUnhealthy(now, r)
	}
	to = b.drawLeastLoaded(now, first, others)
	b.noteExhausted(now, r, within, to)
	return to, !healthy && to != nil && to.availability == ejected
}

// scope is where a request's next attempt may go: a first one to the subset, a retry anywhere.
func (r *request) scope() scope {
	if r.attempts > 0 || r.mayHaveRun {
		return everywhere
	}
	return inSubset
}

// isHealthy reports whether an endpoint is in good health for a request. Retries may leave the subset, but not for an endpoint in
// slow start: all instances' together would overload it.
func (b *Balancer) isHealthy(now time.Duration, r *request, e *endpoint, within scope) bool {
	reached := e.subsetWeight > 0 || within == everywhere && e.availability == available
	return e.availability <= warmingUp && reached && b.retryPermitted(now, r, e) && !b.isSuspect(now, e, suspectMeans)
}

// isAvailable reports whether an endpoint may have this request, too.
func (b *Balancer) isAvailable(now time.Duration, r *request, e *endpoint) bool {
	return b.hasCapacity(now, e) && (e != r.failedEndpoint || len(b.listed) == 1)
}

// drawCandidates draws candidates from the pools, by their weights and among those that are available, without a scan of all:
// both, or one or none where too many draws were in vain. The others are to be scanned for then.
func (b *Balancer) drawCandidates(now time.Duration, r *request, within scope) (first, second *endpoint) {
	if !b.usesPools(within) || r.boundToCell() {
		return nil, nil
	}
	for range maxPoolDraws {
		e, ok := b.drawOne(now, within)
		if !ok || e == first || !b.isHealthy(now, r, e, within) || !b.isAvailable(now, r, e) {
			continue
		}
		if first != nil {
			return first, e
		}
		first = e
	}
	return first, nil
}

// scanCandidates finds the candidates beside one that has been drawn, nil for none, and reports whether any endpoint is healthy.
func (b *Balancer) scanCandidates(now time.Duration, r *request, within scope, drawn *endpoint) (others []*endpoint, healthy bool) {
	var endpoints []*endpoint
	if r.boundToCell() {
		endpoints = b.index.byCell[r.ranInCell]
	} else {
		endpoints = b.endpointsIn(within)
	}
	others, healthy = b.candidateBuffer[:0], drawn != nil
	for _, e := range endpoints {
		if !b.isHealthy(now, r, e, within) {
			continue
		}
		healthy = true
		if e != drawn && b.isAvailable(now, r, e) {
			others = append(others, e)
		}
	}
	b.candidateBuffer = others
	return others, healthy
}

// scanUnhealthy finds the candidates where no endpoint is healthy: all that the rules permit and that are not overloaded.
func (b *Balancer) scanUnhealthy(now time.Duration, r *request) []*endpoint {
	candidates := b.candidateBuffer[:0]
	for _, e := range b.endpointsIn(everywhere) {
		overloaded := e.availability == warmingUp && !b.slowStartAllows(now, e) || float64(e.outstanding(now)) >= concurrencySlack
		if b.retryPermitted(now, r, e) && !overloaded {
			candidates = append(candidates, e)
		}
	}
	b.candidateBuffer = candidates
	return candidates
}

// drawLeastLoaded draws distinct candidates at random, each by its weight, after one that may have been drawn, and returns the
// less loaded; nil where there are none. It reorders the candidates.
func (b *Balancer) drawLeastLoaded(now time.Duration, first *endpoint, candidates []*endpoint) *endpoint {
	for _, e := range candidates { // each is looked at several times
		e.drawWeight = b.capacityShare(now, e) * b.weights.drawWeight(e)
	}
	best, drawn := first, 0
	if first != nil {
		drawn = 1
	}
	for ; drawn < pickChoices && len(candidates) > 0; drawn++ {
		i := b.drawIndex(candidates)
		e := candidates[i]
		last := len(candidates) - 1
		candidates[i], candidates = candidates[last], candidates[:last]
		best = b.lessLoaded(now, best, e)
	}
	return best
}

// drawIndex draws one of some candidates by their weights.
func (b *Balancer) drawIndex(candidates []*endpoint) int {
	total := 0.0
	for _, e := range candidates {
		total += e.drawWeight
	}
	x, last := b.rng.Float64()*total, len(candidates)-1
	for i, e := range candidates[:last] {
		if x -= e.drawWeight; x < 0 {
			return i
		}
	}
	return last
}

// lessLoaded is the one with the fewest own requests in flight for its weight; of equals, the one drawn first, so that ties fall
// at random and by the weights: the same requests are a longer queue at a smaller endpoint, and a coin, in a subset of two, gave
// both the same whatever their weights. The first may be nil.
func (b *Balancer) lessLoaded(now time.Duration, first, second *endpoint) *endpoint {
	if first == nil || b.relativeLoad(now, second) < b.relativeLoad(now, first) {
		return second
	}
	return first
}

// relativeLoad is an endpoint's own requests in flight for its weight.
func (b *Balancer) relativeLoad(now time.Duration, e *endpoint) float64 {
	return float64(e.outstanding(now)) / b.weights.drawWeight(e)
}

// exhaustion remembers, until the next tick, that a scan of all endpoints of a scope found none for a request that may go to any.
// The like of it goes only where an answer has come from since: in a fleet that is full, or in slow start, each pending request
// would scan all of them again with every event.
type exhaustion struct {
	scopes [scopeCount]bool
	freed  *endpoint // that the latest answer since came from
}

// covers reports whether a request needs no scan.
func (x *exhaustion) covers(r *request, within scope) bool {
	return x.scopes[within] && r.unrestricted()
}

// reset forgets it.
func (x *exhaustion) reset() { *x = exhaustion{} }

// noteExhausted notes that a scan found nothing for a request, where that holds for all like it.
func (b *Balancer) noteExhausted(now time.Duration, r *request, within scope, found *endpoint) {
	if found != nil || !b.usesPools(within) || !r.unrestricted() {
		return
	}
	if r.failedEndpoint == nil || !b.hasCapacity(now, r.failedEndpoint) {
		b.exhausted.scopes[within], b.exhausted.freed = true, nil
	}
}

// pickFreed picks the endpoint that has answered since all were exhausted, if the request may go there; nil else.
func (b *Balancer) pickFreed(now time.Duration, r *request, within scope) *endpoint {
	e := b.exhausted.freed
	if e != nil && b.isHealthy(now, r, e, within) && b.isAvailable(now, r, e) {
		return e
	}
	return nil
}

// excluded is the endpoint that a request names; nil for none. Ids begin where the host likes, so no number stands for none.
func (b *Balancer) excluded(id *EndpointID) *endpoint {
	if id == nil {
		return nil
	}
	return b.endpointsByID[*id]
}
