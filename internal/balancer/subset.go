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

// This file decides which endpoints this instance calls. If many instances each called all endpoints, they would fill the endpoints'
// connection tables with idle connections, and each instance would learn little about any endpoint.

const (
	callersPerEndpoint = 3   // number of instances that call each endpoint; with more instances, each calls only a subset
	minSubsetSize      = 2.0 // smallest subset, in mean weights of an endpoint: with one endpoint, there is nothing to compare

	// A subset of more than hashSubsetFrom endpoints is determined by a hash of the endpoints' ids alone, so that a change of one
	// endpoint does not affect the others. It remains so down to hashSubsetDownTo endpoints. The sizes of smaller subsets by hash
	// would vary too much by chance.
	hashSubsetFrom      = 64.0
	hashSubsetDownTo    = 48.0
	hashSubsetMinUsable = 0.5 // share of a subset by hash below which too few endpoints are usable, and its size is doubled

	weightTolerance = 1e-9 // share of the total weight below which a difference is a rounding error
)

// scope is the set of endpoints that may be picked.
type scope uint8

const (
	inSubset   scope = iota // endpoints of the subset
	everywhere              // all endpoints, for retries
	scopeCount
)

// subset holds the endpoints that this instance calls.
type subset struct {
	allEndpoints bool        // the subset is all endpoints in the index, and members is not used
	members      []*endpoint // endpoints in the subset
	stale        bool        // the subset has to be recomputed
	size         float64     // size in mean weights of an endpoint

	byHash bool            // the subset is determined by a hash of the endpoints' ids alone
	share  hashring.Share  // the share of all ids whose endpoints are in the subset, if byHash
	group  *hashring.Group // instances that the ids are divided among, if byHash; nil to divide them by ordinal

	previous          []*endpoint // members before the subset was last recomputed
	unreachedReported bool        // the latest log message says that the instances together do not reach all endpoints
}

// admit adds an endpoint that has become listed, if that does not require the subset to be recomputed.
func (s *subset) admit(ep *endpoint, weight float64) {
	switch {
	case s.allEndpoints:
		ep.subsetWeight = weight
	case s.byHash && s.share.Owns(uint32(ep.id)):
		ep.subsetWeight = weight
		s.members = insertSorted(s.members, ep)
	}
}

// drop removes an endpoint that gets no more requests.
func (s *subset) drop(ep *endpoint) {
	ep.subsetWeight = 0
	if s.byHash {
		s.members = removeSorted(s.members, ep)
	}
}

// add adds a part of an endpoint's weight to the subset.
func (s *subset) add(ep *endpoint, weight float64) {
	if ep.subsetWeight == 0 {
		s.members = append(s.members, ep)
	}
	ep.subsetWeight += weight
}

// endpointsIn returns the endpoints of a scope. The slice is valid until the next call.
func (b *Balancer) endpointsIn(within scope) []*endpoint {
	if within == inSubset && !b.subset.allEndpoints {
		return b.subset.members
	}
	return b.index.endpoints()
}

// usesPools reports whether a scope has too many endpoints to scan them one by one.
func (b *Balancer) usesPools(within scope) bool {
	if within == everywhere || b.subset.allEndpoints {
		return b.index.len() > b.scanLimit
	}
	return len(b.subset.members) > b.scanLimit
}

// updateSubset recomputes which endpoints are in this instance's subset, and with which part of their weight.
func (b *Balancer) updateSubset(now time.Duration) {
	subset := &b.subset
	listed := float64(b.index.len())
	fairSize := max(callersPerEndpoint*listed/float64(b.settings.Instances), minSubsetSize)
	subset.size = min(fairSize, cmp.Or(float64(b.settings.MaxSubsetSize), listed), listed)
	switch {
	case subset.size >= listed:
		b.useAllEndpoints(now)
	case subset.size > hashSubsetFrom || subset.byHash && subset.size > hashSubsetDownTo:
		b.useHashSubset(now, b.hashSubsetWidening())
	default:
		b.useTiledSubset(now)
	}
}

// useAllEndpoints makes the subset all endpoints, each with its full weight.
func (b *Balancer) useAllEndpoints(now time.Duration) {
	b.reportUnreached()
	b.subset.stale = false
	if b.subset.allEndpoints {
		return
	}
	b.subset.allEndpoints = true
	b.subset.byHash = false
	b.subset.members = nil
	for ep := range b.index.ordered.All() {
		ep.subsetWeight = b.weights.endpointWeight(ep)
		b.refreshPools(now, ep)
	}
}

