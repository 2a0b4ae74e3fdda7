package weightedsample

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"quincegap/internal/golden"
)

// After the same random changes, the same random numbers draw the same slots in every version, and the sums are the same.
func TestGoldenDraws(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var sampler Sampler
		var pool Pool[string]
		var slots []int
		var output bytes.Buffer
		for i := range 4000 {
			switch rng.IntN(6) {
			case 0, 1:
				weight := rng.ExpFloat64()
				slots = append(slots, sampler.Add(weight))
				if slot := pool.Add(fmt.Sprint("item", i), weight); slot != slots[len(slots)-1] {
					t.Fatalf("Pool.Add returned slot %d, want slot %d as returned by Sampler.Add", slot, slots[len(slots)-1])
				}
			case 2:
				if len(slots) > 0 {
					index := rng.IntN(len(slots))
					sampler.Remove(slots[index])
					pool.Remove(slots[index])
					slots[index] = slots[len(slots)-1]
					slots = slots[:len(slots)-1]
				}
			case 3:
				if len(slots) > 0 {
					slot, weight := slots[rng.IntN(len(slots))], rng.Float64()-0.1
					sampler.Set(slot, weight)
					pool.Set(slot, weight)
				}
			case 4:
				first, second, ok := sampler.DrawTwo(rng.Float64(), rng.Float64())
				fmt.Fprintln(&output, first, second, ok)
			case 5:
				item, ok := pool.Draw(rng.Float64())
				fmt.Fprintln(&output, item, ok, pool.Len(), pool.Total())
			}
		}
		fmt.Fprintf(&text, "seed %d: %d left, total %v\n%x\n", seed, pool.Len(), sampler.Total(), sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "draws.txt", []byte(text.String()))
}
