package balancer

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// verify checks the content of the index, the subset, the pools and the queues against a scan of all endpoints.
func verify(tb testing.TB, b *Balancer, now time.Duration) {
	tb.Helper()
	b.enqueueDue(now)
	b.advanceSlowStarts(now)
	if b.subset.stale {
		b.updateSubset(now)
	}
	for i, ep := range b.listed {
		if i > 0 && b.listed[i-1].id >= ep.id || !ep.listed || b.endpointsByID[ep.id] != ep {
			tb.Fatalf("the list is out of order, or inconsistent with the known endpoints, at endpoint %d", ep.id)
		}
		verifyIndexed(tb, b, ep)
		verifyPooled(tb, b, now, ep)
		verifyHashShare(tb, b, ep)
		verifyQueued(tb, b, ep)
	}
	verifyCounts(tb, b)
	verifySubset(tb, b)
	verifyWeights(tb, b)
}

// verifyIndexed checks that the index contains an endpoint if and only if it is not draining.
func verifyIndexed(tb testing.TB, b *Balancer, ep *endpoint) {
	tb.Helper()
	indexed := ep.availability != draining
	if ep.index.indexed != indexed || slices.Contains(b.index.byCell[ep.cell], ep) != indexed {
		tb.Fatalf("endpoint %d has availability %d; indexed %v, or its cell differs from that", ep.id, ep.availability, ep.index.indexed)
	}
}

// expectedPool returns the pool that an endpoint belongs to, or noPool.
func expectedPool(ep *endpoint) int {
	switch {
	case ep.availability == available && ep.subsetWeight > 0:
		return availablePool
	case ep.availability == available:
		return outsidePool
	case ep.availability == warmingUp && ep.subsetWeight > 0:
		return warmingUpPool
	}
	return noPool
}

// verifyPooled checks that an endpoint is in its pool, and that its weight does not exceed its bound there.
func verifyPooled(tb testing.TB, b *Balancer, now time.Duration, ep *endpoint) {
	tb.Helper()
	want := expectedPool(ep)
	if ep.index.pooled != (want != noPool) || ep.index.pooled && ep.index.pool != want {
		tb.Fatalf(
			"endpoint %d has availability %d and subset weight %v, which is inconsistent with pooled %v, pool %d",
			ep.id, ep.availability, ep.subsetWeight, ep.index.pooled, ep.index.pool,
		)
	}
	if want == noPool {
		return
	}
	weight := b.weights.drawWeight(ep) * b.capacityShare(now, ep)
	if weight > ep.index.bound*b.pools.boundSlack*(1+1e-9) {
		tb.Fatalf(
			"endpoint %d has weight %v, above its bound %v with slack %v in pool %d",
			ep.id, weight, ep.index.bound, b.pools.boundSlack, want,
		)
	}
}

// verifyHashShare checks that a subset by hash contains an endpoint if and only if the hash share owns it.
func verifyHashShare(tb testing.TB, b *Balancer, ep *endpoint) {
	tb.Helper()
	if !b.subset.byHash {
		return
	}
	owned := ep.availability != draining && b.subset.share.Owns(uint32(ep.id))
	if (ep.subsetWeight > 0) != (owned && b.weights.endpointWeight(ep) > 0) {
		tb.Fatalf(
			"endpoint %d has availability %d and subset weight %v, which is inconsistent with being in the hash share %v",
			ep.id, ep.availability, ep.subsetWeight, owned,
		)
	}
}

// verifyQueued checks that an endpoint is in the queue of slow starts if and only if it is in slow start, and in the queue of trials
// if and only if it awaits a trial.
func verifyQueued(tb testing.TB, b *Balancer, ep *endpoint) {
	tb.Helper()
	_, slowStart := b.slowStarts.Deadline(ep)
	trialAt, trial := b.trials.Deadline(ep)
	awaitsTrial := ep.availability == ejected && ep.subsetWeight > 0 && len(ep.calls) == 0
	if slowStart != (ep.availability == warmingUp) || trial != awaitsTrial || trial && trialAt != ep.trialAt {
		tb.Fatalf(
			"endpoint %d has availability %d and subset weight %v, which is inconsistent with queued for slow start %v, for a trial %v",
			ep.id, ep.availability, ep.subsetWeight, slowStart, trial,
		)
	}
}

