package balancer

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/structures/weightedring"
)

// This file keeps the listed endpoints where decisions find them without a walk over the list; it decides nothing. An endpoint is
// refreshed after each change of what its place depends on: its availability, its part in the subset, its latency.

// endpointIndex has the endpoints that requests may go to: all that are listed and do not drain.
type endpointIndex struct {
	ordered weightedring.Ring[*endpoint] // by id, with the weights that subsets go by
	byCell  map[int][]*endpoint          // in the order of their ids
	perZone map[int]int                  // how many are in each

	weightCounts map[float64]int // listed weights, and how many listed endpoints have each
	all          []*endpoint     // buffer for a list of all
}

// indexEntry is where the index has an endpoint.
type indexEntry struct {
	indexed bool // in ordered, byCell and perZone
	cell    int
	zone    int

	weight float64 // the listed weight under which weightCounts counts it
	listed bool    // weightCounts counts it

	pool, slot      int
	pooled          bool
	bound           float64 // of its draw weight, in the pool
	availableWeight float64 // its draw weight, as it was added to drawPools.availableWeight
	previousWeight  float64 // its subsetWeight, before the subset was worked out again
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{byCell: map[int][]*endpoint{}, perZone: map[int]int{}, weightCounts: map[float64]int{}}
}

func compareIDs(a, b *endpoint) int { return cmp.Compare(a.id, b.id) }

// insertSorted puts an endpoint into a list in the order of ids, if it is not there.
func insertSorted(list []*endpoint, ep *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, ep, compareIDs)
	if found {
		return list
	}
	return slices.Insert(list, i, ep)
}

// removeSorted takes an endpoint out of a list in the order of ids, if it is there.
func removeSorted(list []*endpoint, ep *endpoint) []*endpoint {
	if i, found := slices.BinarySearchFunc(list, ep, compareIDs); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// len is how many endpoints there are.
func (i *endpointIndex) len() int { return i.ordered.Len() }

// everyone is all of them, in the order of their ids. The list is good until the next call.
func (i *endpointIndex) everyone() []*endpoint {
	i.all = i.ordered.Append(i.all[:0])
	return i.all
}

// countWeight notes an endpoint's listed weight.
func (i *endpointIndex) countWeight(ep *endpoint) {
	if ep.index.listed && (!ep.listed || ep.index.weight != ep.listedWeight) {
		if i.weightCounts[ep.index.weight]--; i.weightCounts[ep.index.weight] == 0 {
			delete(i.weightCounts, ep.index.weight)
		}
		ep.index.listed = false
	}
	if ep.listed && !ep.index.listed {
		i.weightCounts[ep.listedWeight]++
		ep.index.weight, ep.index.listed = ep.listedWeight, true
	}
}

// weightsDiffer reports whether the listed weights are all above 0 and tell endpoints apart.
func (i *endpointIndex) weightsDiffer() bool {
	return len(i.weightCounts) > 1 && i.weightCounts[0] == 0
}

// put takes an endpoint in with a weight, or notes its move to another cell, zone or weight.
func (i *endpointIndex) put(ep *endpoint, weight float64) {
	if ep.index.indexed && ep.index.cell != ep.cell {
		i.leaveCell(ep)
	}
	if !ep.index.indexed || ep.index.cell != ep.cell {
		i.byCell[ep.cell] = insertSorted(i.byCell[ep.cell], ep)
	}
	if ep.index.indexed {
		i.leaveZone(ep)
	}
	i.perZone[ep.zone]++
	i.ordered.Put(uint32(ep.id), weight, ep)
	ep.index.cell, ep.index.zone, ep.index.indexed = ep.cell, ep.zone, true
}

// remove takes an endpoint out, if it is there.
func (i *endpointIndex) remove(ep *endpoint) {
	if !ep.index.indexed {
		return
	}
	i.leaveCell(ep)
	i.leaveZone(ep)
	i.ordered.Remove(uint32(ep.id))
	ep.index.indexed = false
}

func (i *endpointIndex) leaveCell(ep *endpoint) {
	left := removeSorted(i.byCell[ep.index.cell], ep)
	i.byCell[ep.index.cell] = left
	if len(left) == 0 {
		delete(i.byCell, ep.index.cell)
	}
}

func (i *endpointIndex) leaveZone(ep *endpoint) {
	if i.perZone[ep.index.zone]--; i.perZone[ep.index.zone] == 0 {
		delete(i.perZone, ep.index.zone)
	}
}

// reindex puts an endpoint into the index and the subset or takes it out, as it is listed and available.
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

// refreshPools brings an endpoint's place in the pools and queues up to date.
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

// refreshKind refreshes a kind's endpoints.
func (b *Balancer) refreshKind(now time.Duration, kind int) {
	b.weights.settleKind(kind)
	for ep := range b.index.ordered.All() {
		if ep.kind == kind {
			b.refreshPools(now, ep)
		}
	}
}

// refreshAll refreshes every endpoint, with sums that begin anew.
func (b *Balancer) refreshAll(now time.Duration) {
	b.weights.settleAll()
	b.pools.availableWeight, b.pools.boundSlack = 0, 1
	for ep := range b.index.ordered.All() {
		ep.index.availableWeight = 0
		b.refreshPools(now, ep)
	}
}

// updateWeights takes new weights of all endpoints into the index and the subset.
func (b *Balancer) updateWeights(now time.Duration) {
	b.index.ordered.Reweigh(b.weights.endpointWeight)
	if b.subset.all || b.subset.byHash {
		for _, ep := range b.endpointsIn(inSubset) {
			ep.subsetWeight = b.weights.endpointWeight(ep)
		}
	}
	b.subset.stale = true
	b.refreshAll(now)
}
