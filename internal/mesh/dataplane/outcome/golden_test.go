package outcome

import (
	"fmt"
	"strings"
	"testing"

	"quincegap/internal/golden"
)

// Fixes the number and the name of every kind, which processes exchange and log, and the properties of its answer.
func TestGoldenTable(t *testing.T) {
	var text strings.Builder
	fmt.Fprintln(&text, "number name status not-run blame attempt retry-after")
	for kind := Kind(0); kind < 24; kind++ {
		writeLine(&text, kind)
	}
	writeLine(&text, 999)
	golden.Text(t, "table.txt", []byte(text.String()))
}

func writeLine(text *strings.Builder, kind Kind) {
	entry := kind.Entry()
	fmt.Fprintf(text, "%d %q %d %t %t %t %v\n", uint64(kind), kind.String(), entry.Status, entry.NotExecuted,
		entry.SuspectsEndpoint, entry.EndsAttempt, entry.RetryAfter)
}

// Fixes the numbers of the kinds, whatever the names and the order of their constants.
func TestGoldenNumbers(t *testing.T) {
	for number, kind := range []Kind{
		0: None, 1: Answered, 2: AtCapacity, 3: Draining, 4: Misdirected, 5: Unreachable, 6: Rejected, 7: Expired, 8: Cancelled,
		9: Overloaded, 10: QuotaExceeded, 11: NotReady, 12: ShuttingDown, 13: ConnectionLost, 14: InvalidResponse, 15: TimedOut,
		16: NoRoute, 17: Unauthorized, 18: Malformed, 19: BodyTooLarge, 20: HeaderTooLarge, 21: BodyTimeout, 22: EndpointReset,
	} {
		if uint64(kind) != uint64(number) {
			t.Errorf("kind %s has number %d, want %d", kind, kind, number)
		}
	}
}

// Fixes what may follow an attempt, by its outcome, the status of the answer, and whether the request is idempotent.
func TestGoldenNext(t *testing.T) {
	var text strings.Builder
	for kind := Kind(0); kind < 24; kind++ {
		fmt.Fprintf(&text, "%q repeatable: %v, once: %v\n", kind.String(), kind.Next(0, true), kind.Next(0, false))
	}
	for _, status := range []int{200, 302, 404, 499, 500, 503} {
		fmt.Fprintf(&text, "%q %d repeatable: %v, once: %v\n", Answered.String(), status, Answered.Next(status, true),
			Answered.Next(status, false))
	}
	golden.Text(t, "next.txt", []byte(text.String()))
}
