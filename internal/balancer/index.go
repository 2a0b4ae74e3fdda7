package balancer

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/structures/weightedring"
)

// This file indexes the listed endpoints for the decisions, so that no decision has to iterate over the list. It makes no
// decisions. An endpoint is refreshed after each change of the values that its position depends on: its availability, its part in
// the subset, its latency.

// endpointIndex holds the endpoints that may get requests: those that are listed and not draining.
type endpointIndex struct {
	ordered weightedring.Ring[*endpoint] // endpoints by id, with the weights by which subsets divide them
	byCell  map[int][]*endpoint          // endpoints of each cell, in order of their ids
	perZone map[int]int                  // number of endpoints in each zone

	weightCounts map[float64]int // number of listed endpoints with each listed weight
	buffer       []*endpoint     // result of the latest call of endpoints
}

// indexEntry is the position of an endpoint in the index and in the pools.
type indexEntry struct {
	indexed bool // ordered, byCell and perZone include the endpoint
	cell    int  // key in byCell
	zone    int  // key in perZone

	weight float64 // key in weightCounts: the listed weight when it was counted
	listed bool    // weightCounts includes the endpoint

	pool, slot      int     // pool, and slot in the pool, of an endpoint that is pooled
	pooled          bool    // the endpoint is in a pool
	bound           float64 // upper bound of the draw weight, as used in the pool
	availableWeight float64 // draw weight that drawPools.availableWeight includes for the endpoint
	previousWeight  float64 // subsetWeight of the endpoint before the subset was last recomputed
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{byCell: map[int][]*endpoint{}, perZone: map[int]int{}, weightCounts: map[float64]int{}}
}

func compareIDs(a, b *endpoint) int { return cmp.Compare(a.id, b.id) }

// insertSorted inserts an endpoint into a list in order of the ids, unless the list contains it already.
func insertSorted(list []*endpoint, ep *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, ep, compareIDs)
	if found {
		return list
	}
	return slices.Insert(list, i, ep)
}

