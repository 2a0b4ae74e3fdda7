package peers_test

import (
	"fmt"
	"time"

	"quincegap/internal/modules/peers"
)

// This example shows a view that meets one other member. The view is stable after Options.SettleAfter, and then has a share of the load.
// In a sidecar, the source of records calls Merge, MarkReachable and Tick.
func Example() {
	options := peers.Options{
		SuspicionTimeout: 2 * time.Second, ForgetAfter: time.Minute, SettleAfter: time.Second, DampingWindow: 20 * time.Second,
		LossWindow: time.Minute, ResumeWindow: time.Minute, MinExchangeInterval: 5 * time.Second, ExpectedMembers: 2, MaxMembers: 100,
	}
	self := peers.Record{Process: 1, Name: "front-0", State: peers.Serving}
	view := peers.New(self, options, 0)

	other := peers.Record{Process: 2, Name: "front-1", State: peers.Serving}
	if view.Merge(0, other, "front-1") {
		view.MarkReachable(0, other.Process)
	}
	fmt.Println(view.Confidence(0))

	view.Tick(time.Second)
	share, _ := view.Share(time.Second)
	fmt.Println(share.Confidence, share.Names, "ordinal", share.Ordinal, "of", share.Instances)
	// Output:
	// changing
	// settled [front-0 front-1] ordinal 0 of 2
}
