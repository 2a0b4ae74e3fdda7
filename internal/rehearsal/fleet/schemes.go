package fleet

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"quincegap/internal/structures/rendezvous"
)

// subsetting distributes endpoints over instances. All endpoints have the same weight.
type subsetting interface {
	// update changes the list.
	update(gone, come []uint32)
	// subset returns the endpoints of an instance, each with the share of the instance's calls that it gets.
	subset(instance int) map[uint32]float64
}

// SubsettingSchemes are the names of the schemes that can be measured.
var SubsettingSchemes = []string{"module", "tiles", "shuffled", "arcs", "bounded"}

// instancesPerEndpoint is how many instances call each endpoint, in every scheme.
const instancesPerEndpoint = 3

// newScheme returns a scheme by its name, without endpoints.
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
		return &boundedRing{instances: instances}, nil
	}
	return nil, fmt.Errorf("no scheme %q", name)
}

// sortedEndpoints are the ids of the list in their order.
type sortedEndpoints struct{ ids []uint32 }

// update removes some ids and adds others.
func (s *sortedEndpoints) update(gone, come []uint32) {
	removed := map[uint32]bool{}
	for _, id := range gone {
		removed[id] = true
	}
	s.ids = slices.DeleteFunc(s.ids, func(id uint32) bool { return removed[id] })
	s.ids = append(s.ids, come...)
	slices.Sort(s.ids)
}

// tiling gives each instance an interval of a ring of all endpoints, by ordinal, with exact bounds.
type tiling struct {
	sortedEndpoints
	instances int
}

// subset returns the interval of an instance; the endpoints at its ends may get a part of a share.
func (t *tiling) subset(instance int) map[uint32]float64 {
	count := float64(len(t.ids))
	need := min(instancesPerEndpoint*count/float64(t.instances), count)
	_, begin := math.Modf(float64(instance) * instancesPerEndpoint / float64(t.instances))
	begin *= count
	shares := map[uint32]float64{}
	free := 1 - (begin - math.Floor(begin)) // the part of the next endpoint that is in the interval
	for next, left := int(begin), need; left > 1e-9; next++ {
		share := min(free, left)
		shares[t.ids[next%len(t.ids)]] += share / need
		left -= share
		free = 1
	}
	return shares
}

// shuffling is deterministic subsetting: Site Reliability Engineering (O'Reilly, 2016), chapter 20. In each round the list is shuffled
// anew, and divided among the instances of that round.
type shuffling struct {
	sortedEndpoints
	instances int
}

// subset returns the instance's part of the list as its round has it.
func (s *shuffling) subset(i int) map[uint32]float64 {
	size := max(1, (instancesPerEndpoint*len(s.ids)+s.instances-1)/s.instances)
	subsets := max(1, len(s.ids)/size)
	list := slices.Clone(s.ids)
	rand.New(rand.NewPCG(uint64(i/subsets), 1)).Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	shares := map[uint32]float64{}
	for _, id := range list[i%subsets*size:][:size] {
		shares[id] = 1 / float64(size)
	}
	return shares
}

// ringArcs puts each endpoint at a point of a circle, by its hash, and gives each instance an arc, by its ordinal.
type ringArcs struct {
	sortedEndpoints
	instances int
}

// subset returns the endpoints on the arc of an instance.
func (r *ringArcs) subset(i int) map[uint32]float64 {
	shares := map[uint32]float64{}
	_, from := math.Modf(float64(i) * instancesPerEndpoint / float64(r.instances))
	for _, id := range r.ids {
		off := float64(rendezvous.Mix(uint64(id)))/math.MaxUint64 - from
		if off < 0 {
			off++
		}
		if off < instancesPerEndpoint/float64(r.instances) {
			shares[id] = 1
		}
	}
	for id := range shares {
		shares[id] = 1 / float64(len(shares))
	}
	return shares
}

// boundedRing is consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam: SODA 2018): each endpoint goes to the first
// instances on a ring that have less than an eighth more than their share.
type boundedRing struct {
	sortedEndpoints
	instances int
	subsets   []map[uint32]float64 // by instance; nil until they are assigned
}

// update changes the list, and drops the assignment.
func (b *boundedRing) update(gone, come []uint32) {
	b.sortedEndpoints.update(gone, come)
	b.subsets = nil
}

// subset returns the endpoints of an instance, in equal shares.
func (b *boundedRing) subset(i int) map[uint32]float64 {
	if b.subsets == nil {
		b.assign()
	}
	shares := map[uint32]float64{}
	for id := range b.subsets[i] {
		shares[id] = 1 / float64(len(b.subsets[i]))
	}
	return shares
}

// pointsPerInstance is how many points of the ring an instance has.
const pointsPerInstance = 50

// ringPoint is a point of the ring, by hash.
type ringPoint struct {
	at       uint64
	instance int
}

// assign assigns each endpoint, in the order of their hashes, to the next instances on the ring that have capacity.
func (b *boundedRing) assign() {
	var ring []ringPoint
	b.subsets = nil
	for i := range b.instances {
		b.subsets = append(b.subsets, map[uint32]float64{})
		for k := range pointsPerInstance {
			ring = append(ring, ringPoint{rendezvous.Mix(uint64(i)<<32 | uint64(k)), i})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	capacity := int(math.Ceil(1.125 * instancesPerEndpoint * float64(len(b.ids)) / float64(b.instances)))
	order := slices.Clone(b.ids)
	slices.SortFunc(order, func(a, b uint32) int { return cmp.Compare(rendezvous.Mix(uint64(a)), rendezvous.Mix(uint64(b))) })
	for _, id := range order {
		for k := range instancesPerEndpoint {
			b.assignOne(ring, capacity, id, rendezvous.Mix(uint64(id)|uint64(k+1)<<40))
		}
	}
}

// assignOne assigns an endpoint to the first instance, from a point of the ring on, that has capacity and does not have the endpoint.
func (b *boundedRing) assignOne(ring []ringPoint, capacity int, id uint32, at uint64) {
	from, _ := slices.BinarySearchFunc(ring, at, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	for step := range ring {
		subset := b.subsets[ring[(from+step)%len(ring)].instance]
		if _, has := subset[id]; !has && len(subset) < capacity {
			subset[id] = 1
			return
		}
	}
}
