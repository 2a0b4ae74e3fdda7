package timeslot_test

import (
	"fmt"
	"time"

	"quincegap/internal/modules/timeslot"
)

// At any time exactly one of four members has a turn at a task.
func ExampleSchedule() {
	const task = 42
	for at := time.Duration(0); at < 4*time.Second; at += time.Second {
		for member := range 4 {
			schedule := timeslot.NewNumbered(member, 4, time.Second, 1)
			if schedule.IsMyTurn(task, at) {
				fmt.Println(at, "member", member)
			}
		}
	}
	// Output:
	// 0s member 2
	// 1s member 0
	// 2s member 3
	// 3s member 1
}
