package weightedsample

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// naive is a reference implementation of Sampler: a map of weights by slot, which are summed for each total.
type naive map[int]float64

func (n naive) total() (sum float64) {
	for _, weight := range n {
		sum += weight
	}
	return sum
}

// set sets the weight of a slot. A weight that is negative or NaN counts as 0.
func (n naive) set(slot int, weight float64) {
	n[slot] = 0
	if weight > 0 {
		n[slot] = weight
	}
}

// applyRandomChange applies the same random change to a sampler and to the reference implementation.
func applyRandomChange(t *rapid.T, sampler *Sampler, all naive) {
	weights := rapid.SampledFrom([]float64{0, 0, 1, 0.3, 1e-12, 1e12, -1, math.NaN(), 7})
	slots := slices.Sorted(maps.Keys(all))
	switch event := rapid.IntRange(0, 3).Draw(t, "event"); {
	case event == 0 || len(slots) == 0:
		weight := weights.Draw(t, "weight")
		slot := sampler.Add(weight)
		if _, inUse := all[slot]; inUse {
			t.Fatalf("Add returned slot %d, which is already in use", slot)
		}
		all.set(slot, weight)
	case event == 1:
		slot := rapid.SampledFrom(slots).Draw(t, "slot")
		sampler.Remove(slot)
		delete(all, slot)
	default:
		slot, weight := rapid.SampledFrom(slots).Draw(t, "slot"), weights.Draw(t, "weight")
		sampler.Set(slot, weight)
		all.set(slot, weight)
	}
}

// checkDraws draws with several values of x, and checks that no slot of weight 0 is drawn.
func checkDraws(t *rapid.T, sampler *Sampler, all naive) {
	t.Helper()
	for _, x := range []float64{0, 0.5, math.Nextafter(1, 0), rapid.Float64Range(0, 0.999).Draw(t, "x")} {
		slot, ok := sampler.Draw(x)
		if ok != (all.total() > 0) || ok && !(all[slot] > 0) {
			t.Fatalf("Draw(%v): got %d, %v, want a slot with a weight above 0 and true, or false if there is none; weights %v", x, slot, ok, all)
		}
	}
	first, second, ok := sampler.DrawTwo(rapid.Float64Range(0, 0.999).Draw(t, "y"), 0.7)
	if ok && (first == second || second >= 0 && !(all[second] > 0) || sampler.Weight(first) != all[first]) {
		t.Fatalf("DrawTwo: got %d and %d, want different slots with weights above 0 (or -1 second), and unchanged weights %v", first, second, all)
	}
}

// After any changes, the total and the weights agree with the reference implementation, no slot is used twice, and no slot of
// weight 0 is drawn.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var sampler Sampler
		all := naive{}
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			applyRandomChange(rt, &sampler, all)
			want := all.total()
			if got := sampler.Total(); math.Abs(got-want) > 1e-9*want {
				rt.Fatalf("total weight: got %g, want %g", got, want)
			}
			for slot, weight := range all {
				if sampler.Weight(slot) != weight {
					rt.Fatalf("weight of slot %d: got %g, want %g", slot, sampler.Weight(slot), weight)
				}
			}
			checkDraws(rt, &sampler, all)
		}
	})
}

// The distributions of the first and of the second draw match the weights, by a chi-square test with a fixed seed.
func TestDistribution(t *testing.T) {
	weights := []float64{1, 2, 0, 5, 0.5, 100, 3, 3, 0, 7, 1, 12}
	var sampler Sampler
	total := 0.0
	for _, weight := range weights {
		sampler.Add(weight)
		total += weight
	}
	rng := rand.New(rand.NewPCG(1, 2))
	const draws = 400_000
	first, second := make([]float64, len(weights)), make([]float64, len(weights))
	for range draws {
		a, b, _ := sampler.DrawTwo(rng.Float64(), rng.Float64())
		first[a]++
		second[b]++
	}
	chiSquare := func(drawn []float64, probability func(i int) float64) (sum float64, degrees int) {
		for i, got := range drawn {
			want := draws * probability(i)
			if want == 0 {
				if got > 0 {
					t.Errorf("slot %d of weight 0 was drawn %v times, want 0", i, got)
				}
				continue
			}
			sum += (got - want) * (got - want) / want
			degrees++
		}
		return sum, degrees - 1
	}
	const limit = 29.6 // exceeded with a probability of 0.1% at 10 degrees of freedom
	if sum, degrees := chiSquare(first, func(i int) float64 { return weights[i] / total }); sum > limit || degrees != 9 {
		t.Errorf("first draw: chi-square statistic %.1f with %d degrees of freedom, want at most %.1f with 9", sum, degrees, limit)
	}
	if sum, _ := chiSquare(second, func(i int) (p float64) {
		for j, x := range weights {
			if j != i {
				p += x / total * weights[i] / (total - x)
			}
		}
		return p
	}); sum > limit {
		t.Errorf("second draw: chi-square statistic %.1f, want at most %.1f", sum, limit)
	}
	// The chi-square test rejects draws that do not match the weights.
	if sum, _ := chiSquare(first, func(i int) float64 { return 1 / float64(len(weights)-2) * min(weights[i], 1) }); sum < limit {
		t.Errorf("chi-square statistic for probabilities that do not match the weights: got %.1f, want at least %.1f", sum, limit)
	}
}

func BenchmarkDrawTwo(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s Sampler
			rng := rand.New(rand.NewPCG(1, 2))
			for range n {
				s.Add(rng.Float64())
			}
			b.ReportAllocs()
			for b.Loop() {
				i, _, _ := s.DrawTwo(rng.Float64(), rng.Float64())
				s.Set(i, rng.Float64())
			}
		})
	}
}
