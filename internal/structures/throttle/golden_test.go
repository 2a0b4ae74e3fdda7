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

// For the same random events, attempts are allowed at the same times in every version.
func TestGoldenCourse(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var throttle Throttle
		var now time.Duration
		var output bytes.Buffer
		attempts := 0
		for range 3000 {
			now += time.Duration(rng.IntN(int(time.Second)))
			throttle.Update(now, rng.Float64(), 4, 1+10*rng.Float64())
			if throttle.Allowed() {
				attempts++
				throttle.RecordAttempt()
			}
			if rng.IntN(3) == 0 {
				throttle.RecordResponse(rng.Float64())
			}
			fmt.Fprintln(&output, throttle.Allowed())
		}
		fmt.Fprintf(&text, "seed %d: %d of 3000 allowed\n%x\n", seed, attempts, sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "course.txt", []byte(text.String()))
}
