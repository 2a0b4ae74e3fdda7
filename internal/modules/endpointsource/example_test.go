package endpointsource_test

import (
	"fmt"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// In mode overlay the endpoints come from the platform's list and their health from Consul. Endpoints that only Consul lists are
// ignored.
func ExampleMerger() {
	settings := *endpointsource.SettingsTable.Default()
	settings.Mode = endpointsource.ModeOverlay
	merger := endpointsource.New(settings, []string{"north"}, []string{"large"})
	show := func(list endpointsource.List, changed bool) {
		if !changed {
			fmt.Println("no change")
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
		Kind: balancer.ListFull, Version: 1, Endpoints: []endpointsource.Endpoint{endpoint("s-1"), endpoint("s-2")},
	}))
	critical := endpoint("s-2")
	critical.State, critical.Reason = balancer.EndpointDraining, "check is critical"
	show(merger.HandleConsulAnswer(2*time.Second, endpointsource.ConsulAnswer{
		Changed: []endpointsource.Endpoint{endpoint("s-1"), critical, endpoint("s-3")},
	}))
	for _, row := range merger.Rows(2 * time.Second) {
		fmt.Println(row.UID, row.State, "-", row.Why)
	}
	// Output:
	// s-1 ready
	// s-2 ready
	// s-2 draining
	// s-1 ready - the platform says so
	// s-2 draining - check is critical
	// s-3 gone - the platform lists it no more
}
