package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// Many instances that call every endpoint fill its connection table.
func TestSubsetWhereManyInstancesCall(t *testing.T) {
	s := settings()
	s.Instances = 30
	covered := map[EndpointID]int{}
	for i := range 30 {
		s.Ordinal = i
		f := start(t, s, 20)
		got := f.serve(100, nil)
		if len(got) != 2 {
			t.Fatalf("instance %d calls %d endpoints, want 2", i, len(got))
		}
		for id := range got {
			covered[id]++
		}
	}
	for id := EndpointID(1); id <= 20; id++ {
		if covered[id] != 3 {
			t.Errorf("endpoint %d is called by %d instances, want 3", id, covered[id])
		}
	}
}

// Where front balancers outnumber endpoints, each had one endpoint whatever its size: small machines got what
// large ones got. Together the subsets must reach each by its weight.
func TestSmallSubsetsReachEndpointsByWeight(t *testing.T) {
	s := settings()
	s.Instances = 120
	parts, total := map[EndpointID]float64{}, 0.0
	for i := range s.Instances {
		s.Ordinal = i
		f := start(t, s, 0)
		l := EndpointList{Kind: ListFull, Version: 2}
		for id := EndpointID(1); id <= 20; id++ {
			l.Entries = append(l.Entries, ListEntry{Endpoint: id, Weight: []float64{3, 0.5}[id%2]})
		}
		f.b.HandleEndpoints(f.now, l)
		n := 0
		for _, e := range f.b.listed {
			parts[e.id] += e.subsetWeight
			total += e.subsetWeight
			if e.subsetWeight > 0 {
				n++
			}
		}
		if n < 2 || n > 8 {
			t.Fatalf("instance %d calls %d endpoints, want a few", i, n)
		}
	}
	for id, got := range parts {
		want := total * []float64{3, 0.5}[id%2] / 35
		if got < 0.95*want || got > 1.05*want {
			t.Errorf("endpoint %d is reached by %.2f, want %.2f", id, got, want)
		}
	}
}

// When many endpoints left at once, their shares fell to the few after them on the ring: four times the mean.
func TestSharesOfDrainingEndpointsFallToAll(t *testing.T) {
	s := settings()
	s.Instances = 80
	parts := map[EndpointID]float64{}
	for i := range s.Instances {
		s.Ordinal = i
		f := start(t, s, 20)
		for id := EndpointID(5); id <= 14; id++ {
			f.list(ListEntry{Endpoint: id, State: EndpointDraining, Weight: 1})
		}
		for _, e := range f.b.listed {
			parts[e.id] += e.subsetWeight
		}
	}
	for id, got := range parts {
		want := 16.0
		if id >= 5 && id <= 14 {
			want = 0
		}
		if got < want-0.01 || got > want+0.01 {
			t.Errorf("endpoint %d is reached by %.2f instances' parts, want %.0f", id, got, want)
		}
	}
}

// A subset by ids holds its endpoints through releases and losses: it moves no other's place, grows while most of
// it are ejected, is given up for tiles when the list gets short, and comes back.
func TestSubsetsByIDs(t *testing.T) {
	const n, instances = 2000, 40 // 150 each
	s := settings()
	s.Instances, s.Ordinal = instances, 7
	f := start(t, s, n)
	verify(t, f.b, f.now)
	if size := len(f.b.subset.members); !f.b.subset.byHash || size < 100 || size > 200 {
		t.Fatalf("by ids %v, %d endpoints", f.b.subset.byHash, size)
	}
	subsetMovesNoOthers(t, f, n)
	subsetGrowsWhileEjected(t, f)
	subsetIsTiledWhileFew(t, f)
}

// subsetIDs are the endpoints of the subset, of which it must have all of the weight.
func (f *fixture) subsetIDs() map[EndpointID]bool {
	f.t.Helper()
	ids := map[EndpointID]bool{}
	for id, part := range f.b.Subset() {
		if part != 1 {
			f.t.Fatalf("endpoint %d: a part of %v", id, part)
		}
		ids[id] = true
	}
	return ids
}

// subsetMovesNoOthers replaces some endpoints of the subset, of n that there are.
func subsetMovesNoOthers(t *testing.T, f *fixture, n int) {
	t.Helper()
	before := f.subsetIDs()
	for i := range 50 {
		out := f.b.subset.members[i].id
		f.list(ListEntry{Endpoint: out, State: EndpointRemoved})
		f.list(ListEntry{Endpoint: EndpointID(n + 1 + i), Weight: 1})
		delete(before, out)
		verify(t, f.b, f.now)
	}
	for id := range f.subsetIDs() {
		if int(id) <= n && !before[id] {
			t.Fatalf("endpoint %d came by others' leaving", id)
		}
		delete(before, id)
	}
	if len(before) > 0 {
		t.Fatalf("%v went by others' leaving", before)
	}
}

// subsetGrowsWhileEjected ejects two thirds of the subset, and brings them back.
func subsetGrowsWhileEjected(t *testing.T, f *fixture) {
	t.Helper()
	b := f.b
	size := len(b.subset.members)
	for _, e := range slices.Clone(b.subset.members) {
		if e.id%3 > 0 {
			b.eject(f.now, e, "test")
			b.refreshPools(f.now, e)
		}
	}
	b.subset.stale = true
	if verify(t, b, f.now); len(b.subset.members) < size*3/2 || b.subset.share.Widening != 2 {
		t.Fatalf("%d endpoints after two thirds of %d were ejected", len(b.subset.members), size)
	}
	for _, e := range b.listed {
		if e.availability == ejected {
			b.startSlowStart(f.now, e, f.now)
		}
	}
	b.subset.stale = true
	if verify(t, b, f.now); len(b.subset.members) != size || b.subset.share.Widening != 1 {
		t.Fatalf("%d endpoints after the end of it, %d before", len(b.subset.members), size)
	}
}

