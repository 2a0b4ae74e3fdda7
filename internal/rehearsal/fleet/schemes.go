package fleet

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"quincegap/internal/structures/rendezvous"
)

// subsetting shares endpoints out among instances. Its endpoints are all alike.
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
		return &boundedRing{sortedEndpoints: sortedEndpoints{}, instances: instances}, nil
	}
	return nil, fmt.Errorf("no scheme %q", name)
}

// sortedEndpoints are the ids of the list in their order.
type sortedEndpoints struct{ ids []uint32 }

// update takes some ids out and adds others.
func (s *sortedEndpoints) update(gone, come []uint32) {
	lost := map[uint32]bool{}
	for _, id := range gone {
		lost[id] = true
	}
	s.ids = slices.DeleteFunc(s.ids, func(id uint32) bool { return lost[id] })
	s.ids = append(s.ids, come...)
	slices.Sort(s.ids)
}

// tiling gives each instance a stretch of a ring of all endpoints, by ordinal, kept to exactly.
type tiling struct {
	sortedEndpoints
	instances int
}

// subset returns the stretch of an instance; the endpoints at its ends may get a part of a share.
func (t *tiling) subset(instance int) map[uint32]float64 {
	count := float64(len(t.ids))
	need := min(instancesPerEndpoint*count/float64(t.instances), count)
	_, begin := math.Modf(float64(instance) * instancesPerEndpoint / float64(t.instances))
	begin *= count
	shares := map[uint32]float64{}
	free := 1 - (begin - math.Floor(begin)) // what is free of the next endpoint
	for next, left := int(begin), need; left > 1e-9; next++ {
		share := min(free, left)
		shares[t.ids[next%len(t.ids)]] += share / need
		left -= share
		free = 1
	}
	return shares
}

// shuffling is deterministic subsetting: Site Reliability Engineering (O'Reilly, 2016), chapter 20. In each round
// the list is shuffled anew, and the instances of that round share it out.
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

// ringArcs has each endpoint at a point of a circle, by its hash, and each instance an arc of it, by its ordinal.
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

// boundedRing is consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam: SODA 2018): each endpoint
// goes to the first instances, on a ring of them, that have not got an eighth more than their share yet.
type boundedRing struct {
	sortedEndpoints
	instances int
	subsets   []map[uint32]float64
}

// update forgets the assignment, too.
func (s *boundedRing) update(gone, come []uint32) {
	s.sortedEndpoints.update(gone, come)
	s.subsets = nil
}

// subset returns the endpoints of an instance, in equal shares.
func (s *boundedRing) subset(i int) map[uint32]float64 {
	if s.subsets == nil {
		s.assign()
	}
	shares := map[uint32]float64{}
	for id := range s.subsets[i] {
		shares[id] = 1 / float64(len(s.subsets[i]))
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

// assign gives each endpoint, in the order of their hashes, to the next instances on the ring that have room.
func (s *boundedRing) assign() {
	var ring []ringPoint
	s.subsets = nil
	for i := range s.instances {
		s.subsets = append(s.subsets, map[uint32]float64{})
		for k := range pointsPerInstance {
			ring = append(ring, ringPoint{rendezvous.Mix(uint64(i)<<32 | uint64(k)), i})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	room := int(math.Ceil(1.125 * instancesPerEndpoint * float64(len(s.ids)) / float64(s.instances)))
	order := slices.Clone(s.ids)
	slices.SortFunc(order, func(a, b uint32) int { return cmp.Compare(rendezvous.Mix(uint64(a)), rendezvous.Mix(uint64(b))) })
	for _, id := range order {
		for k := range instancesPerEndpoint {
			s.assignOne(ring, room, id, rendezvous.Mix(uint64(id)|uint64(k+1)<<40))
		}
	}
}

// assignOne gives an endpoint to the first instance from a point of the ring on that has room and has not got it.
func (s *boundedRing) assignOne(ring []ringPoint, room int, id uint32, at uint64) {
	from, _ := slices.BinarySearchFunc(ring, at, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	for step := range ring {
		subset := s.subsets[ring[(from+step)%len(ring)].instance]
		if _, has := subset[id]; !has && len(subset) < room {
			subset[id] = 1
			return
		}
	}
}
