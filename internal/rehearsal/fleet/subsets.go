package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Churn is a change of the list that schemes are measured under.
type Churn struct {
	Name string
	// steps returns what goes and what comes, step by step, by the ids that are there. It may change the list that it is given.
	steps func(ids []uint32, random *rand.Rand) []churnStep
}

// churnStep is the endpoints that go and that come at once.
type churnStep struct{ gone, come []uint32 }

// Churns are: a release that replaces a share of the endpoints one at a time, the loss of a third at once, and as many
// again coming one at a time.
var Churns = []Churn{
	{"2% replaced, one at a time", func(ids []uint32, random *rand.Rand) (steps []churnStep) {
		for range max(1, len(ids)/50) {
			i := random.IntN(len(ids))
			come := random.Uint32()
			steps = append(steps, churnStep{gone: []uint32{ids[i]}, come: []uint32{come}})
			ids[i] = come
		}
		return steps
	}},
	{"a third lost at once", func(ids []uint32, random *rand.Rand) []churnStep {
		random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
		return []churnStep{{gone: ids[:len(ids)/3]}}
	}},
	{"2% more, one at a time", func(ids []uint32, random *rand.Rand) (steps []churnStep) {
		for range max(1, len(ids)/50) {
			steps = append(steps, churnStep{come: []uint32{random.Uint32()}})
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

// MeasureSubsets plays a change under a scheme with so many endpoints and instances; the same seed gives the same figures. The
// error is that of an unknown scheme.
func MeasureSubsets(name string, churn Churn, endpoints, instances int, seed uint64) (SubsetFigures, error) {
	scheme, err := newScheme(name, instances)
	if err != nil {
		return SubsetFigures{}, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	ids, present := drawEndpoints(random, endpoints)
	scheme.update(nil, ids)
	subsets := make([]map[uint32]float64, instances)
	for i := range subsets {
		subsets[i] = scheme.subset(i)
	}
	moved, changed := 0, 0
	for _, step := range churn.steps(slices.Clone(ids), random) {
		scheme.update(step.gone, step.come)
		changed += max(len(step.gone), len(step.come))
		for i := range subsets {
			next := scheme.subset(i)
			moved += countNew(next, subsets[i])
			subsets[i] = next
		}
		step.apply(present)
	}
	figures := measure(subsets, present)
	figures.Scheme = name
	figures.Change = churn.Name
	figures.Moved = float64(moved) / float64(changed)
	return figures, nil
}

// drawEndpoints draws ids that differ, as a list and as a set.
func drawEndpoints(random *rand.Rand, count int) (ids []uint32, present map[uint32]bool) {
	present = map[uint32]bool{}
	for len(ids) < count {
		if id := random.Uint32(); !present[id] && id > 0 {
			present[id] = true
			ids = append(ids, id)
		}
	}
	return ids, present
}

// countNew returns how many endpoints of a subset were not in the one before.
func countNew(next, before map[uint32]float64) (count int) {
	for id := range next {
		if _, had := before[id]; !had {
			count++
		}
	}
	return count
}

// apply changes the set of endpoints that are there.
func (s *churnStep) apply(present map[uint32]bool) {
	for _, id := range s.gone {
		delete(present, id)
	}
	for _, id := range s.come {
		present[id] = true
	}
}

// measure returns how the endpoints are shared out among instances.
func measure(subsets []map[uint32]float64, present map[uint32]bool) SubsetFigures {
	figures := SubsetFigures{MinInstances: math.MaxInt}
	callers, load := map[uint32]int{}, map[uint32]float64{}
	total, largest := 0, 0
	for _, subset := range subsets {
		for id, share := range subset {
			callers[id]++
			load[id] += share
		}
		total += len(subset)
		largest = max(largest, len(subset))
	}
	instances := float64(len(subsets))
	var loads []float64
	for id := range present {
		figures.MinInstances = min(figures.MinInstances, callers[id])
		figures.MaxInstances = max(figures.MaxInstances, callers[id])
		loads = append(loads, load[id]*float64(len(present))/instances)
	}
	slices.Sort(loads)
	figures.Load = loads[len(loads)-1]
	figures.LoadP99 = loads[(len(loads)-1)*99/100]
	figures.Spread = float64(largest) * instances / float64(total)
	return figures
}
