package balancer

import "time"

// This file decides which endpoint a request is sent to. Of two endpoints that are drawn at random by their weights, it is the one
// with fewer of this instance's requests in flight relative to its weight (power of two choices).

// pickChoices is the number of distinct endpoints that are drawn and compared.
const pickChoices = 2

// pick chooses an endpoint for a request: an ejected one whose trial is due, otherwise the less loaded of two that are drawn among
// those with capacity. Endpoints in slow start are drawn less often. If no endpoint is healthy, suspect and ejected ones are used,
// so that ejections alone never leave a request without an endpoint. It returns nil if the request has to wait. trial reports
// whether the attempt is a trial, whose success ends an ejection.
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
	b.recordExhausted(now, req, within, to)
	return to, !healthy && to != nil && to.availability == ejected
}

// scope returns the endpoints that the next attempt may use: the subset for a first attempt, all for a retry.
func (r *request) scope() scope {
	if r.attempts > 0 || r.mayHaveRun {
		return everywhere
	}
	return inSubset
}

// isHealthy reports whether an endpoint may be picked as a healthy one for a request. A retry may use endpoints outside of the
// subset, but not those in slow start: the retries of all instances together would overload them.
func (b *Balancer) isHealthy(now time.Duration, req *request, ep *endpoint, within scope) bool {
	reached := ep.subsetWeight > 0 || within == everywhere && ep.availability == available
	return ep.availability <= warmingUp && reached && b.sendPermitted(now, req, ep) && !b.isSuspect(now, ep, suspectMeans)
}

// canTake reports whether an endpoint has capacity for a request, and is not the one where the last attempt of the request failed.
// If only one endpoint is listed, the request may return to it.
func (b *Balancer) canTake(now time.Duration, req *request, ep *endpoint) bool {
	return b.hasCapacity(now, ep) && (ep != req.failedEndpoint || len(b.listed) == 1)
}

// drawCandidates draws two candidates from the pools by their weights, without a scan of all endpoints. If too many draws fail, it
// returns only one candidate or none, and the caller scans for the others.
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

// scanCandidates returns the candidates other than the one that has been drawn, which may be nil. healthy reports whether any
// endpoint is healthy.
func (b *Balancer) scanCandidates(now time.Duration, req *request, within scope, drawn *endpoint) (others []*endpoint, healthy bool) {
	var endpoints []*endpoint
	if req.boundToCell() {
		endpoints = b.index.byCell[req.ranInCell]
	} else {
		endpoints = b.endpointsIn(within)
	}
	others = b.candidateBuffer[:0]
	healthy = drawn != nil
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

// scanUnhealthy returns the candidates if no endpoint is healthy: all endpoints that the rules permit and that are not overloaded.
func (b *Balancer) scanUnhealthy(now time.Duration, req *request) []*endpoint {
	candidates := b.candidateBuffer[:0]
	for _, ep := range b.endpointsIn(everywhere) {
		overloaded := ep.availability == warmingUp && !b.slowStartAllows(now, ep) || float64(ep.outstanding(now)) >= concurrencySlack
		if b.sendPermitted(now, req, ep) && !overloaded {
			candidates = append(candidates, ep)
		}
	}
	b.candidateBuffer = candidates
	return candidates
}

// drawLeastLoaded draws distinct candidates at random by their weights until there are pickChoices of them, including the first
// one if that is not nil. It returns the least loaded, or nil if there are none. It reorders the candidates.
func (b *Balancer) drawLeastLoaded(now time.Duration, first *endpoint, candidates []*endpoint) *endpoint {
	for _, ep := range candidates { // computed once, as drawIndex reads each weight several times
		ep.scanWeight = b.capacityShare(now, ep) * b.weights.drawWeight(ep)
	}
	best := first
	drawn := 0
	if first != nil {
		drawn = 1
	}
	for ; drawn < pickChoices && len(candidates) > 0; drawn++ {
		i := b.drawIndex(candidates)
		ep := candidates[i]
		last := len(candidates) - 1
		candidates[i] = candidates[last]
		candidates = candidates[:last]
		best = b.lessLoaded(now, best, ep)
	}
	return best
}

// drawIndex draws one of the candidates by their scanWeight, and returns its index.
func (b *Balancer) drawIndex(candidates []*endpoint) int {
	total := 0.0
	for _, ep := range candidates {
		total += ep.scanWeight
	}
	x := b.rng.Float64() * total
	last := len(candidates) - 1
	for i, ep := range candidates[:last] {
		if x -= ep.scanWeight; x < 0 {
			return i
		}
	}
	return last
}

// lessLoaded returns the endpoint with fewer of this instance's requests in flight relative to its weight, or the first if both
// are equal. The first may be nil. As the first was drawn first, ties are decided at random by the weights: when they were decided
// with equal chances, both endpoints of a subset of two got the same number of requests, whatever their weights. The load is
// relative to the weight because the same number of requests is a longer queue at a smaller endpoint.
func (b *Balancer) lessLoaded(now time.Duration, first, second *endpoint) *endpoint {
	if first == nil || b.relativeLoad(now, second) < b.relativeLoad(now, first) {
		return second
	}
	return first
}

// relativeLoad returns the number of this instance's requests in flight at an endpoint, divided by the draw weight.
func (b *Balancer) relativeLoad(now time.Duration, ep *endpoint) float64 {
	return float64(ep.outstanding(now)) / b.weights.drawWeight(ep)
}

// exhaustion records that a scan of all endpoints of a scope found none for a request that may use any of them. Until the next
// tick or update of the list, similar requests are sent only to an endpoint that had an outcome after the scan. Otherwise, each
// pending request for a fleet that is saturated or in slow start would scan all endpoints at each event.
type exhaustion struct {
	scopes [scopeCount]bool // the scopes in which a scan found no endpoint
	freed  *endpoint        // endpoint of the latest outcome after the scan; nil if there was none
}

// covers reports whether a scan of a scope for a request would find no endpoint.
func (e *exhaustion) covers(req *request, within scope) bool {
	return e.scopes[within] && req.unrestricted()
}

// reset allows scans again.
func (e *exhaustion) reset() { *e = exhaustion{} }

// recordExhausted records that a scan of a scope found no endpoint for a request, if the same holds for all similar requests.
func (b *Balancer) recordExhausted(now time.Duration, req *request, within scope, found *endpoint) {
	if found != nil || !b.usesPools(within) || !req.unrestricted() {
		return
	}
	if req.failedEndpoint == nil || !b.hasCapacity(now, req.failedEndpoint) {
		b.exhausted.scopes[within] = true
		b.exhausted.freed = nil
	}
}

// pickFreed returns the endpoint of the latest outcome after the scan if the request may be sent there, otherwise nil.
func (b *Balancer) pickFreed(now time.Duration, req *request, within scope) *endpoint {
	ep := b.exhausted.freed
	if ep != nil && b.isHealthy(now, req, ep, within) && b.canTake(now, req, ep) {
		return ep
	}
	return nil
}

// excluded returns the endpoint with the id, or nil if the id is nil or unknown. The id is a pointer because 0 is a valid id.
func (b *Balancer) excluded(id *EndpointID) *endpoint {
	if id == nil {
		return nil
	}
	return b.endpointsByID[*id]
}
