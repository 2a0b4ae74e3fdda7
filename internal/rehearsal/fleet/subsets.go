// Package fleet measures how large fleets are shared out and served, in virtual
// time: subsets of endpoints under change, and the load that a day's requests
// come to. It does no I/O; the same seed gives the same figures.
package fleet

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/structures/rendezvous"
)

// A scheme shares endpoints out among instances. Its endpoints are all alike.
type subsetting interface {
	// update changes the list.
	update(gone, come []uint32)
	// subset gives an instance's endpoints, each with the share of the instance's calls that it gets.
	subset(instance int) map[uint32]float64
}

// SubsettingSchemes are those that can be measured, by name.
var SubsettingSchemes = []string{"module", "tiles", "shuffled", "arcs", "bounded"}

// instancesPerEndpoint is how many instances call each endpoint, in every scheme.
const instancesPerEndpoint = 3

func newScheme(name string, instances int) (subsetting, error) {
	switch name {
	case "module":
		return newModules(instances)
	case "tiles":
		return &tiling{sortedEndpoints{}, instances}, nil
	case "shuffled":
		return &shuffling{sortedEndpoints{}, instances}, nil
	case "arcs":
		return &ringArcs{sortedEndpoints{}, instances}, nil
	case "bounded":
		return &boundedRing{sortedEndpoints: sortedEndpoints{}, instances: instances}, nil
	}
	return nil, fmt.Errorf("no scheme %q", name)
}

// balancerModules are instances of the decision module.
type balancerModules struct {
	all []*balancer.Balancer
	now time.Duration
}

// silentHost is a host that does nothing.
type silentHost struct{}

func (silentHost) Send(balancer.RequestID, balancer.EndpointID, time.Duration) {}
func (silentHost) Reject(balancer.RequestID, time.Duration)                    {}
func (silentHost) Fail(balancer.RequestID)                                     {}
func (silentHost) Cancel(balancer.RequestID, int)                              {}
func (silentHost) SetTimer(uint64, time.Duration)                              {}
func (silentHost) HealthCheck(balancer.EndpointID)                             {}
func (silentHost) SendToPeer(int, []byte)                                      {}
func (silentHost) WatchEndpoints(bool)                                         {}
func (silentHost) FetchEndpoints()                                             {}
func (silentHost) CloseIdleConnections(balancer.EndpointID)                    {}
func (silentHost) Log(string)                                                  {}

func newModules(instances int) (*balancerModules, error) {
	m := &balancerModules{now: time.Hour}
	for i := range instances {
		b, err := balancer.New(balancer.Settings{
			Instances: instances, Ordinal: i,
			Classes: []balancer.Class{{Name: "a", Idempotency: balancer.Idempotent, LatencyTarget: time.Second, Deadline: time.Second}},
		}, uint64(i), silentHost{})
		if err != nil {
			return nil, err
		}
		m.all = append(m.all, b)
	}
	return m, nil
}

func (m *balancerModules) update(gone, come []uint32) {
	var l balancer.EndpointList
	for _, id := range gone {
		l.Entries = append(l.Entries, balancer.ListEntry{Endpoint: balancer.EndpointID(id), State: balancer.EndpointRemoved})
	}
	for _, id := range come {
		l.Entries = append(l.Entries, balancer.ListEntry{Endpoint: balancer.EndpointID(id), Weight: 1})
	}
	m.now += time.Second
	for _, b := range m.all {
		b.HandleEndpoints(m.now, l)
	}
}

func (m *balancerModules) subset(i int) map[uint32]float64 {
	s, sum := map[uint32]float64{}, 0.0
	for id, part := range m.all[i].Subset() {
		s[uint32(id)] = part
		sum += part
	}
	for id := range s {
		s[id] /= sum
	}
	return s
}

// sortedEndpoints are the ids of the list in their order.
type sortedEndpoints struct{ ids []uint32 }

