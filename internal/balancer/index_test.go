package balancer

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// verify compares what the index, the subset, the pools and the queues hold with a scan of all endpoints.
func verify(tb testing.TB, b *Balancer, now time.Duration) {
	tb.Helper()
	b.enqueueDue(now)
	b.advanceSlowStarts(now)
	if b.subset.stale {
		b.updateSubset(now)
	}
	for i, e := range b.listed {
		if i > 0 && b.listed[i-1].id >= e.id || !e.listed || b.endpointsByID[e.id] != e {
			tb.Fatalf("the list is out of order at %d", e.id)
		}
		verifyIndexed(tb, b, e)
		verifyPooled(tb, b, now, e)
		verifyHashShare(tb, b, e)
		verifyQueued(tb, b, e)
	}
	verifyCounts(tb, b)
	verifySubset(tb, b)
	verifyWeights(tb, b)
}

// verifyIndexed checks that the index has an endpoint, if requests may go to it.
func verifyIndexed(tb testing.TB, b *Balancer, e *endpoint) {
	tb.Helper()
	indexed := e.availability != draining
	if e.index.indexed != indexed || slices.Contains(b.index.byCell[e.cell], e) != indexed {
		tb.Fatalf("endpoint %d: availability %d, indexed %v", e.id, e.availability, e.index.indexed)
	}
}

// expectedPool is the pool that an endpoint belongs to; noPool for none.
func expectedPool(e *endpoint) int {
	switch {
	case e.availability == available && e.subsetWeight > 0:
		return availablePool
	case e.availability == available:
		return outsidePool
	case e.availability == warmingUp && e.subsetWeight > 0:
		return warmingUpPool
	}
	return noPool
}

// verifyPooled checks that an endpoint is in its pool, with a bound that its weight stays below.
func verifyPooled(tb testing.TB, b *Balancer, now time.Duration, e *endpoint) {
	tb.Helper()
	want := expectedPool(e)
	if e.index.pooled != (want != noPool) || e.index.pooled && e.index.pool != want {
		tb.Fatalf("endpoint %d: availability %d, part %v; pooled %v in %d", e.id, e.availability, e.subsetWeight, e.index.pooled, e.index.pool)
	}
	if want == noPool {
		return
	}
	weight := b.weights.drawWeight(e) * b.capacityShare(now, e)
	if weight > e.index.bound*b.pools.boundSlack*(1+1e-9) {
		tb.Fatalf("endpoint %d: weight %v over its bound %v, slack %v, pool %d", e.id, weight, e.index.bound, b.pools.boundSlack, want)
	}
}

// verifyHashShare checks that a subset by hash has an endpoint, if it is in the hash share.
func verifyHashShare(tb testing.TB, b *Balancer, e *endpoint) {
	tb.Helper()
	if !b.subset.byHash {
		return
	}
	owned := e.availability != draining && b.subset.share.Owns(uint32(e.id))
	if (e.subsetWeight > 0) != (owned && b.weights.endpointWeight(e) > 0) {
		tb.Fatalf("endpoint %d: availability %d, part %v, in this instance's hash share %v", e.id, e.availability, e.subsetWeight, owned)
	}
}

// verifyQueued checks that an endpoint is in the queues of slow starts and of trials, if it has to be.
func verifyQueued(tb testing.TB, b *Balancer, e *endpoint) {
	tb.Helper()
	_, slowStart := b.slowStarts.Deadline(e)
	at, trial := b.trials.Deadline(e)
	awaitsTrial := e.availability == ejected && e.subsetWeight > 0 && len(e.calls) == 0
	if slowStart != (e.availability == warmingUp) || trial != awaitsTrial || trial && at != e.trialAt {
		tb.Fatalf("endpoint %d: availability %d, part %v, slow start %v, trial %v", e.id, e.availability, e.subsetWeight, slowStart, trial)
	}
}

// verifyCounts checks how many endpoints the index, the busy set and each pool hold.
func verifyCounts(tb testing.TB, b *Balancer) {
	tb.Helper()
	indexed, busy := 0, 0
	perZone := map[int]int{}
	var pooled [poolCount]int
	for _, e := range b.listed {
		if e.availability != draining {
			indexed++
			perZone[e.zone]++
		}
		if len(e.calls) > 0 {
			busy++
		}
		if pool := expectedPool(e); pool != noPool {
			pooled[pool]++
		}
	}
	if b.index.ordered.Len() != indexed || len(b.busy) < busy {
		tb.Fatalf("%d indexed, should be %d; %d busy, should be %d", b.index.ordered.Len(), indexed, len(b.busy), busy)
	}
	if !maps.Equal(b.index.perZone, perZone) {
		tb.Fatalf("by zone %v, should be %v", b.index.perZone, perZone)
	}
	for pool, want := range pooled {
		if got := b.pools.pools[pool].Len(); got != want {
			tb.Fatalf("pool %d holds %d, should be %d", pool, got, want)
		}
	}
}

// verifySubset checks the members of the subset, and the sum of the weights of those that are available.
func verifySubset(tb testing.TB, b *Balancer) {
	tb.Helper()
	members, weight := 0, 0.0
	for _, e := range b.listed {
		if e.subsetWeight > 0 {
			members++
		}
		if expectedPool(e) == availablePool {
			weight += b.weights.drawWeight(e)
		}
	}
	if b.subset.byHash && (b.subset.all || !slices.IsSortedFunc(b.subset.members, compareIDs)) {
		tb.Fatal("the subset is out of order, or all as well")
	}
	if !b.subset.all && members != len(b.subset.members) {
		tb.Fatalf("%d have a part, %d are listed so", members, len(b.subset.members))
	}
	if weight > 0 && math.Abs(math.Log(b.pools.availableWeight/weight)) > math.Log(maxDrift*maxDrift) {
		tb.Fatalf("the available weights' sum is %v, should be %v", b.pools.availableWeight, weight)
	}
}

