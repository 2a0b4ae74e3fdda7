package idempotency_test

import (
	"fmt"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/idempotency"
)

// A sidecar crashes while an attempt is in flight. The next process knows that the request may have run.
func ExampleTable() {
	payment := balancer.Class{Name: "pay", Idempotency: balancer.NonIdempotent, Deadline: 2 * time.Second}
	id := idempotency.RequestID(payment.Name, "r-17")

	table := idempotency.NewTable(1000)
	to := idempotency.Origin{Zone: "north", Endpoint: "s-1"}
	entry, changed, err := table.BeginAttempt(0, id, payment.Name, idempotency.RetentionOf(&payment), to)
	fmt.Println("write it first:", changed, err)
	disk := entry.Encode()
	table.MarkDurable(id)

	entry, err = idempotency.Decode(disk, time.Second, 3*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	table = idempotency.NewTable(1000)
	fmt.Println(table.Restore(id, entry))
	entry, known := table.Lookup(time.Second, id)
	fmt.Println("known:", known, entry.Zone, entry.Endpoint, "sent at", entry.SentAt, "may have run:", entry.MayHaveRun())
	// Output:
	// write it first: true <nil>
	// <nil>
	// known: true north s-1 sent at 0s may have run: true
}
