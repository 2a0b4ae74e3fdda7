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

// What is drawn, and the sums by which it is, over random changes: the same numbers have to draw the same slots.
func TestGoldenDraws(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var s Sampler
		var p Pool[string]
		var slots []int
		var output bytes.Buffer
		for i := range 4000 {
			switch rng.IntN(6) {
			case 0, 1:
				w := rng.ExpFloat64()
				slots = append(slots, s.Add(w))
				if at := p.Add(fmt.Sprint("item", i), w); at != slots[len(slots)-1] {
					t.Fatalf("slot %d of the pool, %d of its sampler", at, slots[len(slots)-1])
				}
			case 2:
				if len(slots) > 0 {
					at := rng.IntN(len(slots))
					s.Remove(slots[at])
					p.Remove(slots[at])
					slots[at] = slots[len(slots)-1]
					slots = slots[:len(slots)-1]
				}
			case 3:
				if len(slots) > 0 {
					slot, w := slots[rng.IntN(len(slots))], rng.Float64()-0.1
					s.Set(slot, w)
					p.Set(slot, w)
				}
			case 4:
				first, second, ok := s.DrawTwo(rng.Float64(), rng.Float64())
				fmt.Fprintln(&output, first, second, ok)
			case 5:
				item, ok := p.Draw(rng.Float64())
				fmt.Fprintln(&output, item, ok, p.Len(), p.Total())
			}
		}
		fmt.Fprintf(&text, "seed %d: %d left, total %v\n%x\n", seed, p.Len(), s.Total(), sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "draws.txt", []byte(text.String()))
}
