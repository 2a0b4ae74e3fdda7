package endpointsource_test

import (
	"fmt"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// Consul's health counts over the platform's list; what Consul says alone is no endpoint.
func ExampleMerger() {
	settings := *endpointsource.SettingsTable.Default()
	settings.Mode = endpointsource.ModeOverlay
	merger := endpointsource.New(settings, []string{"north"}, []string{"large"})
	show := func(list endpointsource.List, changed bool) {
		if !changed {
			fmt.Println("nothing new")
			return
		}
		for _, e := range list.Endpoints {
			fmt.Println(e.UID, endpointsource.StateName(e.State))
		}
	}
	endpoint := func(uid string) endpointsource.Endpoint {
		return endpointsource.Endpoint{UID: uid, Address: uid + ":80", Zone: "north", Model: "large", Weight: 1}
	}
	show(merger.HandlePlatformList(time.Second, endpointsource.List{
		Kind: balancer.ListFull, Version: 1, Endpoints: []endpointsource.Endpoint{endpoint("box-1"), endpoint("box-2")},
	}))
	critical := endpoint("box-2")
	critical.State, critical.Reason = balancer.EndpointDraining, "check is critical"
	show(merger.HandleConsulAnswer(2*time.Second, endpointsource.ConsulAnswer{
		Changed: []endpointsource.Endpoint{endpoint("box-1"), critical, endpoint("box-3")},
	}))
	for _, row := range merger.Rows(2 * time.Second) {
		fmt.Println(row.UID, row.State, "-", row.Why)
	}
	// Output:
	// box-1 ready
	// box-2 ready
	// box-2 draining
	// box-1 ready - the platform says so
	// box-2 draining - check is critical
	// box-3 gone - the platform lists it no more
}