// verifyCounts checks the numbers of endpoints in the index, in the busy set and in each pool.
func verifyCounts(tb testing.TB, b *Balancer) {
	tb.Helper()
	indexed, busy := 0, 0
	perZone := map[int]int{}
	var pooled [poolCount]int
	for _, ep := range b.listed {
		if ep.availability != draining {
			indexed++
			perZone[ep.zone]++
		}
		if len(ep.calls) > 0 {
			busy++
		}
		if pool := expectedPool(ep); pool != noPool {
			pooled[pool]++
		}
	}
	if b.index.ordered.Len() != indexed || len(b.busy) < busy {
		tb.Fatalf("%d endpoints indexed, want %d; %d busy, want at least %d", b.index.ordered.Len(), indexed, len(b.busy), busy)
	}
	if !maps.Equal(b.index.perZone, perZone) {
		tb.Fatalf("indexed endpoints by zone: %v, want %v", b.index.perZone, perZone)
	}
	for pool, want := range pooled {
		if got := b.pools.pools[pool].Len(); got != want {
			tb.Fatalf("pool %d has %d endpoints, want %d", pool, got, want)
		}
	}
}

// verifySubset checks the members of the subset, and the sum of the weights of those that are available.
func verifySubset(tb testing.TB, b *Balancer) {
	tb.Helper()
	members, weight := 0, 0.0
	for _, ep := range b.listed {
		if ep.subsetWeight > 0 {
			members++
		}
		if expectedPool(ep) == availablePool {
			weight += b.weights.drawWeight(ep)
		}
	}
	if b.subset.byHash && (b.subset.allEndpoints || !slices.IsSortedFunc(b.subset.members, compareIDs)) {
		tb.Fatal("a subset by hash is out of order, or marked as containing all endpoints")
	}
	if !b.subset.allEndpoints && members != len(b.subset.members) {
		tb.Fatalf("%d endpoints have a subset weight, %d are members of the subset", members, len(b.subset.members))
	}
	if weight > 0 && math.Abs(math.Log(b.pools.availableWeight/weight)) > math.Log(maxDrift*maxDrift) {
		tb.Fatalf("the sum of the available endpoints' weights is %v, want about %v", b.pools.availableWeight, weight)
	}
}

// verifyWeights checks the counts of the listed weights, and whether these are used.
func verifyWeights(tb testing.TB, b *Balancer) {
	tb.Helper()
	counted := 0
	for weight, n := range b.index.weightCounts {
		counted += n
		if n <= 0 {
			tb.Fatalf("listed weight %v is counted %d times, want at least once", weight, n)
		}
	}
	differs := func(ep *endpoint) bool { return ep.listedWeight != b.listed[0].listedWeight }
	isZero := func(ep *endpoint) bool { return ep.listedWeight <= 0 }
	weighted := slices.ContainsFunc(b.listed, differs) && !slices.ContainsFunc(b.listed, isZero)
	if counted != len(b.listed) || weighted != b.weights.useListed {
		tb.Fatalf("%d listed weights counted for %d endpoints, useListed %v", counted, len(b.listed), b.weights.useListed)
	}
}

// fleetEvents delivers random events of a fleet to a Balancer.
type fleetEvents struct {
	*fixture
	rng       *rand.Rand
	instances int // initial number of instances
	endpoints int
	weighted  bool // the listed weights differ
	reports   bool // endpoints report their load
	inFlight  []attempt
}

func newFleetEvents(t *testing.T, seed uint64) *fleetEvents {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	config := settings()
	config.Instances = []int{1, 3, 12, 40, 4}[seed%5]
	config.Ordinal = rng.IntN(config.Instances)
	if seed%7 == 0 {
		config.SlowStartMinShare = 0
	}
	endpoints := 60
	if config.Instances == 4 {
		endpoints = 96 // the subset is by hash while most are listed
	}
	fixture := start(t, config, endpoints)
	fixture.balancer.scanLimit = []int{0, maxScanned}[seed/4%2]
	return &fleetEvents{
		fixture:   fixture,
		rng:       rng,
		instances: config.Instances,
		endpoints: endpoints,
		reports:   seed%3 == 0,
		weighted:  seed%3 == 1,
	}
}

