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

// After the same random changes, Seek finds the same items in every version. Floating-point additions in another order would give
// another digest.
func TestGoldenPlaces(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var ring Ring[uint32]
		var output bytes.Buffer
		for range 4000 {
			switch rng.IntN(6) {
			case 0, 1, 2:
				key := rng.Uint32N(900)
				ring.Put(key, rng.ExpFloat64(), key)
			case 3:
				ring.Remove(rng.Uint32N(900))
			case 4:
				if rng.IntN(50) == 0 {
					ring.Reweigh(func(key uint32) float64 { return float64(key%7) / 3 })
				}
			case 5:
				cursor, left := ring.Seek(ring.Total()*rng.Float64(), 1e-9)
				for range 3 {
					item, weight, ok := cursor.Next()
					fmt.Fprintln(&output, item, weight, ok, left)
				}
			}
		}
		fmt.Fprintln(&output, ring.Append(nil))
		fmt.Fprintf(&text, "seed %d: %d items, total %v\n%x\n", seed, ring.Len(), ring.Total(), sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "places.txt", []byte(text.String()))
}
