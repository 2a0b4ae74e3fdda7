package throttle_test

import (
	"fmt"
	"time"

	"quincegap/internal/structures/throttle"
)

// At a rate of 0.5, a client whose attempts are all rejected may make an attempt every two seconds.
func ExampleThrottle() {
	var t throttle.Throttle
	attempts := 0
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		t.Update(now, 0.5, 1, 1)
		if t.Allowed() {
			t.RecordAttempt()
			attempts++
		}
	}
	fmt.Println(attempts, "attempts in 10 s")
	// Output: 5 attempts in 10 s
}
