package protocolfallback

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

// Each seed of random events gives the same decisions and backoffs as in earlier versions.
func TestGoldenCourse(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tracker := Tracker{Settings: Settings{InitialBackoff: 10 * time.Second, MaxBackoff: time.Minute}}
		var now time.Duration
		var output bytes.Buffer
		tried := 0
		for range 3000 {
			now += time.Duration(rng.IntN(int(2 * time.Second)))
			address := fmt.Sprint("host", rng.IntN(20))
			if !tracker.ShouldAttempt(now, address) {
				fmt.Fprintln(&output, address, "not now")
				continue
			}
			tried++
			switch rng.IntN(8) {
			case 0:
				tracker.RecordSuccess(address)
			case 1:
				tracker.RecordInconclusive(address)
			case 2:
				tracker.Forget(address)
			default:
				backoff, first := tracker.RecordFailure(now, address)
				fmt.Fprintln(&output, address, backoff, first)
			}
		}
		fmt.Fprintf(&text, "seed %d: %d of 3000 tried\n%x\n", seed, tried, sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "course.txt", []byte(text.String()))
}
