package timeslot

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// Processes of all versions must compute the same turns, because they exchange no messages.
func TestGoldenTurns(t *testing.T) {
	members := []uint64{1, 1 << 20, 99, 12345, 1<<64 - 1}
	var text strings.Builder
	for _, test := range []struct {
		name  string
		order *Schedule
	}{
		{"named, one actor", New(99, members, 2*time.Second, 1)},
		{"named, two actors", New(1, members, time.Second, 2)},
		{"numbered", NewNumbered(3, 8, 500*time.Millisecond, 1)},
	} {
		var output bytes.Buffer
		var first []time.Duration
		for what := range uint64(40) {
			for at := -3 * time.Second; at < 30*time.Second; at += 370 * time.Millisecond {
				next, ok := test.order.NextTurn(what, at)
				fmt.Fprintln(&output, test.order.IsMyTurn(what, at), next, ok)
			}
			next, _ := test.order.NextTurn(what, 0)
			if len(first) < 6 {
				first = append(first, next)
			}
			fmt.Fprintln(&output, test.order.Offset(what, time.Minute))
		}
		fmt.Fprintf(&text, "%s: first turns %v\n%x\n", test.name, first, sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "turns.txt", []byte(text.String()))
}
