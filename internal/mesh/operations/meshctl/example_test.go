package meshctl_test

import (
	"fmt"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/operations/meshctl"
)

// Diff returns the differences that are printed before a new configuration is submitted. Keys are never printed.
func ExampleDiff() {
	parse := func(version, key string, rate int) *configuration.Config {
		text := fmt.Sprintf(`{"configVersion":%q,"routeTable":[],"tenantTable":[{"name":"north","accessKeys":[%q],"ratePerS":%d}]}`,
			version, key, rate)
		config, err := configuration.Parse([]byte(text))
		if err != nil {
			fmt.Println(err)
		}
		return config
	}
	for _, line := range meshctl.Diff(parse("r1", "secret1", 5), parse("r2", "secret2", 8)) {
		fmt.Println(line)
	}
	// Output:
	// version r1 -> r2
	// ~ tenant north: rank 0, rate 5, burst 0 -> rank 0, rate 8, burst 0
	// tenant north: keys change (1 before, 1 now)
}