// subsetIsTiledWhileFew removes most endpoints, and lists them again.
func subsetIsTiledWhileFew(t *testing.T, f *fixture) {
	t.Helper()
	b := f.b
	l := EndpointList{Kind: ListDelta, Version: 3}
	for _, e := range b.listed[:1500] {
		l.Entries = append(l.Entries, ListEntry{Endpoint: e.id, State: EndpointRemoved})
	}
	b.HandleEndpoints(f.now, l)
	if verify(t, b, f.now); b.subset.byHash || len(b.subset.members) > 45 {
		t.Fatalf("by ids %v with %d endpoints of %d", b.subset.byHash, len(b.subset.members), len(b.listed))
	}
	for i := range l.Entries {
		l.Entries[i].State, l.Entries[i].Weight = EndpointReady, 1
	}
	l.Version = 4
	b.HandleEndpoints(f.now, l)
	if verify(t, b, f.now); !b.subset.byHash {
		t.Fatal("not by ids again")
	}
}

// A bound on the subset holds; where all instances together do not reach every endpoint it says so, and again when
// they do.
func TestMaxSubsetSize(t *testing.T) {
	for _, most := range []int{2, 20, 100} {
		s := settings()
		s.Instances, s.Ordinal, s.MaxSubsetSize = 12, 5, most
		f := start(t, s, 3000)
		b := f.b
		verify(t, b, f.now)
		low, high := float64(most), float64(most)
		if most > hashSubsetFrom { // by ids, a size is by chance
			low, high = 0.84*low-3*math.Sqrt(low), high+3*math.Sqrt(high)
		}
		if n := float64(len(b.subset.members)); n < low || n > high+1 {
			t.Errorf("%v endpoints, %d at most", n, most)
		}
		if !strings.Contains(strings.Join(f.logs, "; "), fmt.Sprintf("reach at most %d of 3000", 12*most)) {
			t.Errorf("%d at most: nothing logged: %q", most, f.logs)
		}
		l := EndpointList{Kind: ListDelta, Version: 2}
		for id := EndpointID(12*most + 1); id <= 3000; id++ {
			l.Entries = append(l.Entries, ListEntry{Endpoint: id, State: EndpointRemoved})
		}
		b.HandleEndpoints(f.now, l)
		if verify(t, b, f.now); !strings.Contains(strings.Join(f.logs, "; "), fmt.Sprintf("reach all %d endpoints", 12*most)) {
			t.Errorf("%d at most: nothing logged of its end: %q", most, f.logs)
		}
	}
	s := settings()
	s.MaxSubsetSize = -1
	if _, err := New(s, 1, nil); err == nil || !strings.Contains(err.Error(), "subsetMost") {
		t.Errorf("a bound below 0: %v", err)
	}
}

// tier is all instances of a tier, known by numbers.
type tier struct {
	t         *testing.T
	instances []*fixture
	members   []uint64
}

func newTier(t *testing.T, instances, endpoints int) *tier {
	t.Helper()
	all := &tier{t: t}
	s := settings()
	s.Instances = instances
	for i := range instances {
		s.Ordinal = i
		all.instances = append(all.instances, start(t, s, endpoints))
		all.members = append(all.members, uint64(i)<<40+7)
	}
	return all
}

// regroup has some instances know that they are all there are.
func (x *tier) regroup(alive []int) {
	x.t.Helper()
	g := InstanceGroup{Instances: len(alive)}
	for _, i := range alive {
		g.Members = append(g.Members, x.members[i])
	}
	for ordinal, i := range alive {
		f := x.instances[i]
		g.Ordinal, g.Self = ordinal, x.members[i]
		if err := f.b.UpdateGroup(f.now, g); err != nil {
			x.t.Fatal(err)
		}
		verify(x.t, f.b, f.now)
	}
}

// called are the endpoints that some instances call.
func (x *tier) called(alive ...int) map[EndpointID]bool {
	ids := map[EndpointID]bool{}
	for _, i := range alive {
		for id := range x.instances[i].b.Subset() {
			ids[id] = true
		}
	}
	return ids
}

// Endpoints that the dead alone called are called again once the rest are in a new group, and hardly any others move.
func TestGroupUpdateLeavesNoEndpointUncalled(t *testing.T) {
	const instances, endpoints = 20, 600
	all := newTier(t, instances, endpoints)
	var everybody []int
	for i := range instances {
		everybody = append(everybody, i)
	}
	all.regroup(everybody)
	before := all.called(3)
	all.regroup(slices.Delete(slices.Clone(everybody), 11, 12))
	after := all.called(3)
	lost := 0
	for id := range before {
		if !after[id] {
			lost++
		}
	}
	if n := len(after); lost > 0 || n > len(before)+endpoints/instances/2 {
		t.Errorf("one of %d went: another lost %d of its %d endpoints, and has %d", instances, lost, len(before), n)
	}
	alive := []int{0, 3, 7, 8, 13, 19}
	if len(all.called(alive...)) == endpoints {
		t.Error("seven in ten died, and no endpoint was without calls: the test shows nothing")
	}
	all.regroup(alive)
	if n := endpoints - len(all.called(alive...)); n > 0 {
		t.Errorf("%d endpoints are called by nobody", n)
	}
}
