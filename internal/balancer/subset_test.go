package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// With many instances, each calls only a subset of the endpoints. If all called each endpoint, its connection table would be full.
func TestSubsetsOfManyInstances(t *testing.T) {
	config := settings()
	config.Instances = 30
	callers := map[EndpointID]int{}
	for i := range 30 {
		config.Ordinal = i
		fixture := start(t, config, 20)
		got := fixture.serveRequests(100, nil)
		if len(got) != 2 {
			t.Fatalf("instance %d calls %d endpoints, want 2", i, len(got))
		}
		for id := range got {
			callers[id]++
		}
	}
	for id := EndpointID(1); id <= 20; id++ {
		if callers[id] != 3 {
			t.Errorf("endpoint %d is called by %d instances, want 3", id, callers[id])
		}
	}
}

// With more instances than endpoints, the subsets of all instances together contain each endpoint in proportion to its weight. With
// one endpoint for each instance, small machines would get as many calls as large ones.
func TestSmallSubsetsReachEndpointsByWeight(t *testing.T) {
	config := settings()
	config.Instances = 120
	subsetWeights, total := map[EndpointID]float64{}, 0.0
	for ordinal := range config.Instances {
		config.Ordinal = ordinal
		fixture := start(t, config, 0)
		list := EndpointList{Kind: ListFull, Version: 2}
		for id := EndpointID(1); id <= 20; id++ {
			list.Entries = append(list.Entries, ListEntry{Endpoint: id, Weight: []float64{3, 0.5}[id%2]})
		}
		fixture.balancer.HandleEndpoints(fixture.now, list)
		called := 0
		for _, e := range fixture.balancer.listed {
			subsetWeights[e.id] += e.subsetWeight
			total += e.subsetWeight
			if e.subsetWeight > 0 {
				called++
			}
		}
		if called < 2 || called > 8 {
			t.Fatalf("instance %d calls %d endpoints, want 2 to 8", ordinal, called)
		}
	}
	for id, got := range subsetWeights {
		want := total * []float64{3, 0.5}[id%2] / 35
		if got < 0.95*want || got > 1.05*want {
			t.Errorf("the subsets contain endpoint %d with a weight of %.2f, want %.2f", id, got, want)
		}
	}
}

// If many endpoints drain at once, all others share their load. If only the next few on the ring took it, these would get four times
// the mean load.
func TestAllEndpointsShareTheLoadOfDrainingOnes(t *testing.T) {
	config := settings()
	config.Instances = 80
	subsetWeights := map[EndpointID]float64{}
	for i := range config.Instances {
		config.Ordinal = i
		fixture := start(t, config, 20)
		for id := EndpointID(5); id <= 14; id++ {
			fixture.updateEndpoint(ListEntry{Endpoint: id, State: EndpointDraining, Weight: 1})
		}
		for _, e := range fixture.balancer.listed {
			subsetWeights[e.id] += e.subsetWeight
		}
	}
	for id, got := range subsetWeights {
		want := 16.0
		if id >= 5 && id <= 14 {
			want = 0
		}
		if got < want-0.01 || got > want+0.01 {
			t.Errorf("endpoint %d is in the subsets with a weight of %.2f, want %.0f", id, got, want)
		}
	}
}

// A subset by hash keeps its endpoints while others are added or removed. It grows while most of its endpoints are ejected. While the
// list is short, the subset is a tile instead.
func TestSubsetsByIDs(t *testing.T) {
	const n, instances = 2000, 40 // 150 endpoints for each instance
	config := settings()
	config.Instances, config.Ordinal = instances, 7
	fixture := start(t, config, n)
	verify(t, fixture.balancer, fixture.now)
	if size := len(fixture.balancer.subset.members); !fixture.balancer.subset.byHash || size < 100 || size > 200 {
		t.Fatalf("subset: by hash %v, %d endpoints; want true, 100 to 200", fixture.balancer.subset.byHash, size)
	}
	subsetMovesNoOthers(t, fixture, n)
	subsetGrowsWhileEjected(t, fixture)
	subsetIsTiledWhileFew(t, fixture)
}

