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
func (b *Balancer) pick(now time.Duration, req *request) (to *endpoint, trial bool) {
	if ep := b.trialEndpoint(now, req); ep != nil {
		return ep, true
	}
	within := req.scope()
	if b.exhausted.covers(req, within) {
		return b.pickFreed(now, req, within), false
	}
	first, second := b.drawCandidates(now, req, within)
	if second != nil {
		return b.lessLoaded(now, first, second), false
	}
	others, healthy := b.scanCandidates(now, req, within, first)
	if !healthy {
		others = b.scanUnhealthy(now, req)
	}
	to = b.drawLeastLoaded(now, first, others)
	b.noteExhausted(now, req, within, to)
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
func (b *Balancer) isHealthy(now time.Duration, req *request, ep *endpoint, within scope) bool {
	reached := ep.subsetWeight > 0 || within == everywhere && ep.availability == available
	return ep.availability <= warmingUp && reached && b.retryPermitted(now, req, ep) && !b.isSuspect(now, ep, suspectMeans)
}

// canTake reports whether an endpoint may have this request, too.
func (b *Balancer) canTake(now time.Duration, req *request, ep *endpoint) bool {
	return b.hasCapacity(now, ep) && (ep != req.failedEndpoint || len(b.listed) == 1)
}

// drawCandidates draws candidates from the pools, by their weights and among those that are available, without a scan of all:
// both, or one or none where too many draws were in vain. The others are to be scanned for then.
func (b *Balancer) drawCandidates(now time.Duration, req *request, within scope) (first, second *endpoint) {
	if !b.usesPools(within) || req.boundToCell() {
		return nil, nil
	}
	for range maxPoolDraws {
		ep, ok := b.drawOne(now, within)
		if !ok || ep == first || !b.isHealthy(now, req, ep, within) || !b.canTake(now, req, ep) {
			continue
		}
		if first != nil {
			return first, ep
		}
		first = ep
	}
	return first, nil
}

// scanCandidates finds the candidates beside one that has been drawn, nil for none, and reports whether any endpoint is healthy.
func (b *Balancer) scanCandidates(now time.Duration, req *request, within scope, drawn *endpoint) (others []*endpoint, healthy bool) {
	var endpoints []*endpoint
	if req.boundToCell() {
		endpoints = b.index.byCell[req.ranInCell]
	} else {
		endpoints = b.endpointsIn(within)
	}
	others, healthy = b.candidateBuffer[:0], drawn != nil
	for _, ep := range endpoints {
		if !b.isHealthy(now, req, ep, within) {
			continue
		}
		healthy = true
		if ep != drawn && b.canTake(now, req, ep) {
			others = append(others, ep)
		}
	}
	b.candidateBuffer = others
	return others, healthy
}

// scanUnhealthy finds the candidates where no endpoint is healthy: all that the rules permit and that are not overloaded.
func (b *Balancer) scanUnhealthy(now time.Duration, req *request) []*endpoint {
	candidates := b.candidateBuffer[:0]
	for _, ep := range b.endpointsIn(everywhere) {
		overloaded := ep.availability == warmingUp && !b.slowStartAllows(now, ep) || float64(ep.outstanding(now)) >= concurrencySlack
		if b.retryPermitted(now, req, ep) && !overloaded {
			candidates = append(candidates, ep)
		}
	}
	b.candidateBuffer = candidates
	return candidates
}

// drawLeastLoaded draws distinct candidates at random, each by its weight, after one that may have been drawn, and returns the
// less loaded; nil where there are none. It reorders the candidates.
func (b *Balancer) drawLeastLoaded(now time.Duration, first *endpoint, candidates []*endpoint) *endpoint {
	for _, ep := range candidates { // each is looked at several times
		ep.scanWeight = b.capacityShare(now, ep) * b.weights.drawWeight(ep)
	}
	best, drawn := first, 0
	if first != nil {
		drawn = 1
	}
	for ; drawn < pickChoices && len(candidates) > 0; drawn++ {
		i := b.drawIndex(candidates)
		ep := candidates[i]
		last := len(candidates) - 1
		candidates[i], candidates = candidates[last], candidates[:last]
		best = b.lessLoaded(now, best, ep)
	}
	return best
}

// drawIndex draws one of some candidates by their weights.
func (b *Balancer) drawIndex(candidates []*endpoint) int {
	total := 0.0
	for _, ep := range candidates {
		total += ep.scanWeight
	}
	x, last := b.rng.Float64()*total, len(candidates)-1
	for i, ep := range candidates[:last] {
		if x -= ep.scanWeight; x < 0 {
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
func (b *Balancer) relativeLoad(now time.Duration, ep *endpoint) float64 {
	return float64(ep.outstanding(now)) / b.weights.drawWeight(ep)
}

// exhaustion remembers, until the next tick, that a scan of all endpoints of a scope found none for a request that may go to any.
// The like of it goes only where an answer has come from since: in a fleet that is full, or in slow start, each pending request
// would scan all of them again with every event.
type exhaustion struct {
	scopes [scopeCount]bool
	freed  *endpoint // that the latest answer since came from
}

// covers reports whether a request needs no scan.
func (e *exhaustion) covers(req *request, within scope) bool {
	return e.scopes[within] && req.unrestricted()
}

// reset forgets it.
func (e *exhaustion) reset() { *e = exhaustion{} }

// noteExhausted notes that a scan found nothing for a request, where that holds for all like it.
func (b *Balancer) noteExhausted(now time.Duration, req *request, within scope, found *endpoint) {
	if found != nil || !b.usesPools(within) || !req.unrestricted() {
		return
	}
	if req.failedEndpoint == nil || !b.hasCapacity(now, req.failedEndpoint) {
		b.exhausted.scopes[within], b.exhausted.freed = true, nil
	}
}

// pickFreed picks the endpoint that has answered since all were exhausted, if the request may go there; nil else.
func (b *Balancer) pickFreed(now time.Duration, req *request, within scope) *endpoint {
	ep := b.exhausted.freed
	if ep != nil && b.isHealthy(now, req, ep, within) && b.canTake(now, req, ep) {
		return ep
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
