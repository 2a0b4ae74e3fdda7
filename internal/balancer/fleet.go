package balancer

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"quincegap/internal/structures/deadlinequeue"
	"quincegap/internal/structures/hashring"
	"quincegap/internal/structures/weightedring"
	"quincegap/internal/structures/weightedsample"
)

// This file keeps the listed endpoints where decisions find them without a walk over the list; it decides nothing.
// An endpoint is settled after each change of what its place hangs on: its mark, its part, its pace.

// The pools that endpoints are drawn from.
const (
	availablePool = iota // usable, with a part in the subset
	warmingUpPool        // ramping, with a part in the subset
	outsidePool          // usable, outside of the subset: for further attempts alone
	poolCount
)

// An endpoint's odds move with its kind's pace, all of a kind's at once and with every answer. So a pool holds a
// bound that they keep below; what is drawn is taken with probability odds / bound, which gives just the draw by
// the odds. An endpoint's bound is moved with its own changes. Its kind's only raise the slack, by which all bounds
// are multiplied when something is drawn, until they have gone so far that all of the kind are settled anew.
const (
	boundHeadroom      = 1.2  // times the odds: a new bound
	maxBoundRatio      = 2.0  // times the odds: one that wastes draws
	slowStartStep      = 1.25 // how far a ramp goes on between two looks at its endpoint's bound
	maxDrift           = 2.0  // times what it was: a kind whose endpoints are settled anew
	slackCheckInterval = 64   // answers between two looks at the slack over all kinds
	maxScanned         = 32   // endpoints that are looked at one by one before draws from the pools are cheaper
	maxPoolDraws       = 24   // draws from the pools that may be in vain before all are looked at
)

// endpointIndex is the standing order of the endpoints that a request may go to.
type endpointIndex struct {
	ordered           weightedring.Ring[*endpoint] // those that do not leave, with the weights that the subsets go by
	subset            []*endpoint                  // those with a part in the subset, unless
	subsetIsAll       bool                         // it holds all there are
	subsetStale       bool                         // the subset is to be worked out again
	byCell            map[int][]*endpoint
	perZone           map[int]int // how many are in each
	pools             [poolCount]weightedsample.Pool[*endpoint]
	availableWeight   float64                        // of the odds in availablePool, as they were settled
	slowStarts        deadlinequeue.Queue[*endpoint] // ramping ones, by when their bound is to be looked at
	trials            deadlinequeue.Queue[*endpoint] // isolated ones without a call, by when a trial is due
	weightCounts      map[float64]int                // listed weights, and how many have each
	boundSlack        float64                        // at least 1
	slackChecks       int                            // at the slack, by answers
	allBuffer         []*endpoint                    // room for a list of all
	backoffs          deadlinequeue.Queue[*request]  // to be held when their pause is over
	unreachedReported bool                           // instances together do not reach all
	subsetByHash      bool                           // the subset is by ids,
	hashShare         hashring.Share                 // those that this has
	scanLimit         int                            // endpoints that are looked at one by one
	quotaDivisor      float64                        // instances that what all together may do is divided by
	hashGroup         *hashring.Group                // what the subsets by ids go by; nil for ordinals
	exhausted         [2]bool                        // a look at the subset, and one at all, was in vain
	lastFreed         *endpoint                      // that the latest answer since came from
	added             []*endpoint                    // those that the list which is taken in names first
	previousSubset    []*endpoint                    // those that had a part before the subset was worked out again
}

// indexEntry is where the fleet has an endpoint.
type indexEntry struct {
	indexed bool // in the ring
	cell    int
	zone    int
	weight  float64 // counted among the listed ones,
	listed  bool    // if it is

	pool, slot      int
	pooled          bool
	bound           float64 // of its odds in the pool
	availableWeight float64 // its odds in availableWeight
	previousWeight  float64 // it had, while the subset is worked out
}

func newEndpointIndex() endpointIndex {
	before := func(a, b *endpoint) bool { return a.id < b.id }
	f := endpointIndex{boundSlack: 1, scanLimit: maxScanned, byCell: map[int][]*endpoint{}, perZone: map[int]int{}, weightCounts: map[float64]int{}}
	f.slowStarts.Less, f.trials.Less = before, before
	f.backoffs.Less = func(x, y *request) bool { return x.id < y.id }
	return f
}

func compareIDs(x, y *endpoint) int { return cmp.Compare(x.id, y.id) }

