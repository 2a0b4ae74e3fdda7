package fleet

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"

	"quincegap/internal/golden"
)

// A day and a seed come to what they always came to.
func TestGoldenDay(t *testing.T) {
	var dump bytes.Buffer
	for _, name := range []string{"weights"} {
		m, err := Day(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, seed := range []uint64{0, 99} {
			o, err := Play(m, seed)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&dump, "%s %d: verdict %x, in vain %v, %d decisions, spread %s", name, seed,
				sha256.Sum256(golden.Values(o.Verdict)), o.UnansweredShare, o.Decisions, golden.Values(o.Spread))
		}
	}
	golden.Text(t, "days.txt", dump.Bytes())
}

// A seed draws the waves and the figures of subsets that it always drew.
func TestGoldenDraws(t *testing.T) {
	var dump bytes.Buffer
	for seed := range uint64(12) {
		w := RandomWave(rand.New(rand.NewPCG(seed, 5)))
		fmt.Fprintf(&dump, "wave %d\n%s", seed, w.Script())
	}
	for _, churn := range Churns {
		for _, scheme := range SubsettingSchemes {
			f, err := MeasureSubsets(scheme, churn, 300, 12, 5)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&dump, "%s, %s: moved %.6f, %d to %d, load %.6f, %.6f, spread %.6f\n", f.Scheme, f.Change, f.Moved,
				f.MinInstances, f.MaxInstances, f.Load, f.LoadP99, f.Spread)
		}
	}
	golden.Text(t, "draws.txt", dump.Bytes())
}
