package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Churn is a kind of change of the endpoint list under which schemes are measured.
type Churn struct {
	Name string
	// steps returns the endpoints that are removed and added at each step, for a list of IDs. It may modify the list.
	steps func(ids []uint32, random *rand.Rand) []churnStep
}

// churnStep holds the endpoints that are removed and added at once.
type churnStep struct{ removed, added []uint32 }

// Churns are the measured changes: a release that replaces 2% of the endpoints one at a time, the loss of a third at once, and 2% of new
// endpoints that are added one at a time.
var Churns = []Churn{
	{"2% replaced, one at a time", func(ids []uint32, random *rand.Rand) (steps []churnStep) {
		for range max(1, len(ids)/50) {
			i := random.IntN(len(ids))
			added := random.Uint32()
			steps = append(steps, churnStep{removed: []uint32{ids[i]}, added: []uint32{added}})
			ids[i] = added
		}
		return steps
	}},
	{"a third lost at once", func(ids []uint32, random *rand.Rand) []churnStep {
		random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
		return []churnStep{{removed: ids[:len(ids)/3]}}
	}},
	{"2% more, one at a time", func(ids []uint32, random *rand.Rand) (steps []churnStep) {
		for range max(1, len(ids)/50) {
			steps = append(steps, churnStep{added: []uint32{random.Uint32()}})
		}
		return steps
	}},
}

// SubsetFigures are the figures measured for a scheme under a change.
type SubsetFigures struct {
	Scheme, Change string
	// Moved is the number of additions of an endpoint to the subset of an instance, over all steps, per endpoint that was added or
	// removed. The minimum is the number of instances that call an endpoint: for each endpoint that was added and, if subsets keep their
	// size, for each that was removed.
	Moved float64
	// MinInstances and MaxInstances are the smallest and the largest number of instances that call an endpoint at the end.
	MinInstances, MaxInstances int
	// Load is the maximum load of an endpoint and LoadP99 the 99% quantile, both over the mean, if all instances send equally many calls.
	Load, LoadP99 float64
	// Spread is the size of the largest subset over the mean size.
	Spread float64
}

// MeasureSubsets applies a change to a scheme with a number of endpoints and instances, and returns the figures. The same seed gives the
// same figures. It returns an error for an unknown scheme.
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
		scheme.update(step.removed, step.added)
		changed += max(len(step.removed), len(step.added))
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

// drawEndpoints draws distinct IDs, and returns them as a list and as a set.
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

// countNew returns the number of endpoints of a subset that were not in the previous one.
func countNew(next, before map[uint32]float64) (count int) {
	for id := range next {
		if _, had := before[id]; !had {
			count++
		}
	}
	return count
}

// apply applies the step to the set of present endpoints.
func (s *churnStep) apply(present map[uint32]bool) {
	for _, id := range s.removed {
		delete(present, id)
	}
	for _, id := range s.added {
		present[id] = true
	}
}

// measure returns the figures of the final subsets.
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
