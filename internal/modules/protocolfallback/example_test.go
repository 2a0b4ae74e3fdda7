package protocolfallback_test

import (
	"fmt"
	"time"

	"quincegap/internal/modules/protocolfallback"
)

func ExampleTracker() {
	t := protocolfallback.Tracker{Settings: protocolfallback.Settings{InitialBackoff: 10 * time.Second, MaxBackoff: time.Minute}}
	const address = "10.0.0.7:443"
	fmt.Println("at first:", t.ShouldAttempt(0, address))
	backoff, _ := t.RecordFailure(0, address)
	fmt.Println("after a failure, for", backoff, "not:", t.ShouldAttempt(backoff-1, address))
	fmt.Println("then one attempt tries it:", t.ShouldAttempt(backoff, address), t.ShouldAttempt(backoff, address))
	t.RecordSuccess(address)
	fmt.Println("after a success:", t.ShouldAttempt(backoff, address))
	// Output:
	// at first: true
	// after a failure, for 10s not: false
	// then one attempt tries it: true false
	// after a success: true
}
