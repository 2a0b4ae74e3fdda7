package audit_test

import (
	"fmt"
	"time"

	"quincegap/internal/rehearsal/audit"
)

// A caller gets no answer in time although its sidecar is up, which breaks the first rule.
func Example() {
	var log audit.Log
	log.Add(audit.Event{Kind: audit.RequestSent, At: time.Second, Request: "r0t1", CallerAttempt: 1, Duration: 3 * time.Second})
	log.Add(audit.Event{Kind: audit.CallerTimedOut, At: 4100 * time.Millisecond, Request: "r0t1"})
	events, lost := log.Events()
	rules := audit.Rules{
		Length: 10 * time.Second, Sidecars: []string{"n1"}, Classes: []audit.Class{{Name: "book", Idempotency: "safe", Value: 1}},
		Arrivals: []audit.Arrival{{At: time.Second}},
	}
	verdict := audit.Judge(rules, events, lost)
	for _, b := range verdict.Breaches {
		fmt.Printf("%v: %v: %s\n", b.At, b.Rule, b.Message)
	}
	fmt.Println(verdict.Service, verdict.Failed)
	// Output:
	// 4.1s: one final answer in time: no answer in 3s
	// 0 1
}
