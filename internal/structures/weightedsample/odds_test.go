package weightedsample

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// naive is the reference: a walk over all.
type naive map[int]float64

func (n naive) total() (sum float64) {
	for _, odds := range n {
		sum += odds
	}
	return sum
}

// Whatever is added, changed and removed, totals and odds are the reference's, slots are not given twice, and what
// has no odds is never drawn.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s Sampler
		all := naive{}
		slots := func() (list []int) {
			for i := range 1 << 12 {
				if _, ok := all[i]; ok {
					list = append(list, i)
				}
			}
			return list
		}
		odds := rapid.SampledFrom([]float64{0, 0, 1, 0.3, 1e-12, 1e12, -1, math.NaN(), 7})
		counts := func(x float64) float64 {
			if x > 0 {
				return x
			}
			return 0
		}
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			have := slots()
			switch event := rapid.IntRange(0, 3).Draw(rt, "event"); {
			case event == 0 || len(have) == 0:
				x := odds.Draw(rt, "odds")
				slot := s.Add(x)
				if _, twice := all[slot]; twice {
					rt.Fatalf("slot %d is given twice", slot)
				}
				all[slot] = counts(x)
			case event == 1:
				slot := rapid.SampledFrom(have).Draw(rt, "slot")
				s.Remove(slot)
				delete(all, slot)
			default:
				slot, x := rapid.SampledFrom(have).Draw(rt, "slot"), odds.Draw(rt, "odds")
				s.Set(slot, x)
				all[slot] = counts(x)
			}
			want := all.total()
			if got := s.Total(); math.Abs(got-want) > 1e-9*want {
				rt.Fatalf("a total of %g, want %g", got, want)
			}
			for slot, x := range all {
				if s.Weight(slot) != x {
					rt.Fatalf("slot %d has %g, want %g", slot, s.Weight(slot), x)
				}
			}
			for _, x := range []float64{0, 0.5, math.Nextafter(1, 0), rapid.Float64Range(0, 0.999).Draw(rt, "x")} {
				slot, ok := s.Draw(x)
				if ok != (want > 0) || ok && !(all[slot] > 0) {
					rt.Fatalf("drew %d, %v, with odds %v", slot, ok, all)
				}
			}
			if first, second, ok := s.DrawTwo(rapid.Float64Range(0, 0.999).Draw(rt, "y"), 0.7); ok &&
				(first == second || second >= 0 && !(all[second] > 0) || s.Weight(first) != all[first]) {
				rt.Fatalf("drew %d and %d of %v", first, second, all)
			}
		}
	})
}

// Draws follow the odds: chi-square at a fixed seed, for one and for the second of two.
func TestDistribution(t *testing.T) {
	odds := []float64{1, 2, 0, 5, 0.5, 100, 3, 3, 0, 7, 1, 12}
	var s Sampler
	total := 0.0
	for _, x := range odds {
		s.Add(x)
		total += x
	}
	rng := rand.New(rand.NewPCG(1, 2))
	const n = 400_000
	first, second := make([]float64, len(odds)), make([]float64, len(odds))
	for range n {
		a, b, _ := s.DrawTwo(rng.Float64(), rng.Float64())
		first[a]++
		second[b]++
	}
	chi := func(seen []float64, want func(i int) float64) (sum float64, degrees int) {
		for i, got := range seen {
			w := n * want(i)
			if w == 0 {
				if got > 0 {
					t.Errorf("%d was drawn %v times", i, got)
				}
				continue
			}
			sum += (got - w) * (got - w) / w
			degrees++
		}
		return sum, degrees - 1
	}
	limit := 29.6 // 0.1% of chi-square at 10 degrees
	if sum, degrees := chi(first, func(i int) float64 { return odds[i] / total }); sum > limit || degrees != 9 {
		t.Errorf("the first: %.1f at %d degrees", sum, degrees)
	}
	if sum, _ := chi(second, func(i int) (p float64) {
		for j, x := range odds {
			if j != i {
				p += x / total * odds[i] / (total - x)
			}
		}
		return p
	}); sum > limit {
		t.Errorf("the second: %.1f", sum)
	}
	// And the test can fail.
	if sum, _ := chi(first, func(i int) float64 { return 1 / float64(len(odds)-2) * min(odds[i], 1) }); sum < limit {
		t.Errorf("even odds pass: %.1f", sum)
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
