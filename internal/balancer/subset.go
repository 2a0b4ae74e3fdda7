package balancer

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"quincegap/internal/structures/hashring"
)

// This file decides which endpoints this instance calls. Many instances that each call every endpoint fill its connection table
// with idle connections, and know nothing of any.

const (
	callersPerEndpoint = 3   // instances that call one endpoint; of more each keeps to a subset, of which it learns something
	minSubsetSize      = 2.0 // endpoints' worth of weight in a subset: with one there is nothing to compare

	// hashSubsetFrom is the size from which a subset is by the endpoints' ids alone, so that one that comes or goes moves no
	// other's place; it stays so down to hashSubsetDownTo. Smaller ones would differ too much by chance.
	hashSubsetFrom      = 64.0
	hashSubsetDownTo    = 48.0
	hashSubsetMinUsable = 0.5 // part of such a subset that has to be usable: else it grows to twice the size

	weightTolerance = 1e-9 // of the total weight, that rounding may leave over
)

// scope is the endpoints that may be picked.
type scope uint8

const (
	inSubset   scope = iota // those of the subset
	everywhere              // all of them: for retries
	scopeCount
)

// subset is the endpoints that this instance calls.
type subset struct {
	all     bool        // it holds all endpoints there are; members is not used then
	members []*endpoint // those in it
	stale   bool        // it is to be worked out again
	size    float64     // in endpoints' worth of weight

	byHash bool            // it goes by the endpoints' ids alone
	share  hashring.Share  // by hash: the share of all ids whose endpoints are in it
	group  *hashring.Group // by hash: the instances that divide the ids; nil to go by their ordinals

	previous          []*endpoint // buffer: the members before it was worked out again
	unreachedReported bool        // it was reported that instances together do not reach all endpoints
}

// admit takes in an endpoint that has come, where that is clear without working out the subset again.
func (s *subset) admit(ep *endpoint, weight float64) {
	switch {
	case s.all:
		ep.subsetWeight = weight
	case s.byHash && s.share.Owns(uint32(ep.id)):
		ep.subsetWeight = weight
		s.members = insertSorted(s.members, ep)
	}
}

// drop takes out an endpoint that has gone.
func (s *subset) drop(ep *endpoint) {
	ep.subsetWeight = 0
	if s.byHash {
		s.members = removeSorted(s.members, ep)
	}
}

// add gives the subset a part of the weight of an endpoint.
func (s *subset) add(ep *endpoint, weight float64) {
	if ep.subsetWeight == 0 {
		s.members = append(s.members, ep)
	}
	ep.subsetWeight += weight
}

// endpointsIn gives the endpoints of a scope. The list is good until it is asked for again.
func (b *Balancer) endpointsIn(within scope) []*endpoint {
	if within == inSubset && !b.subset.all {
		return b.subset.members
	}
	return b.index.everyone()
}

// usesPools reports whether the endpoints of a scope are too many to be scanned one by one.
func (b *Balancer) usesPools(within scope) bool {
	if within == everywhere || b.subset.all {
		return b.index.len() > b.scanLimit
	}
	return len(b.subset.members) > b.scanLimit
}

// updateSubset works out which endpoints are in this instance's subset, and with what part of their weight.
func (b *Balancer) updateSubset(now time.Duration) {
	s := &b.subset
	listed := float64(b.index.len())
	fair := max(callersPerEndpoint*listed/float64(b.settings.Instances), minSubsetSize)
	s.size = min(fair, cmp.Or(float64(b.settings.MaxSubsetSize), listed), listed)
	switch {
	case s.size >= listed:
		b.useAllEndpoints(now)
	case s.size > hashSubsetFrom || s.byHash && s.size > hashSubsetDownTo:
		b.useHashSubset(now, b.hashSubsetWidening())
	default:
		b.useTiledSubset(now)
	}
}

// useAllEndpoints gives this instance all there are, each with its whole weight.
func (b *Balancer) useAllEndpoints(now time.Duration) {
	b.reportUnreached()
	b.subset.stale = false
	if b.subset.all {
		return
	}
	b.subset.all, b.subset.byHash, b.subset.members = true, false, nil
	for ep := range b.index.ordered.All() {
		ep.subsetWeight = b.weights.endpointWeight(ep)
		b.refreshPools(now, ep)
	}
}

// useTiledSubset gives this instance a tile of a ring of the listed weights, by its ordinal, so that all instances together reach
// each endpoint in proportion to its weight; an instance that has ejected some goes on along the ring. Endpoints that drain are
// no part of it: when many left at once, their shares fell to the few that came after them.
func (b *Balancer) useTiledSubset(now time.Duration) {
	total, listed := b.index.ordered.Total(), float64(b.index.len())
	tolerance := total * weightTolerance
	missing := total * b.subset.size / listed
	_, begin := math.Modf(float64(b.settings.Ordinal) * b.subset.size / listed)
	b.clearSubset()
	cursor, offset := b.index.ordered.Seek(begin*total, tolerance)
	for range 2 * b.index.len() { // twice round the ring, for endpoints of which one end was left out
		if missing <= tolerance {
			break
		}
		ep, weight, _ := cursor.Next()
		part := min(weight-max(offset, 0)-ep.subsetWeight, missing)
		offset = 0
		if part < tolerance {
			continue
		}
		b.subset.add(ep, part)
		if ep.availability <= warmingUp {
			missing -= part
		}
	}
	b.finishSubset(now)
}

