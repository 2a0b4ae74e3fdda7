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

// After random changes, items with many equal deadlines are in the same order in every version.
func TestGoldenOrder(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		queue := Queue[int]{Less: func(a, b int) bool { return a < b }}
		var output bytes.Buffer
		for range 3000 {
			switch rng.IntN(5) {
			case 0, 1, 2:
				queue.Put(rng.IntN(400), time.Duration(rng.IntN(50))*time.Second)
			case 3:
				queue.Remove(rng.IntN(400))
			case 4:
				value, deadline, ok := queue.Peek()
				fmt.Fprintln(&output, value, deadline, ok, queue.Len())
				queue.Remove(value)
			}
		}
		fmt.Fprintf(&text, "seed %d: %d left\n%x\n", seed, queue.Len(), sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "order.txt", []byte(text.String()))
}
