package throttle

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

// When attempts are allowed over random events.
func TestGoldenCourse(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var x Throttle
		var now time.Duration
		var output bytes.Buffer
		open := 0
		for range 3000 {
			now += time.Duration(rng.IntN(int(time.Second)))
			x.Update(now, rng.Float64(), 4, 1+10*rng.Float64())
			if x.Allowed() {
				open++
				x.RecordAttempt()
			}
			if rng.IntN(3) == 0 {
				x.RecordResponse(rng.Float64())
			}
			fmt.Fprintln(&output, x.Allowed())
		}
		fmt.Fprintf(&text, "seed %d: %d of 3000 allowed\n%x\n", seed, open, sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "course.txt", []byte(text.String()))
}
