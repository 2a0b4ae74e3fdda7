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

// Processes of all versions have to compute the same turns, because they do not exchange messages about them.
func TestGoldenTurns(t *testing.T) {
	members := []uint64{1, 1 << 20, 99, 12345, 1<<64 - 1}
	var text strings.Builder
	for _, test := range []struct {
		name     string
		schedule *Schedule
	}{
		{"named, one actor", New(99, members, 2*time.Second, 1)},
		{"named, two actors", New(1, members, time.Second, 2)},
		{"numbered", NewNumbered(3, 8, 500*time.Millisecond, 1)},
	} {
		var output bytes.Buffer
		var first []time.Duration
		for task := range uint64(40) {
			for at := -3 * time.Second; at < 30*time.Second; at += 370 * time.Millisecond {
				next, ok := test.schedule.NextTurn(task, at)
				fmt.Fprintln(&output, test.schedule.IsMyTurn(task, at), next, ok)
			}
			next, _ := test.schedule.NextTurn(task, 0)
			if len(first) < 6 {
				first = append(first, next)
			}
			fmt.Fprintln(&output, test.schedule.Offset(task, time.Minute))
		}
		fmt.Fprintf(&text, "%s: first turns %v\n%x\n", test.name, first, sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "turns.txt", []byte(text.String()))
}
