package weightedring

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"quincegap/internal/golden"
)

// Where sums of weights fall over random changes. The sums are of floating-point numbers: their order shows.
func TestGoldenPlaces(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var r Ring[uint32]
		var output bytes.Buffer
		for range 4000 {
			switch rng.IntN(6) {
			case 0, 1, 2:
				key := rng.Uint32N(900)
				r.Put(key, rng.ExpFloat64(), key)
			case 3:
				r.Remove(rng.Uint32N(900))
			case 4:
				if rng.IntN(50) == 0 {
					r.Reweigh(func(key uint32) float64 { return float64(key%7) / 3 })
				}
			case 5:
				c, left := r.Seek(r.Total()*rng.Float64(), 1e-9)
				for range 3 {
					x, weight, ok := c.Next()
					fmt.Fprintln(&output, x, weight, ok, left)
				}
			}
		}
		fmt.Fprintln(&output, r.Append(nil))
		fmt.Fprintf(&text, "seed %d: %d items, total %v\n%x\n", seed, r.Len(), r.Total(), sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "places.txt", []byte(text.String()))
}