// subsetIDs returns the endpoints of the subset, and checks that the subset contains their full weight.
func (f *fixture) subsetIDs() map[EndpointID]bool {
	f.t.Helper()
	ids := map[EndpointID]bool{}
	for id, weight := range f.balancer.Subset() {
		if weight != 1 {
			f.t.Fatalf("endpoint %d is in the subset with a share of %v of its weight, want 1", id, weight)
		}
		ids[id] = true
	}
	return ids
}

// subsetMovesNoOthers replaces some endpoints of the subset, out of n endpoints, and checks that the others stay.
func subsetMovesNoOthers(t *testing.T, fixture *fixture, n int) {
	t.Helper()
	before := fixture.subsetIDs()
	for i := range 50 {
		removed := fixture.balancer.subset.members[i].id
		fixture.updateEndpoint(ListEntry{Endpoint: removed, State: EndpointRemoved})
		fixture.updateEndpoint(ListEntry{Endpoint: EndpointID(n + 1 + i), Weight: 1})
		delete(before, removed)
		verify(t, fixture.balancer, fixture.now)
	}
	for id := range fixture.subsetIDs() {
		if int(id) <= n && !before[id] {
			t.Fatalf("endpoint %d joined the subset when others were removed", id)
		}
		delete(before, id)
	}
	if len(before) > 0 {
		t.Fatalf("endpoints %v left the subset when others were removed", before)
	}
}

// subsetGrowsWhileEjected ejects two thirds of the subset, ends the ejections, and checks the size of the subset each time.
func subsetGrowsWhileEjected(t *testing.T, fixture *fixture) {
	t.Helper()
	b := fixture.balancer
	size := len(b.subset.members)
	for _, e := range slices.Clone(b.subset.members) {
		if e.id%3 > 0 {
			b.eject(fixture.now, e, "test")
			b.refreshPools(fixture.now, e)
		}
	}
	b.subset.stale = true
	if verify(t, b, fixture.now); len(b.subset.members) < size*3/2 || b.subset.share.Widening != 2 {
		t.Fatalf(
			"the subset has %d endpoints after two thirds of %d were ejected, want at least half as many more, by a widening of 2",
			len(b.subset.members), size,
		)
	}
	for _, e := range b.listed {
		if e.availability == ejected {
			b.startSlowStart(fixture.now, e, fixture.now)
		}
	}
	b.subset.stale = true
	if verify(t, b, fixture.now); len(b.subset.members) != size || b.subset.share.Widening != 1 {
		t.Fatalf("the subset has %d endpoints after the ejections ended, want %d as before", len(b.subset.members), size)
	}
}

// subsetIsTiledWhileFew removes most endpoints, lists them again, and checks the form of the subset each time.
func subsetIsTiledWhileFew(t *testing.T, fixture *fixture) {
	t.Helper()
	b := fixture.balancer
	list := EndpointList{Kind: ListDelta, Version: 3}
	for _, e := range b.listed[:1500] {
		list.Entries = append(list.Entries, ListEntry{Endpoint: e.id, State: EndpointRemoved})
	}
	b.HandleEndpoints(fixture.now, list)
	if verify(t, b, fixture.now); b.subset.byHash || len(b.subset.members) > 45 {
		t.Fatalf(
			"subset of a short list: by hash %v, %d endpoints of %d; want false, at most 45",
			b.subset.byHash, len(b.subset.members), len(b.listed),
		)
	}
	for i := range list.Entries {
		list.Entries[i].State, list.Entries[i].Weight = EndpointReady, 1
	}
	list.Version = 4
	b.HandleEndpoints(fixture.now, list)
	if verify(t, b, fixture.now); !b.subset.byHash {
		t.Fatal("the subset is not by hash after the endpoints are listed again")
	}
}

// checkLogged checks that a text was logged.
func (f *fixture) checkLogged(text string) {
	f.t.Helper()
	if !strings.Contains(strings.Join(f.logs, "; "), text) {
		f.t.Errorf("%q is not in the logs %q", text, f.logs)
	}
}

