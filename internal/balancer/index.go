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

	weight float64 // in weightCounts,
	listed bool    // if it is counted there

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
func insertSorted(list []*endpoint, e *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, e, compareIDs)
	if found {
		return list
	}
	return slices.Insert(list, i, e)
}

// removeSorted takes an endpoint out of a list in the order of ids, if it is there.
func removeSorted(list []*endpoint, e *endpoint) []*endpoint {
	if i, found := slices.BinarySearchFunc(list, e, compareIDs); found {
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
func (i *endpointIndex) countWeight(e *endpoint) {
	if e.index.listed && (!e.listed || e.index.weight != e.listedWeight) {
		if i.weightCounts[e.index.weight]--; i.weightCounts[e.index.weight] == 0 {
			delete(i.weightCounts, e.index.weight)
		}
		e.index.listed = false
	}
	if e.listed && !e.index.listed {
		i.weightCounts[e.listedWeight]++
		e.index.weight, e.index.listed = e.listedWeight, true
	}
}

// weightsDiffer reports whether the listed weights are all above 0 and tell endpoints apart.
func (i *endpointIndex) weightsDiffer() bool {
	return len(i.weightCounts) > 1 && i.weightCounts[0] == 0
}

// put takes an endpoint in with a weight, or notes its move to another cell, zone or weight.
func (i *endpointIndex) put(e *endpoint, weight float64) {
	if e.index.indexed && e.index.cell != e.cell {
		i.leaveCell(e)
	}
	if !e.index.indexed || e.index.cell != e.cell {
		i.byCell[e.cell] = insertSorted(i.byCell[e.cell], e)
	}
	if e.index.indexed {
		i.leaveZone(e)
	}
	i.perZone[e.zone]++
	i.ordered.Put(uint32(e.id), weight, e)
	e.index.cell, e.index.zone, e.index.indexed = e.cell, e.zone, true
}

// remove takes an endpoint out, if it is there.
func (i *endpointIndex) remove(e *endpoint) {
	if !e.index.indexed {
		return
	}
	i.leaveCell(e)
	i.leaveZone(e)
	i.ordered.Remove(uint32(e.id))
	e.index.indexed = false
}

func (i *endpointIndex) leaveCell(e *endpoint) {
	left := removeSorted(i.byCell[e.index.cell], e)
	i.byCell[e.index.cell] = left
	if len(left) == 0 {
		delete(i.byCell, e.index.cell)
	}
}

func (i *endpointIndex) leaveZone(e *endpoint) {
	if i.perZone[e.index.zone]--; i.perZone[e.index.zone] == 0 {
		delete(i.perZone, e.index.zone)
	}
}

// reindex puts an endpoint into the index and the subset or takes it out, as it is listed and available.
func (b *Balancer) reindex(now time.Duration, e *endpoint) {
	if e.listed && e.availability != draining {
		weight := b.weights.endpointWeight(e)
		b.index.put(e, weight)
		b.subset.admit(e, weight)
	} else {
		if !e.index.indexed {
			return
		}
		b.index.remove(e)
		b.subset.drop(e)
	}
	b.subset.stale = true
	b.refreshPools(now, e)
}

// refreshPools brings an endpoint's place in the pools and queues up to date.
func (b *Balancer) refreshPools(now time.Duration, e *endpoint) {
	pool := poolOf(e)
	pooled := e.index.indexed && pool != noPool
	if e.index.pooled && (!pooled || e.index.pool != pool) {
		b.pools.remove(e)
	}
	if pooled {
		b.refreshBound(now, e, pool)
	}
	if !e.index.indexed || e.availability != warmingUp {
		b.slowStarts.Remove(e)
	} else if _, ok := b.slowStarts.Deadline(e); !ok {
		b.slowStarts.Put(e, b.nextBoundCheck(now, e))
	}
	if e.index.indexed && e.availability == ejected && e.subsetWeight > 0 && len(e.calls) == 0 {
		b.trials.Put(e, e.trialAt)
	} else {
		b.trials.Remove(e)
	}
}

// refreshKind refreshes a kind's endpoints.
func (b *Balancer) refreshKind(now time.Duration, kind int) {
	b.weights.settleKind(kind)
	for e := range b.index.ordered.All() {
		if e.kind == kind {
			b.refreshPools(now, e)
		}
	}
}

// refreshAll refreshes every endpoint, with sums that begin anew.
func (b *Balancer) refreshAll(now time.Duration) {
	b.weights.settleAll()
	b.pools.availableWeight, b.pools.boundSlack = 0, 1
	for e := range b.index.ordered.All() {
		e.index.availableWeight = 0
		b.refreshPools(now, e)
	}
}

// updateWeights takes new weights of all endpoints into the index and the subset.
func (b *Balancer) updateWeights(now time.Duration) {
	b.index.ordered.Reweigh(b.weights.endpointWeight)
	if b.subset.all || b.subset.byHash {
		for _, e := range b.endpointsIn(inSubset) {
			e.subsetWeight = b.weights.endpointWeight(e)
		}
	}
	b.subset.stale = true
	b.refreshAll(now)
}
