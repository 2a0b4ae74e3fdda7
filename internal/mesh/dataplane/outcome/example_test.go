package outcome_test

import (
	"fmt"

	"quincegap/internal/mesh/dataplane/outcome"
)

// A booking must not be executed twice: it may be retried only after an attempt that was certainly not executed.
func ExampleKind_Next() {
	const idempotent = false
	for _, kind := range []outcome.Kind{outcome.AtCapacity, outcome.TimedOut} {
		fmt.Printf("%s: %s, status %d, retry after %v\n", kind, kind.Next(0, idempotent), kind.Entry().Status, kind.RetryAfter())
	}
	// Output:
	// full: send again, status 503, retry after 250ms
	// silent: stop, status 504, retry after 0s
}
