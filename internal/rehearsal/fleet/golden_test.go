package fleet

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"

	"quincegap/internal/golden"
)

// The verdict and the figures of a day and a seed must not change.
func TestGoldenDay(t *testing.T) {
	var dump bytes.Buffer
	for _, name := range []string{"weights"} {
		day, err := Day(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, seed := range []uint64{0, 99} {
			outcome, err := Play(day, seed)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&dump, "%s %d: verdict %x, in vain %v, %d decisions, spread %s", name, seed,
				sha256.Sum256(golden.Values(outcome.Verdict)), outcome.UnansweredShare, outcome.Decisions, golden.Values(outcome.Spread))
		}
	}
	golden.Text(t, "days.txt", dump.Bytes())
}

// The waves that a seed draws, and the figures of the subsetting schemes, must not change.
func TestGoldenDraws(t *testing.T) {
	var dump bytes.Buffer
	for seed := range uint64(12) {
		wave := RandomWave(rand.New(rand.NewPCG(seed, 5)))
		fmt.Fprintf(&dump, "wave %d\n%s", seed, wave.Script())
	}
	for _, churn := range Churns {
		for _, scheme := range SubsettingSchemes {
			figures, err := MeasureSubsets(scheme, churn, 300, 12, 5)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&dump, "%s, %s: moved %.6f, %d to %d, load %.6f, %.6f, spread %.6f\n", figures.Scheme, figures.Change, figures.Moved,
				figures.MinInstances, figures.MaxInstances, figures.Load, figures.LoadP99, figures.Spread)
		}
	}
	golden.Text(t, "draws.txt", dump.Bytes())
}