// useTiledSubset makes the subset a contiguous section (tile) of a ring of the weights of all endpoints. The ordinal determines
// where the tile begins, so that all instances together reach each endpoint in proportion to its weight. An instance that has
// ejected endpoints of its tile extends the tile along the ring. Draining endpoints are not on the ring: when they were, and many
// drained at once, the few endpoints after them on the ring got their shares.
func (b *Balancer) useTiledSubset(now time.Duration) {
	total := b.index.ordered.Total()
	listed := float64(b.index.len())
	tolerance := total * weightTolerance
	missing := total * b.subset.size / listed
	_, begin := math.Modf(float64(b.settings.Ordinal) * b.subset.size / listed)
	b.clearSubset()
	cursor, offset := b.index.ordered.Seek(begin*total, tolerance)
	for range 2 * b.index.len() { // two rounds of the ring, as the tile may begin inside an endpoint's weight
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

// useHashSubset makes the subset the endpoints of this instance's hash share, each with its full weight.
func (b *Balancer) useHashSubset(now time.Duration, widening float64) {
	subset := &b.subset
	share := b.hashShareFor(widening)
	b.reportUnreached()
	subset.stale = false
	if subset.byHash && subset.share == share {
		return
	}
	b.clearSubset()
	subset.byHash = true
	subset.share = share
	for ep := range b.index.ordered.All() {
		if share.Owns(uint32(ep.id)) {
			subset.add(ep, b.weights.endpointWeight(ep))
		}
	}
	b.finishSubset(now)
}

// hashSubsetWidening returns the factor by which the hash share has to be widened so that enough of its endpoints are usable. It is
// a power of 2, and 1 if no widening is needed.
func (b *Balancer) hashSubsetWidening() float64 {
	subset := &b.subset
	widening := 1.0
	for widening*subset.size < float64(b.index.len()) && b.usableInShare(widening) < hashSubsetMinUsable*subset.size {
		widening *= 2
	}
	return widening
}

// hashShareFor returns this instance's hash share at a widening. If MaxSubsetSize makes the share smaller than usual, the number of
// owners of each endpoint depends on the length of the list, and a change of that number moves all shares. Therefore it is rounded
// down to a power of the fourth root of 2, so that most changes of the list do not change it.
func (b *Balancer) hashShareFor(widening float64) hashring.Share {
	const rounding = 1e-9
	replicas := float64(callersPerEndpoint)
	bounded := b.subset.size * float64(b.settings.Instances) / float64(b.index.len())
	if bounded < replicas-rounding {
		replicas = min(replicas, math.Exp2(math.Floor(4*math.Log2(bounded)+rounding)/4))
	}
	return hashring.Share{
		Owner:    b.settings.Ordinal,
		Owners:   b.settings.Instances,
		Replicas: replicas,
		Widening: widening,
		Group:    b.subset.group,
	}
}

// usableInShare returns how many endpoints of a hash share are available or in slow start.
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

// clearSubset empties the subset before it is recomputed. Endpoints are then added by subset.add, and finishSubset must be called
// after that.
func (b *Balancer) clearSubset() {
	subset := &b.subset
	subset.previous = append(subset.previous[:0], b.endpointsIn(inSubset)...)
	for _, ep := range subset.previous {
		ep.index.previousWeight = ep.subsetWeight
		ep.subsetWeight = 0
	}
	subset.allEndpoints = false
	subset.byHash = false
	subset.members = subset.members[:0]
}

// finishSubset refreshes the endpoints whose part in the subset has changed since clearSubset was called.
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

// reportUnreached logs when, because of MaxSubsetSize, some endpoints begin to be called by no instance, and when that ends.
func (b *Balancer) reportUnreached() {
	listed := b.index.len()
	reached := int(b.subset.size*float64(b.settings.Instances) + 0.5)
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

// Subset returns the endpoints that this instance calls, including ejected ones, each with the share of its weight that is in this
// instance's subset, above 0 and up to 1. It is meant for operators and measurements.
func (b *Balancer) Subset() iter.Seq2[EndpointID, float64] {
	return func(yield func(EndpointID, float64) bool) {
		for _, ep := range b.endpointsIn(inSubset) {
			if ep.subsetWeight > 0 && !yield(ep.id, ep.subsetWeight/b.weights.endpointWeight(ep)) {
				return
			}
		}
	}
}

// UpdateGroup replaces Settings.Instances and Ordinal by those of a group. Endpoints that leave the subset get no new first
// attempts, but their state is retained. If the group is invalid, UpdateGroup returns an error and changes nothing. The group
// should change rarely, as each change moves subsets.
func (b *Balancer) UpdateGroup(now time.Duration, g InstanceGroup) error {
	if err := g.check(); err != nil {
		return err
	}
	b.settings.Instances = g.Instances
	b.settings.Ordinal = g.Ordinal
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
