package deadlinequeue

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// The order in which items are due, with many at the same time, over random changes.
func TestGoldenOrder(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := Queue[int]{Less: func(a, b int) bool { return a < b }}
		var output bytes.Buffer
		for range 3000 {
			switch rng.IntN(5) {
			case 0, 1, 2:
				q.Put(rng.IntN(400), time.Duration(rng.IntN(50))*time.Second)
			case 3:
				q.Remove(rng.IntN(400))
			case 4:
				x, at, ok := q.Peek()
				fmt.Fprintln(&output, x, at, ok, q.Len())
				q.Remove(x)
			}
		}
		fmt.Fprintf(&text, "seed %d: %d left\n%x\n", seed, q.Len(), sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "order.txt", []byte(text.String()))
}