func (s *sortedEndpoints) update(gone, come []uint32) {
	lost := map[uint32]bool{}
	for _, id := range gone {
		lost[id] = true
	}
	s.ids = slices.DeleteFunc(s.ids, func(id uint32) bool { return lost[id] })
	s.ids = append(s.ids, come...)
	slices.Sort(s.ids)
}

// tiling are stretches of a ring of all, by ordinal, kept to exactly.
type tiling struct {
	sortedEndpoints
	instances int
}

func (t *tiling) subset(i int) map[uint32]float64 {
	n := float64(len(t.ids))
	need := min(instancesPerEndpoint*n/float64(t.instances), n)
	_, at := math.Modf(float64(i) * instancesPerEndpoint / float64(t.instances))
	at *= n
	got, first := map[uint32]float64{}, 1-(at-math.Floor(at))
	for k, left := int(at), need; left > 1e-9; k++ {
		take := min(first, left)
		got[t.ids[k%len(t.ids)]] += take / need
		left, first = left-take, 1
	}
	return got
}

// shuffling is deterministic subsetting: Site Reliability Engineering (O'Reilly, 2016), chapter 20. In each round
// the list is shuffled anew, and the instances of that round share it out.
type shuffling struct {
	sortedEndpoints
	instances int
}

func (s *shuffling) subset(i int) map[uint32]float64 {
	size := max(1, (instancesPerEndpoint*len(s.ids)+s.instances-1)/s.instances)
	subsets := max(1, len(s.ids)/size)
	list := slices.Clone(s.ids)
	rand.New(rand.NewPCG(uint64(i/subsets), 1)).Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	got := map[uint32]float64{}
	for _, id := range list[i%subsets*size:][:size] {
		got[id] = 1 / float64(size)
	}
	return got
}

// ringArcs have each endpoint at a point of a circle, by its hash, and each instance an arc of it, by its ordinal.
type ringArcs struct {
	sortedEndpoints
	instances int
}

func (r *ringArcs) subset(i int) map[uint32]float64 {
	got := map[uint32]float64{}
	_, from := math.Modf(float64(i) * instancesPerEndpoint / float64(r.instances))
	for _, id := range r.ids {
		off := float64(rendezvous.Mix(uint64(id)))/math.MaxUint64 - from
		if off < 0 {
			off++
		}
		if off < instancesPerEndpoint/float64(r.instances) {
			got[id] = 1
		}
	}
	for id := range got {
		got[id] = 1 / float64(len(got))
	}
	return got
}

// boundedRing is consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam: SODA 2018): each endpoint
// goes to the first instances, on a ring of them, that have not got an eighth more than their share yet.
type boundedRing struct {
	sortedEndpoints
	instances int
	subsets   []map[uint32]float64
}

func (s *boundedRing) update(gone, come []uint32) {
	s.sortedEndpoints.update(gone, come)
	s.subsets = nil
}

func (s *boundedRing) subset(i int) map[uint32]float64 {
	if s.subsets == nil {
		s.assign()
	}
	got := map[uint32]float64{}
	for id := range s.subsets[i] {
		got[id] = 1 / float64(len(s.subsets[i]))
	}
	return got
}