// The size of a subset is limited. It is logged when all instances together cannot reach every endpoint, and when they can again.
func TestMaxSubsetSize(t *testing.T) {
	for _, maxSize := range []int{2, 20, 100} {
		config := settings()
		config.Instances, config.Ordinal, config.MaxSubsetSize = 12, 5, maxSize
		fixture := start(t, config, 3000)
		b := fixture.balancer
		verify(t, b, fixture.now)
		low, high := float64(maxSize), float64(maxSize)
		if maxSize > hashSubsetFrom { // the size of a subset by hash varies by chance
			low, high = 0.84*low-3*math.Sqrt(low), high+3*math.Sqrt(high)
		}
		if n := float64(len(b.subset.members)); n < low || n > high+1 {
			t.Errorf("the subset has %v endpoints, want about the maximum of %d", n, maxSize)
		}
		fixture.checkLogged(fmt.Sprintf("reach at most %d of 3000", 12*maxSize))
		list := EndpointList{Kind: ListDelta, Version: 2}
		for id := EndpointID(12*maxSize + 1); id <= 3000; id++ {
			list.Entries = append(list.Entries, ListEntry{Endpoint: id, State: EndpointRemoved})
		}
		b.HandleEndpoints(fixture.now, list)
		verify(t, b, fixture.now)
		fixture.checkLogged(fmt.Sprintf("reach all %d endpoints", 12*maxSize))
	}
	config := settings()
	config.MaxSubsetSize = -1
	if _, err := New(config, 1, nil); err == nil || !strings.Contains(err.Error(), "subsetMost") {
		t.Errorf("New with a negative MaxSubsetSize returned %v, want an error that names subsetMost", err)
	}
}

// instanceSet holds the instances of a tier, with their ids in InstanceGroup.Members.
type instanceSet struct {
	t         *testing.T
	instances []*fixture
	members   []uint64
}

func newInstanceSet(t *testing.T, instances, endpoints int) *instanceSet {
	t.Helper()
	all := &instanceSet{t: t}
	config := settings()
	config.Instances = instances
	for i := range instances {
		config.Ordinal = i
		all.instances = append(all.instances, start(t, config, endpoints))
		all.members = append(all.members, uint64(i)<<40+7)
	}
	return all
}

// regroup passes the group of the instances that are alive to each of them. alive has their indexes.
func (i *instanceSet) regroup(alive []int) {
	i.t.Helper()
	group := InstanceGroup{Instances: len(alive)}
	for _, index := range alive {
		group.Members = append(group.Members, i.members[index])
	}
	for ordinal, index := range alive {
		fixture := i.instances[index]
		group.Ordinal, group.Self = ordinal, i.members[index]
		if err := fixture.balancer.UpdateGroup(fixture.now, group); err != nil {
			i.t.Fatal(err)
		}
		verify(i.t, fixture.balancer, fixture.now)
	}
}

// called returns the endpoints in the subsets of the instances with the given indexes.
func (i *instanceSet) called(indexes ...int) map[EndpointID]bool {
	ids := map[EndpointID]bool{}
	for _, index := range indexes {
		for id := range i.instances[index].balancer.Subset() {
			ids[id] = true
		}
	}
	return ids
}

// When instances fail, the others call the endpoints that only the failed ones called before, and keep their own.
func TestGroupUpdateLeavesNoEndpointUncalled(t *testing.T) {
	const instances, endpoints = 20, 600
	all := newInstanceSet(t, instances, endpoints)
	var indexes []int
	for i := range instances {
		indexes = append(indexes, i)
	}
	all.regroup(indexes)
	before := all.called(3)
	all.regroup(slices.Delete(slices.Clone(indexes), 11, 12))
	after := all.called(3)
	lost := 0
	for id := range before {
		if !after[id] {
			lost++
		}
	}
	if n := len(after); lost > 0 || n > len(before)+endpoints/instances/2 {
		t.Errorf(
			"after one of %d instances failed: another lost %d of its %d endpoints, and has %d; want none lost and few added",
			instances, lost, len(before), n,
		)
	}
	alive := []int{0, 3, 7, 8, 13, 19}
	if len(all.called(alive...)) == endpoints {
		t.Error("every endpoint is still called before the group is updated, so that the update is not tested")
	}
	all.regroup(alive)
	if n := endpoints - len(all.called(alive...)); n > 0 {
		t.Errorf("%d endpoints are not called by any instance after the group was updated, want 0", n)
	}
}