// verifyWeights checks what is known of the listed weights.
func verifyWeights(tb testing.TB, b *Balancer) {
	tb.Helper()
	counted := 0
	for weight, n := range b.index.weightCounts {
		counted += n
		if n <= 0 {
			tb.Fatalf("weight %v: %d", weight, n)
		}
	}
	differs := func(e *endpoint) bool { return e.listedWeight != b.listed[0].listedWeight }
	none := func(e *endpoint) bool { return e.listedWeight <= 0 }
	weighted := slices.ContainsFunc(b.listed, differs) && !slices.ContainsFunc(b.listed, none)
	if counted != len(b.listed) || weighted != b.weights.useListed {
		tb.Fatalf("%d weights of %d; weighted %v", counted, len(b.listed), b.weights.useListed)
	}
}

// fleetEvents brings random events of a fleet to a balancer.
type fleetEvents struct {
	*fixture
	rng       *rand.Rand
	instances int // at first
	endpoints int
	weighted  bool // the listed weights differ
	reports   bool // endpoints report their load
	open      []sent
}

func newFleetEvents(t *testing.T, seed uint64) *fleetEvents {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	s := settings()
	s.Instances = []int{1, 3, 12, 40, 4}[seed%5]
	s.Ordinal = rng.IntN(s.Instances)
	if seed%7 == 0 {
		s.SlowStartMinShare = 0
	}
	endpoints := 60
	if s.Instances == 4 {
		endpoints = 96 // a subset by hash, while most are listed
	}
	f := start(t, s, endpoints)
	f.b.scanLimit = []int{0, maxScanned}[seed/4%2]
	return &fleetEvents{fixture: f, rng: rng, instances: s.Instances, endpoints: endpoints, reports: seed%3 == 0, weighted: seed%3 == 1}
}

// step brings one event, and lets time go by.
func (f *fleetEvents) step() {
	switch f.rng.IntN(9) {
	case 0, 1, 2:
		f.ask(f.rng.IntN(3))
	case 3, 4, 5:
		for range min(3, len(f.open)) {
			f.outcome()
		}
	case 6:
		f.list(f.entry())
	case 7:
		f.update()
	case 8:
		f.regroup()
	}
	if f.rng.IntN(3) == 0 {
		f.pass(time.Duration(f.rng.IntN(400)) * ms)
	}
	f.open = append(f.open, f.sent...)
	f.sent = f.sent[:0]
}

// outcome ends one of the attempts in flight.
func (f *fleetEvents) outcome() {
	i := f.rng.IntN(len(f.open))
	x := f.open[i]
	f.open = slices.Delete(f.open, i, i+1)
	o := Outcome{
		ID: x.id, Endpoint: x.to, Attempt: x.attempt, Elapsed: time.Duration(1+f.rng.IntN(60)*int(1+x.to%4)) * ms,
		Status: []Status{
			StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK,
			StatusError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset, StatusInvalidResponse,
		}[f.rng.IntN(12)],
	}
	o.Final = o.Status == StatusOK
	if f.reports {
		o.Load = &Load{ServiceTime: time.Duration(1+f.rng.IntN(20)*int(1+x.to%3)) * ms}
	}
	f.b.HandleOutcome(f.now, o)
}

// entry is a line of the endpoint list.
func (f *fleetEvents) entry() ListEntry {
	id := EndpointID(1 + f.rng.IntN(f.endpoints))
	e := ListEntry{
		Endpoint: id, Cell: f.rng.IntN(f.endpoints / 2), Zone: f.rng.IntN(3), MachineKind: f.rng.IntN(4), Weight: 1,
		State: []EndpointState{EndpointReady, EndpointReady, EndpointReady, EndpointDraining, EndpointRemoved}[f.rng.IntN(5)],
	}
	if f.weighted {
		e.Weight = float64(f.rng.IntN(300)) / 100
	}
	if f.rng.IntN(2) == 0 {
		e.StartedAt = f.now - time.Duration(f.rng.IntN(12000))*ms
	}
	return e
}

// update brings a list of many lines, some twice.
func (f *fleetEvents) update() {
	l := EndpointList{Kind: []ListKind{ListDelta, ListDelta, ListFull}[f.rng.IntN(3)], Version: 3}
	for range 1 + f.rng.IntN(80) {
		l.Entries = append(l.Entries, f.entry())
	}
	f.b.HandleEndpoints(f.now, l)
}

// regroup brings another group of instances.
func (f *fleetEvents) regroup() {
	g := InstanceGroup{Instances: 1 + f.rng.IntN(2*f.instances)}
	g.Ordinal, g.MaxInstances = f.rng.IntN(g.Instances), f.rng.IntN(2*g.Instances)
	if f.rng.IntN(2) == 0 {
		for i := range g.Instances {
			g.Members = append(g.Members, uint64(1000*i))
		}
		g.Self = g.Members[g.Ordinal]
	}
	if err := f.b.UpdateGroup(f.now, g); err != nil {
		f.t.Fatal(err)
	}
}

// Whatever happens, what the index holds is what a scan of all endpoints would find.
func TestIndexMatchesAFullScan(t *testing.T) {
	for seed := range uint64(40 * soaked(20)) {
		f := newFleetEvents(t, seed)
		for range 150 * soaked(4) {
			f.step()
			verify(t, f.b, f.now)
		}
	}
}