// step delivers one event, and sometimes advances the time.
func (f *fleetEvents) step() {
	switch f.rng.IntN(9) {
	case 0, 1, 2:
		f.request(f.rng.IntN(3))
	case 3, 4, 5:
		for range min(3, len(f.inFlight)) {
			f.randomOutcome()
		}
	case 6:
		f.updateEndpoint(f.randomEntry())
	case 7:
		f.randomUpdate()
	case 8:
		f.randomRegroup()
	}
	if f.rng.IntN(3) == 0 {
		f.advance(time.Duration(f.rng.IntN(400)) * ms)
	}
	f.inFlight = append(f.inFlight, f.sent...)
	f.sent = f.sent[:0]
}

// randomOutcome ends one of the attempts in flight with a random outcome.
func (f *fleetEvents) randomOutcome() {
	i := f.rng.IntN(len(f.inFlight))
	ended := f.inFlight[i]
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	outcome := Outcome{
		ID:       ended.id,
		Endpoint: ended.to,
		Attempt:  ended.number,
		Elapsed:  time.Duration(1+f.rng.IntN(60)*int(1+ended.to%4)) * ms,
		Status: []Status{
			StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK,
			StatusError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset, StatusInvalidResponse,
		}[f.rng.IntN(12)],
	}
	outcome.Final = outcome.Status == StatusOK
	if f.reports {
		outcome.Load = &Load{ServiceTime: time.Duration(1+f.rng.IntN(20)*int(1+ended.to%3)) * ms}
	}
	f.balancer.HandleOutcome(f.now, outcome)
}

// randomEntry returns a random entry of the endpoint list.
func (f *fleetEvents) randomEntry() ListEntry {
	id := EndpointID(1 + f.rng.IntN(f.endpoints))
	entry := ListEntry{
		Endpoint:    id,
		Cell:        f.rng.IntN(f.endpoints / 2),
		Zone:        f.rng.IntN(3),
		MachineKind: f.rng.IntN(4),
		Weight:      1,
		State:       []EndpointState{EndpointReady, EndpointReady, EndpointReady, EndpointDraining, EndpointRemoved}[f.rng.IntN(5)],
	}
	if f.weighted {
		entry.Weight = float64(f.rng.IntN(300)) / 100
	}
	if f.rng.IntN(2) == 0 {
		entry.StartedAt = f.now - time.Duration(f.rng.IntN(12000))*ms
	}
	return entry
}

// randomUpdate delivers a list with many entries, some for the same endpoint.
func (f *fleetEvents) randomUpdate() {
	list := EndpointList{Kind: []ListKind{ListDelta, ListDelta, ListFull}[f.rng.IntN(3)], Version: 3}
	for range 1 + f.rng.IntN(80) {
		list.Entries = append(list.Entries, f.randomEntry())
	}
	f.balancer.HandleEndpoints(f.now, list)
}

// randomRegroup delivers a random group of instances.
func (f *fleetEvents) randomRegroup() {
	group := InstanceGroup{Instances: 1 + f.rng.IntN(2*f.instances)}
	group.Ordinal, group.MaxInstances = f.rng.IntN(group.Instances), f.rng.IntN(2*group.Instances)
	if f.rng.IntN(2) == 0 {
		for i := range group.Instances {
			group.Members = append(group.Members, uint64(1000*i))
		}
		group.Self = group.Members[group.Ordinal]
	}
	if err := f.balancer.UpdateGroup(f.now, group); err != nil {
		f.t.Fatal(err)
	}
}

// After any events, the index is consistent with a scan of all endpoints.
func TestIndexMatchesAFullScan(t *testing.T) {
	for seed := range uint64(40 * soakFactor(20)) {
		fixture := newFleetEvents(t, seed)
		for range 150 * soakFactor(4) {
			fixture.step()
			verify(t, fixture.balancer, fixture.now)
		}
	}
}
