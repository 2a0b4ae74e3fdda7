package fleet

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"quincegap/internal/structures/rendezvous"
)

// subsetting is a scheme that assigns endpoints to instances. All endpoints have the same weight.
type subsetting interface {
	// update removes endpoints from the list and adds others.
	update(removed, added []uint32)
	// subset returns the endpoints of an instance, each with the share of the instance's calls that it gets.
	subset(instance int) map[uint32]float64
}

// SubsettingSchemes are the names of the schemes that can be measured.
var SubsettingSchemes = []string{"module", "tiles", "shuffled", "arcs", "bounded"}

// instancesPerEndpoint is the number of instances that should call each endpoint, in every scheme.
const instancesPerEndpoint = 3

// newScheme returns the scheme with a name, without endpoints, or an error if there is none.
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
	return nil, fmt.Errorf("unknown subsetting scheme %q", name)
}

// sortedEndpoints is the endpoint list, as IDs in ascending order.
type sortedEndpoints struct{ ids []uint32 }

// update removes some IDs and adds others.
func (s *sortedEndpoints) update(removed, added []uint32) {
	isRemoved := map[uint32]bool{}
	for _, id := range removed {
		isRemoved[id] = true
	}
	s.ids = slices.DeleteFunc(s.ids, func(id uint32) bool { return isRemoved[id] })
	s.ids = append(s.ids, added...)
	slices.Sort(s.ids)
}

// tiling gives each instance an interval of the ring of all endpoints. The ordinal of the instance determines the exact bounds, which
// may split an endpoint.
type tiling struct {
	sortedEndpoints
	instances int
}

// subset returns the endpoints in the interval of an instance. Those at its ends may get only a part of a full share.
func (t *tiling) subset(instance int) map[uint32]float64 {
	count := float64(len(t.ids))
	need := min(instancesPerEndpoint*count/float64(t.instances), count)
	_, begin := math.Modf(float64(instance) * instancesPerEndpoint / float64(t.instances))
	begin *= count
	shares := map[uint32]float64{}
	free := 1 - (begin - math.Floor(begin)) // part of the next endpoint that is in the interval
	for next, left := int(begin), need; left > 1e-9; next++ {
		share := min(free, left)
		shares[t.ids[next%len(t.ids)]] += share / need
		left -= share
		free = 1
	}
	return shares
}

// shuffling is deterministic subsetting, as in Site Reliability Engineering (O'Reilly, 2016), chapter 20. Each round of instances
// shuffles the list with its own seed, and divides it among its instances.
type shuffling struct {
	sortedEndpoints
	instances int
}

// subset returns the instance's part of the list that its round has shuffled.
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

// ringArcs places each endpoint at a point of a circle by its hash, and gives each instance an arc of the circle by its ordinal.
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

// boundedRing is consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam: SODA 2018): each endpoint is assigned to the
// first instances on a ring whose subsets are below the capacity, which is an eighth more than the mean.
type boundedRing struct {
	sortedEndpoints
	instances int
	subsets   []map[uint32]float64 // subsets by instance; nil until they are assigned
}

// update changes the list and discards the assignment.
func (b *boundedRing) update(removed, added []uint32) {
	b.sortedEndpoints.update(removed, added)
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

// pointsPerInstance is the number of points that each instance has on the ring.
const pointsPerInstance = 50

// ringPoint is a point of an instance on the ring.
type ringPoint struct {
	at       uint64 // position on the ring, a hash
	instance int
}

// assign assigns each endpoint, in the order of the hashes, to instances on the ring that have capacity left.
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

// assignOne assigns an endpoint to the first instance, from a point of the ring on, that has capacity left and doesn't have the endpoint.
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