// useHashSubset gives this instance those of its hash share, each with its whole weight.
func (b *Balancer) useHashSubset(now time.Duration, widening float64) {
	s, share := &b.subset, b.hashShareFor(widening)
	b.reportUnreached()
	s.stale = false
	if s.byHash && s.share == share {
		return
	}
	b.clearSubset()
	s.byHash, s.share = true, share
	for ep := range b.index.ordered.All() {
		if share.Owns(uint32(ep.id)) {
			s.add(ep, b.weights.endpointWeight(ep))
		}
	}
	b.finishSubset(now)
}

// hashSubsetWidening is how many times wider a hash share has to be for want of usable endpoints.
func (b *Balancer) hashSubsetWidening() float64 {
	s, widening := &b.subset, 1.0
	for widening*s.size < float64(b.index.len()) && b.usableInShare(widening) < hashSubsetMinUsable*s.size {
		widening *= 2
	}
	return widening
}

// hashShareFor is this instance's hash share at a width. Where a bound makes it smaller than its tier's, the owners that an
// endpoint has go by the length of the list, which moves all shares; so they are rounded down to powers of the fourth root of 2,
// and stay as they are through most changes.
func (b *Balancer) hashShareFor(widening float64) hashring.Share {
	const rounding = 1e-9
	replicas := float64(callersPerEndpoint)
	bounded := b.subset.size * float64(b.settings.Instances) / float64(b.index.len())
	if bounded < replicas-rounding {
		replicas = min(replicas, math.Exp2(math.Floor(4*math.Log2(bounded)+rounding)/4))
	}
	return hashring.Share{
		Owner: b.settings.Ordinal, Owners: b.settings.Instances, Replicas: replicas, Widening: widening, Group: b.subset.group,
	}
}

// usableInShare is how many endpoints of a hash share get requests like any other.
func (b *Balancer) usableInShare(widening float64) float64 {
	share := b.hashShareFor(widening)
	if b.subset.byHash && b.subset.share == share {
		return float64(b.pools.usable())
	}
	usable := 0.0
	for ep := range b.index.ordered.All() {
		if ep.availability <= warmingUp && share.Owns(uint32(ep.id)) {
			usable++
		}
	}
	return usable
}

// clearSubset takes this instance's endpoints from it; subset.add gives it parts of others, and finishSubset ends that.
func (b *Balancer) clearSubset() {
	s := &b.subset
	s.previous = append(s.previous[:0], b.endpointsIn(inSubset)...)
	for _, ep := range s.previous {
		ep.index.previousWeight, ep.subsetWeight = ep.subsetWeight, 0
	}
	s.all, s.byHash, s.members = false, false, s.members[:0]
}

// finishSubset refreshes the endpoints whose part in the subset has changed since clearSubset.
func (b *Balancer) finishSubset(now time.Duration) {
	subset := &b.subset
	subset.stale = false
	b.reportUnreached()
	for _, ep := range subset.previous {
		if ep.subsetWeight == 0 {
			ep.index.previousWeight = 0
			b.refreshPools(now, ep)
		}
	}
	for _, ep := range subset.members {
		if ep.subsetWeight != ep.index.previousWeight {
			b.refreshPools(now, ep)
		}
		ep.index.previousWeight = 0
	}
	if len(subset.members) <= b.scanLimit || subset.byHash {
		slices.SortFunc(subset.members, compareIDs)
	}
}

// reportUnreached reports when a bound on subsets leaves endpoints without any instance, and when it no longer does.
func (b *Balancer) reportUnreached() {
	listed, reached := b.index.len(), int(b.subset.size*float64(b.settings.Instances)+0.5)
	unreached := b.settings.MaxSubsetSize > 0 && reached < listed
	if unreached == b.subset.unreachedReported {
		return
	}
	b.subset.unreachedReported = unreached
	if !unreached {
		b.host.Log(fmt.Sprintf("subsets: the instances reach all %d endpoints", listed))
		return
	}
	b.host.Log(fmt.Sprintf("subsets: %d instances of %d endpoints each reach at most %d of %d; the others get no calls",
		b.settings.Instances, b.settings.MaxSubsetSize, reached, listed))
}

// Subset gives the endpoints that this instance calls, each with the part of its weight that is this instance's, from 0 to 1.
// It is for people and measurements; ejected ones are among them.
func (b *Balancer) Subset() iter.Seq2[EndpointID, float64] {
	return func(yield func(EndpointID, float64) bool) {
		for _, ep := range b.endpointsIn(inSubset) {
			if ep.subsetWeight > 0 && !yield(ep.id, ep.subsetWeight/b.weights.endpointWeight(ep)) {
				return
			}
		}
	}
}

// UpdateGroup takes which instances there are by now, in place of Settings.Instances and Ordinal. Endpoints that the subset
// loses are used no more but by attempts in flight; what was learnt of them stays. It returns an error, and changes nothing,
// where the group is none. Give it a group that holds for some time: each moves subsets.
func (b *Balancer) UpdateGroup(now time.Duration, g InstanceGroup) error {
	if err := g.check(); err != nil {
		return err
	}
	b.settings.Instances, b.settings.Ordinal = g.Instances, g.Ordinal
	former := b.quotaDivisor
	b.quotaDivisor = float64(max(g.MaxInstances, g.Instances))
	b.subset.group = nil
	if len(g.Members) > 0 {
		b.subset.group = hashring.NewGroup(g.Self, g.Members)
	}
	if b.quotaDivisor != former {
		b.quotas.divide(now, b.settings.Tenants, former, b.quotaDivisor)
	}
	b.subset.stale = true
	b.dispatch(now)
	b.armTick()
	return nil
}