// insertSorted puts an endpoint into a list in the order of ids, without takes it out.
func insertSorted(list []*endpoint, e *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, e, compareIDs)
	if found {
		return list
	}
	return slices.Insert(list, i, e)
}

func removeSorted(list []*endpoint, e *endpoint) []*endpoint {
	if i, found := slices.BinarySearchFunc(list, e, compareIDs); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// countWeight notes an endpoint's listed weight.
func (f *endpointIndex) countWeight(e *endpoint) {
	if e.index.listed && (!e.listed || e.index.weight != e.listedWeight) {
		if f.weightCounts[e.index.weight]--; f.weightCounts[e.index.weight] == 0 {
			delete(f.weightCounts, e.index.weight)
		}
		e.index.listed = false
	}
	if e.listed && !e.index.listed {
		f.weightCounts[e.listedWeight]++
		e.index.weight, e.index.listed = e.listedWeight, true
	}
}

// weightsDiffer tells whether the listed weights are all above 0 and tell endpoints apart.
func (f *endpointIndex) weightsDiffer() bool {
	return len(f.weightCounts) > 1 && f.weightCounts[0] == 0
}

// reindex puts an endpoint into the ring and its cell, or takes it out, as it stands.
func (b *Balancer) reindex(now time.Duration, e *endpoint) {
	in := e.listed && e.availability != draining
	if !in && !e.index.indexed {
		return
	}
	if e.index.indexed && (!in || e.index.cell != e.cell) {
		if b.byCell[e.index.cell] = removeSorted(b.byCell[e.index.cell], e); len(b.byCell[e.index.cell]) == 0 {
			delete(b.byCell, e.index.cell)
		}
	}
	if in && (!e.index.indexed || e.index.cell != e.cell) {
		b.byCell[e.cell] = insertSorted(b.byCell[e.cell], e)
	}
	if e.index.indexed {
		if b.perZone[e.index.zone]--; b.perZone[e.index.zone] == 0 {
			delete(b.perZone, e.index.zone)
		}
	}
	if in {
		b.perZone[e.zone]++
	}
	e.index.cell, e.index.zone = e.cell, e.zone
	if in {
		b.ordered.Put(uint32(e.id), b.endpointWeight(e), e)
	} else if e.index.indexed {
		b.ordered.Remove(uint32(e.id))
	}
	switch {
	case !in:
		e.subsetWeight = 0
		if b.subsetByHash {
			b.subset = removeSorted(b.subset, e)
		}
	case b.subsetIsAll:
		e.subsetWeight = b.endpointWeight(e)
	case b.subsetByHash && b.hashShare.Owns(uint32(e.id)):
		e.subsetWeight = b.endpointWeight(e)
		b.subset = insertSorted(b.subset, e)
	}
	e.index.indexed, b.subsetStale = in, true
	b.refreshPools(now, e)
}

// refreshPools brings an endpoint's place in the pools and queues up to date.
func (b *Balancer) refreshPools(now time.Duration, e *endpoint) {
	pool, in := outsidePool, e.index.indexed && (e.availability == available || e.availability == warmingUp && e.subsetWeight > 0)
	switch {
	case e.availability == warmingUp:
		pool = warmingUpPool
	case e.subsetWeight > 0:
		pool = availablePool
	}
	if e.index.pooled && (!in || e.index.pool != pool) {
		b.pools[e.index.pool].Remove(e.index.slot)
		b.availableWeight -= e.index.availableWeight
		e.index.pooled, e.index.availableWeight = false, 0
	}
	if in {
		b.refreshBound(now, e, pool)
	}
	switch {
	case e.index.indexed && e.availability == warmingUp:
		if _, ok := b.slowStarts.Deadline(e); !ok {
			b.slowStarts.Put(e, b.nextBoundCheck(now, e))
		}
	default:
		b.slowStarts.Remove(e)
	}
	if e.index.indexed && e.availability == ejected && e.subsetWeight > 0 && len(e.calls) == 0 {
		b.trials.Put(e, e.trialAt)
	} else {
		b.trials.Remove(e)
	}
}

// refreshBound puts an endpoint into a pool, or moves its bound there, if that is due.
func (b *Balancer) refreshBound(now time.Duration, e *endpoint, pool int) {
	o := b.drawWeight(e)
	if pool == availablePool {
		b.availableWeight += o - e.index.availableWeight
		e.index.availableWeight = o
	}
	if pool == warmingUpPool {
		o *= b.capacityShare(b.nextBoundCheck(now, e), e) // the bound is not looked at before
	}
	o *= b.kindDrift(e.kind) // it may go back by as much
	switch {
	case !e.index.pooled:
		e.index.bound = o * boundHeadroom
		e.index.pool, e.index.slot, e.index.pooled = pool, b.pools[pool].Add(e, e.index.bound), true
	case o > e.index.bound || o*maxBoundRatio < e.index.bound:
		e.index.bound = o * boundHeadroom
		b.pools[pool].Set(e.index.slot, e.index.bound)
	}
}

// nextBoundCheck is when the share of a ramping endpoint will have grown by slowStartStep, or when its ramp is over.
func (b *Balancer) nextBoundCheck(now time.Duration, e *endpoint) time.Duration {
	over := e.slowStartFrom + b.settings.SlowStartWindow
	if b.settings.SlowStartMinShare >= 1 {
		return over
	}
	grown := (b.capacityShare(now, e)*slowStartStep - b.settings.SlowStartMinShare) / (1 - b.settings.SlowStartMinShare)
	// One that starts with no share at all would be looked at again and again.
	return min(over, max(e.slowStartFrom+seconds(grown*b.settings.SlowStartWindow.Seconds()), now+b.tickInterval))
}

// excluded is an endpoint that is named; nil for none. Ids begin where the host likes, so no number stands for none.
func (b *Balancer) excluded(id *EndpointID) *endpoint {
	if id == nil {
		return nil
	}
	return b.endpointsByID[*id]
}

// enqueueAfter holds a request from the end of a pause on. It is looked for each tick, so the pause may be that much longer. An
// instance that ends has no time for pauses.
func (b *Balancer) enqueueAfter(now time.Duration, r *request, pause time.Duration) {
	if pause <= 0 || b.shutdownAt < math.MaxInt64 {
		b.enqueue(r)
		return
	}
	b.backoffs.Put(r, now+pause)
}

// enqueueDue holds those whose pause is over. One that has lapsed meanwhile is known no more.
func (b *Balancer) enqueueDue(now time.Duration) {
	for {
		r, at, ok := b.backoffs.Peek()
		if !ok || at > now && b.shutdownAt == math.MaxInt64 {
			return
		}
		switch b.backoffs.Remove(r); {
		case b.requests[r.id] != r || r.done:
		case now+b.tickInterval >= r.deadline:
			b.finish(now, r)
		default:
			b.enqueue(r)
		}
	}
}

// advanceSlowStarts brings the bounds of ramping endpoints up to date, and ends ramps that are over.
func (b *Balancer) advanceSlowStarts(now time.Duration) {
	b.enqueueDue(now)
	for {
		e, at, ok := b.slowStarts.Peek()
		if !ok || at > now {
			return
		}
		b.slowStarts.Remove(e)
		if b.capacityShare(now, e) >= 1 {
			e.availability = available
		}
		b.refreshPools(now, e)
	}
}

// kindDrift is how far what the odds of a kind's endpoints share may have moved them since they were settled.
func (b *Balancer) kindDrift(kind int) float64 {
	far := b.kindServiceTimes.inverseSum.drift()
	if kind < len(b.kindLatencies) && b.kindLatencies[kind].samples >= kindTrustSamples {
		far *= b.kindLatencies[kind].drift()
	}
	if kind < len(b.kindServiceTimes.kinds) {
		far *= b.kindServiceTimes.kinds[kind].drift()
	}
	return far
}

// noteDrift takes a kind's move into the slack, and settles its endpoints when it has gone too far. A report moves what the
// odds of all kinds share, so that the slack is looked at for all.
func (b *Balancer) noteDrift(now time.Duration, kind int, reported bool) {
	far := b.kindDrift(kind)
	// Before kindTrustSamples answers a kind's pace counts for nothing, and all its endpoints' odds leap when it does. A
	// kind that reports its first service time moves those of all kinds.
	trusted := kind < len(b.kindLatencies) && b.kindLatencies[kind].samples >= kindTrustSamples && b.kindLatencies[kind].settledMean == 0
	switch all := b.kindServiceTimes.reporting != b.kindServiceTimes.settledReporting || b.kindServiceTimes.inverseSum.drift() > math.Sqrt(maxDrift); {
	case all:
		b.refreshAll(now)
	case trusted || far > maxDrift:
		b.refreshKind(now, kind)
	default:
		b.boundSlack = max(b.boundSlack, far)
	}
	if b.slackChecks++; b.slackChecks >= slackCheckInterval {
		b.slackChecks, b.boundSlack, reported = 0, 1, true
	}
	if reported {
		for k := range max(len(b.kindLatencies), len(b.kindServiceTimes.kinds)) {
			b.boundSlack = max(b.boundSlack, b.kindDrift(k))
		}
	}
}

// refreshKind settles a kind's endpoints.
func (b *Balancer) refreshKind(now time.Duration, kind int) {
	if kind < len(b.kindLatencies) && b.kindLatencies[kind].samples >= kindTrustSamples {
		b.kindLatencies[kind].settledMean = b.kindLatencies[kind].mean
	}
	if kind < len(b.kindServiceTimes.kinds) {
		b.kindServiceTimes.kinds[kind].settledMean = b.kindServiceTimes.kinds[kind].mean
	}
	for e := range b.ordered.All() {
		if e.kind == kind {
			b.refreshPools(now, e)
		}
	}
}

// refreshAll settles every endpoint, with sums that begin anew.
func (b *Balancer) refreshAll(now time.Duration) {
	for i := range b.kindLatencies {
		if k := &b.kindLatencies[i]; k.samples >= kindTrustSamples {
			k.settledMean = k.mean
		}
	}
	for i := range b.kindServiceTimes.kinds {
		b.kindServiceTimes.kinds[i].settledMean = b.kindServiceTimes.kinds[i].mean
	}
	b.kindServiceTimes.inverseSum.settledMean, b.kindServiceTimes.settledReporting = b.kindServiceTimes.inverseSum.mean, b.kindServiceTimes.reporting
	b.availableWeight, b.boundSlack = 0, 1
	for e := range b.ordered.All() {
		e.index.availableWeight = 0
		b.refreshPools(now, e)
	}
}

// availableSubsetWeight is the sum of the odds of the subset's warm endpoints.
func (b *Balancer) availableSubsetWeight() float64 {
	if b.usesPools(false) {
		return b.availableWeight
	}
	sum := 0.0
	for _, e := range b.endpointsInScope(false) {
		if e.availability == available {
			sum += b.drawWeight(e)
		}
	}
	return sum
}

// drawOne draws one endpoint from the pools, by the bounds of the odds, and takes it with the probability that
// makes that a draw by the odds.
func (b *Balancer) drawOne(now time.Duration, pools []weightedsample.Pool[*endpoint]) (*endpoint, bool) {
	total := 0.0
	for i := range pools {
		total += pools[i].Total()
	}
	x := b.rng.Float64() * total
	for i := range pools {
		if own := pools[i].Total(); x < own {
			e, ok := pools[i].Draw(x / own)
			return e, ok && b.rng.Float64()*e.index.bound*b.boundSlack < b.capacityShare(now, e)*b.drawWeight(e)
		} else {
			x -= own
		}
	}
	return nil, false
}

// syncList brings the list in line with the endpoints that news of it named, and forgets those that are gone; those
// with calls out are held on to by their calls.
func (b *Balancer) syncList(now time.Duration, l EndpointList) {
	forget := func(e *endpoint) {
		b.endpointIndex.countWeight(e)
		b.startDraining(now, e)
		delete(b.endpointsByID, e.id)
	}
	if l.Kind == ListDelta && len(l.Entries) <= maxScanned {
		for _, x := range l.Entries {
			e := b.endpointsByID[x.Endpoint]
			switch {
			case e == nil: // named twice, and gone
			case e.listed:
				b.listedEndpoints = insertSorted(b.listedEndpoints, e)
			default:
				b.listedEndpoints = removeSorted(b.listedEndpoints, e)
				forget(e)
			}
		}
	} else {
		b.listedEndpoints = append(b.listedEndpoints, b.added...)
		b.listedEndpoints = slices.DeleteFunc(b.listedEndpoints, func(e *endpoint) bool {
			if !e.listed {
				forget(e)
			}
			return !e.listed
		})
		if len(b.added) > 0 {
			slices.SortFunc(b.listedEndpoints, compareIDs)
		}
	}
	clear(b.added)
	b.added = b.added[:0]
	if apart := b.weightsDiffer(); apart != b.useListedWeights {
		b.useListedWeights = apart
		b.updateWeights(now)
	}
}

// updateWeights takes new weights of all endpoints into the ring.
func (b *Balancer) updateWeights(now time.Duration) {
	b.ordered.Reweigh(b.endpointWeight)
	if b.subsetIsAll || b.subsetByHash {
		for _, e := range b.endpointsInScope(false) {
			e.subsetWeight = b.endpointWeight(e)
		}
	}
	b.subsetStale = true
	b.refreshAll(now)
}

// useAllEndpoints gives this instance all there are, each with its whole weight.
func (b *Balancer) useAllEndpoints(now time.Duration) {
	b.reportUnreached()
	if b.subsetStale = false; b.subsetIsAll {
		return
	}
	b.subsetIsAll, b.subsetByHash, b.subset = true, false, nil
	for e := range b.ordered.All() {
		e.subsetWeight = b.endpointWeight(e)
		b.refreshPools(now, e)
	}
}

// clearSubset takes this instance's endpoints from it; assign gives it a part of the weight of one; assigned ends that,
// and settles those whose part has changed.
func (b *Balancer) clearSubset() {
	b.previousSubset = append(b.previousSubset[:0], b.endpointsInScope(false)...)
	for _, e := range b.previousSubset {
		e.index.previousWeight, e.subsetWeight = e.subsetWeight, 0
	}
	b.subsetIsAll, b.subsetByHash, b.subset = false, false, b.subset[:0]
}

// useHashSubset gives this instance those on its arcs, each with its whole weight.
func (b *Balancer) useHashSubset(now time.Duration, wide float64) {
	b.reportUnreached()
	if b.subsetStale = false; b.subsetByHash && b.hashShare == b.hashShareFor(wide) {
		return
	}
	b.clearSubset()
	b.subsetByHash, b.hashShare = true, b.hashShareFor(wide)
	for e := range b.ordered.All() {
		if b.hashShare.Owns(uint32(e.id)) {
			b.addToSubset(e, b.endpointWeight(e))
		}
	}
	b.finishSubset(now)
}

// hashShareFor is this instance's share at a width. Where a bound makes it smaller than its tier's, the owners that an endpoint
// has go by the length of the list, which moves all arcs; so they are rounded down to powers of the fourth root of 2,
// and stay as they are through most changes.
func (b *Balancer) hashShareFor(wide float64) hashring.Share {
	copies := float64(callersPerEndpoint)
	if c := b.subsetSize * float64(b.settings.Instances) / float64(b.ordered.Len()); c < copies-1e-9 {
		copies = min(copies, math.Exp2(math.Floor(4*math.Log2(c)+1e-9)/4))
	}
	return hashring.Share{Owner: b.settings.Ordinal, Owners: b.settings.Instances, Replicas: copies, Widening: wide, Group: b.hashGroup}
}

// UpdateGroup takes which instances there are by now, in place of Settings.Instances and Ordinal. Endpoints that the subset
// loses are used no more but by calls that are out; what was learnt of them stays. It returns an error, and changes
// nothing, where the group is none. Give it a group that holds for some time: each moves subsets.
func (b *Balancer) UpdateGroup(now time.Duration, g InstanceGroup) error {
	if err := g.check(); err != nil {
		return err
	}
	b.settings.Instances, b.settings.Ordinal = g.Instances, g.Ordinal
	was := b.quotaDivisor
	b.quotaDivisor = float64(max(g.MaxInstances, g.Instances))
	b.hashGroup = nil
	if len(g.Members) > 0 {
		b.hashGroup = hashring.NewGroup(g.Self, g.Members)
	}
	if b.tenantQuotas != nil && b.quotaDivisor != was {
		for i := range b.tenantQuotas {
			b.tenantQuotas[i].setRate(now, b.settings.Tenants[i].QuotaPerSecond/b.quotaDivisor, tenantBurstSeconds)
		}
		b.totalQuota.setRate(now, b.totalQuota.rate*was/b.quotaDivisor, totalBurstSeconds)
	}
	b.subsetStale = true
	b.dispatch(now)
	b.armTick()
	return nil
}

// reportUnreached tells people when a bound on subsets leaves endpoints without any instance, and when it no longer does.
func (b *Balancer) reportUnreached() {
	n, all := b.ordered.Len(), int(b.subsetSize*float64(b.settings.Instances)+0.5)
	short := b.settings.MaxSubsetSize > 0 && all < n
	if short == b.unreachedReported {
		return
	}
	if b.unreachedReported = short; short {
		b.host.Log(fmt.Sprintf("subsets: %d instances of %d endpoints each reach at most %d of %d; the others get no calls",
			b.settings.Instances, b.settings.MaxSubsetSize, all, n))
	} else {
		b.host.Log(fmt.Sprintf("subsets: the instances reach all %d endpoints", n))
	}
}

// usableInShare is how many endpoints are usable on arcs of a width.
func (b *Balancer) usableInShare(wide float64) float64 {
	if b.subsetByHash && b.hashShare == b.hashShareFor(wide) {
		return float64(b.pools[availablePool].Len() + b.pools[warmingUpPool].Len())
	}
	n, share := 0.0, b.hashShareFor(wide)
	for e := range b.ordered.All() {
		if e.availability <= warmingUp && share.Owns(uint32(e.id)) {
			n++
		}
	}
	return n
}

func (b *Balancer) addToSubset(e *endpoint, part float64) {
	if e.subsetWeight == 0 {
		b.subset = append(b.subset, e)
	}
	e.subsetWeight += part
}

func (b *Balancer) finishSubset(now time.Duration) {
	b.subsetStale = false
	b.reportUnreached()
	for _, e := range b.previousSubset {
		if e.subsetWeight == 0 {
			e.index.previousWeight = 0
			b.refreshPools(now, e)
		}
	}
	for _, e := range b.subset {
		if e.subsetWeight != e.index.previousWeight {
			b.refreshPools(now, e)
		}
		e.index.previousWeight = 0
	}
	if len(b.subset) <= b.scanLimit || b.subsetByHash {
		slices.SortFunc(b.subset, compareIDs)
	}
}

// Subset gives the endpoints that this instance keeps to, each with the part of it that is this instance's, from 0 to
// 1. It is for people and measurements; isolated ones are among them.
func (b *Balancer) Subset() iter.Seq2[EndpointID, float64] {
	return func(yield func(EndpointID, float64) bool) {
		for _, e := range b.endpointsInScope(false) {
			if e.subsetWeight > 0 && !yield(e.id, e.subsetWeight/b.endpointWeight(e)) {
				return
			}
		}
	}
}

// Ejected tells whether this instance sends an endpoint trial calls alone. It is for people and measurements.
func (b *Balancer) Ejected(id EndpointID) bool {
	e := b.endpointsByID[id]
	return e != nil && e.availability == ejected
}

// boundToCell tells whether a request may only go to those of a cell.
func (b *Balancer) boundToCell(r *request) bool {
	return r.mayHaveRun && r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeCell
}

// hasRetryEndpoint tells whether there is any endpoint that a call that is out could go to again, if it may have run.
func (b *Balancer) hasRetryEndpoint(r *request) bool {
	zone, cell := r.endpoint.zone, r.endpoint.cell
	if r.mayHaveRun {
		zone, cell = r.ranInZone, r.ranInCell
	}
	switch {
	case r.class.Idempotency != IdempotentWithKey || r.class.KeyScope == KeyScopeAll:
		return b.ordered.Len() > 0
	case r.class.KeyScope == KeyScopeZone:
		return b.perZone[zone] > 0
	}
	return len(b.byCell[cell]) > 0
}

// noteExhausted notes that a look at all endpoints found none for a request that may go to any. Until the next tick the
// like of it goes only where an answer has come from since: in a fleet that is full, or cold, each request that is
// held would look at all of them again with every event.
func (b *Balancer) noteExhausted(now time.Duration, r *request, wide bool, found *endpoint) {
	if found == nil && b.usesPools(wide) && unrestricted(r) && (r.failedEndpoint == nil || !b.hasCapacity(now, r.failedEndpoint)) {
		b.exhausted[scopeIndex(wide)], b.lastFreed = true, nil
	}
}

// isExhausted tells whether such a look has been in vain since the last tick.
func (b *Balancer) isExhausted(r *request, wide bool) bool {
	return b.exhausted[scopeIndex(wide)] && unrestricted(r)
}

// unrestricted tells whether a request may go to any endpoint, as far as the rules go.
func unrestricted(r *request) bool { return !r.mayHaveRun || r.class.Idempotency == Idempotent }

func scopeIndex(wide bool) int {
	if wide {
		return 1
	}
	return 0
}

// usesPools tells whether the endpoints of the subset, or all, are too many to be looked at one by one.
func (b *Balancer) usesPools(wide bool) bool {
	if wide || b.subsetIsAll {
		return b.ordered.Len() > b.scanLimit
	}
	return len(b.subset) > b.scanLimit
}

// endpointsInScope gives the endpoints of the subset, or all. The list is good until it is asked for again.
func (b *Balancer) endpointsInScope(wide bool) []*endpoint {
	if !wide && !b.subsetIsAll {
		return b.subset
	}
	b.allBuffer = b.ordered.Append(b.allBuffer[:0])
	return b.allBuffer
}
