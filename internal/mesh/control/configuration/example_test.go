package configuration_test

import (
	"fmt"

	"quincegap/internal/mesh/control/configuration"
)

func ExampleParse() {
	config, err := configuration.Parse([]byte(`{
		"configVersion": "r7",
		"serviceTable": [{"name": "orders"}, {"name": "orders-next"}],
		"routeTable": [{"hostName": "shop.example", "pathPrefix": "/orders/", "timeout": "2s", "routeKind": "idempotent",
			"trafficSplit": [{"serviceName": "orders", "weight": 90}, {"serviceName": "orders-next", "weight": 10}]}]
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	route := config.Match("shop.example:443", "/orders/17")
	fmt.Println(config.Version, route.Timeout, route.Kind.IsIdempotent(), route.PickService(0.95))
	fmt.Println(config.Match("shop.example", "/other") == nil)
	// Output:
	// r7 2s true orders-next
	// true
}

// The error lists every invalid field.
func ExampleParse_faults() {
	_, err := configuration.Parse([]byte(`{"configVersion": "7", "routeTable": {}}`))
	fmt.Println(err)
	// Output:
	// configVersion: expected r and a number above 0, not "7"; routeTable: expected a list, not {}
}