// removeSorted removes an endpoint from a list in order of the ids, if the list contains it.
func removeSorted(list []*endpoint, ep *endpoint) []*endpoint {
	if i, found := slices.BinarySearchFunc(list, ep, compareIDs); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// len returns the number of endpoints in the index.
func (i *endpointIndex) len() int { return i.ordered.Len() }

// endpoints returns all endpoints in order of their ids. The slice is valid until the next call.
func (i *endpointIndex) endpoints() []*endpoint {
	i.buffer = i.ordered.Append(i.buffer[:0])
	return i.buffer
}

// countWeight updates weightCounts after a change of an endpoint's listed weight, or of whether it is listed.
func (i *endpointIndex) countWeight(ep *endpoint) {
	if ep.index.listed && (!ep.listed || ep.index.weight != ep.listedWeight) {
		if i.weightCounts[ep.index.weight]--; i.weightCounts[ep.index.weight] == 0 {
			delete(i.weightCounts, ep.index.weight)
		}
		ep.index.listed = false
	}
	if ep.listed && !ep.index.listed {
		i.weightCounts[ep.listedWeight]++
		ep.index.weight = ep.listedWeight
		ep.index.listed = true
	}
}

// weightsDiffer reports whether the listed weights are all above 0 and not all equal, so that they can be used.
func (i *endpointIndex) weightsDiffer() bool {
	return len(i.weightCounts) > 1 && i.weightCounts[0] == 0
}

// put inserts an endpoint with a weight, or records its move to another cell, zone or weight.
func (i *endpointIndex) put(ep *endpoint, weight float64) {
	if ep.index.indexed && ep.index.cell != ep.cell {
		i.removeFromCell(ep)
	}
	if !ep.index.indexed || ep.index.cell != ep.cell {
		i.byCell[ep.cell] = insertSorted(i.byCell[ep.cell], ep)
	}
	if ep.index.indexed {
		i.removeFromZone(ep)
	}
	i.perZone[ep.zone]++
	i.ordered.Put(uint32(ep.id), weight, ep)
	ep.index.cell = ep.cell
	ep.index.zone = ep.zone
	ep.index.indexed = true
}

// remove removes an endpoint, if it is in the index.
func (i *endpointIndex) remove(ep *endpoint) {
	if !ep.index.indexed {
		return
	}
	i.removeFromCell(ep)
	i.removeFromZone(ep)
	i.ordered.Remove(uint32(ep.id))
	ep.index.indexed = false
}

// removeFromCell removes an endpoint from the cell that it was indexed in.
func (i *endpointIndex) removeFromCell(ep *endpoint) {
	left := removeSorted(i.byCell[ep.index.cell], ep)
	i.byCell[ep.index.cell] = left
	if len(left) == 0 {
		delete(i.byCell, ep.index.cell)
	}
}

// removeFromZone removes an endpoint from the count of the zone that it was indexed in.
func (i *endpointIndex) removeFromZone(ep *endpoint) {
	if i.perZone[ep.index.zone]--; i.perZone[ep.index.zone] == 0 {
		delete(i.perZone, ep.index.zone)
	}
}

// reindex inserts an endpoint into the index and the subset if it is listed and not draining, and removes it otherwise.
func (b *Balancer) reindex(now time.Duration, ep *endpoint) {
	if ep.listed && ep.availability != draining {
		weight := b.weights.endpointWeight(ep)
		b.index.put(ep, weight)
		b.subset.admit(ep, weight)
	} else {
		if !ep.index.indexed {
			return
		}
		b.index.remove(ep)
		b.subset.drop(ep)
	}
	b.subset.stale = true
	b.refreshPools(now, ep)
}

// refreshPools updates an endpoint's position in the pools, and in the queues of slow starts and trials.
func (b *Balancer) refreshPools(now time.Duration, ep *endpoint) {
	pool := poolOf(ep)
	pooled := ep.index.indexed && pool != noPool
	if ep.index.pooled && (!pooled || ep.index.pool != pool) {
		b.pools.remove(ep)
	}
	if pooled {
		b.refreshBound(now, ep, pool)
	}
	if !ep.index.indexed || ep.availability != warmingUp {
		b.slowStarts.Remove(ep)
	} else if _, ok := b.slowStarts.Deadline(ep); !ok {
		b.slowStarts.Put(ep, b.nextBoundCheck(now, ep))
	}
	if ep.index.indexed && ep.availability == ejected && ep.subsetWeight > 0 && len(ep.calls) == 0 {
		b.trials.Put(ep, ep.trialAt)
	} else {
		b.trials.Remove(ep)
	}
}

// refreshKind refreshes the pools for all endpoints of a machine kind.
func (b *Balancer) refreshKind(now time.Duration, kind int) {
	b.weights.markKindRefreshed(kind)
	for ep := range b.index.ordered.All() {
		if ep.kind == kind {
			b.refreshPools(now, ep)
		}
	}
}

// refreshAll refreshes the pools for all endpoints, and recomputes the sum of their weights and the slack.
func (b *Balancer) refreshAll(now time.Duration) {
	b.weights.markAllRefreshed()
	b.pools.availableWeight = 0
	b.pools.boundSlack = 1
	for ep := range b.index.ordered.All() {
		ep.index.availableWeight = 0
		b.refreshPools(now, ep)
	}
}

// updateWeights recomputes the weights of all endpoints in the index and the subset.
func (b *Balancer) updateWeights(now time.Duration) {
	b.index.ordered.Reweigh(b.weights.endpointWeight)
	if b.subset.allEndpoints || b.subset.byHash {
		for _, ep := range b.endpointsIn(inSubset) {
			ep.subsetWeight = b.weights.endpointWeight(ep)
		}
	}
	b.subset.stale = true
	b.refreshAll(now)
}