func (s *boundedRing) assign() {
	type point struct {
		at       uint64
		instance int
	}
	const points = 50 // of each instance
	var ring []point
	s.subsets = nil
	for i := range s.instances {
		s.subsets = append(s.subsets, map[uint32]float64{})
		for k := range points {
			ring = append(ring, point{rendezvous.Mix(uint64(i)<<32 | uint64(k)), i})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	most := int(math.Ceil(1.125 * instancesPerEndpoint * float64(len(s.ids)) / float64(s.instances)))
	order := slices.Clone(s.ids)
	slices.SortFunc(order, func(a, b uint32) int { return cmp.Compare(rendezvous.Mix(uint64(a)), rendezvous.Mix(uint64(b))) })
	for _, id := range order {
		for k := range instancesPerEndpoint {
			at := rendezvous.Mix(uint64(id) | uint64(k+1)<<40)
			from, _ := slices.BinarySearchFunc(ring, at, func(p point, at uint64) int { return cmp.Compare(p.at, at) })
			for step := range ring {
				g := s.subsets[ring[(from+step)%len(ring)].instance]
				if _, has := g[id]; !has && len(g) < most {
					g[id] = 1
					break
				}
			}
		}
	}
}

// A Change is one of what the schemes are measured under.
type Churn struct {
	Name string
	// Each step takes some away and adds some, by the ids that are there.
	steps func(ids []uint32, rng *rand.Rand) [][2][]uint32
}

// Churns are: a release that replaces a share of the endpoints one at a time, the loss of a third at once, and as many
// again coming one at a time.
var Churns = []Churn{
	{"2% replaced, one at a time", func(ids []uint32, rng *rand.Rand) (steps [][2][]uint32) {
		for range max(1, len(ids)/50) {
			i := rng.IntN(len(ids))
			come := rng.Uint32()
			steps = append(steps, [2][]uint32{{ids[i]}, {come}})
			ids[i] = come
		}
		return steps
	}},
	{"a third lost at once", func(ids []uint32, rng *rand.Rand) [][2][]uint32 {
		rng.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
		return [][2][]uint32{{ids[:len(ids)/3], nil}}
	}},
	{"2% more, one at a time", func(ids []uint32, rng *rand.Rand) (steps [][2][]uint32) {
		for range max(1, len(ids)/50) {
			steps = append(steps, [2][]uint32{nil, {rng.Uint32()}})
		}
		return steps
	}},
}

// SubsetFigures are what a scheme comes to under a change.
type SubsetFigures struct {
	Scheme, Change string
	// Moved is how many endpoints came into the subset of some instance, over all steps, for each endpoint that
	// came or went. No scheme can do with fewer than callers for each that came, and for each that went where
	// subsets stay as large as they are.
	Moved float64
	// MinInstances and Most are how many instances reach an endpoint at the end.
	MinInstances, MaxInstances int
	// Load is what the endpoint with most gets, and the one that 99 in 100 stay under, over the mean, when all
	// instances are sent the same.
	Load, LoadP99 float64
	// Spread is the size of the largest subset over the mean.
	Spread float64
}

// MeasureSubsets plays a change.
func MeasureSubsets(name string, c Churn, endpoints, instances int, seed uint64) (f SubsetFigures, err error) {
	s, err := newScheme(name, instances)
	if err != nil {
		return f, err
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	have := map[uint32]bool{}
	var ids []uint32
	for len(ids) < endpoints {
		if id := rng.Uint32(); !have[id] && id > 0 {
			have[id] = true
			ids = append(ids, id)
		}
	}
	s.update(nil, ids)
	before := make([]map[uint32]float64, instances)
	for i := range before {
		before[i] = s.subset(i)
	}
	moved, changed := 0, 0
	for _, step := range c.steps(slices.Clone(ids), rng) {
		s.update(step[0], step[1])
		changed += max(len(step[0]), len(step[1]))
		for i := range before {
			now := s.subset(i)
			for id := range now {
				if _, had := before[i][id]; !had {
					moved++
				}
			}
			before[i] = now
		}
		for _, id := range step[0] {
			delete(have, id)
		}
		for _, id := range step[1] {
			have[id] = true
		}
	}
	f = SubsetFigures{Scheme: name, Change: c.Name, Moved: float64(moved) / float64(changed), MinInstances: math.MaxInt}
	reach, load, total := map[uint32]int{}, map[uint32]float64{}, 0
	largest := 0
	for _, got := range before {
		for id, part := range got {
			reach[id]++
			load[id] += part
		}
		total += len(got)
		largest = max(largest, len(got))
	}
	var loads []float64
	for id := range have {
		f.MinInstances, f.MaxInstances = min(f.MinInstances, reach[id]), max(f.MaxInstances, reach[id])
		loads = append(loads, load[id]*float64(len(have))/float64(instances))
	}
	slices.Sort(loads)
	f.Load, f.LoadP99 = loads[len(loads)-1], loads[(len(loads)-1)*99/100]
	f.Spread = float64(largest) * float64(instances) / float64(total)
	return f, nil
}
