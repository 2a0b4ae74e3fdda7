package admission_test

import (
	"fmt"
	"time"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
)

// The endpoint has one slot: the first request is admitted, and the second one waits until the first is done.
func ExampleController() {
	controller := admission.New()
	controller.UpdateEndpoint(0, admission.Endpoint{ID: "shop-1", Service: "shop", Slots: 1}, admission.Serving)
	report := func(event string, decisions []admission.Decision) {
		fmt.Println(event)
		for _, d := range decisions {
			fmt.Printf("  request %d is admitted: %t\n", d.Token, d.Kind == outcome.None)
		}
	}
	for token := range uint64(2) {
		request := admission.Request{Token: token, Service: "shop", TargetDeadline: time.Second, Deadline: 2 * time.Second}
		report(fmt.Sprintf("submit %d", token), controller.Submit(0, request))
	}
	report("done 0", controller.Done(30*time.Millisecond, 0))
	// Output:
	// submit 0
	//   request 0 is admitted: true
	// submit 1
	// done 0
	//   request 1 is admitted: true
}
