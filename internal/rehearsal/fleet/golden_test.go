package fleet

import (
	"bytes"
	"crypto/sha256"
	"fmt"
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
