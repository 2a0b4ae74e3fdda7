package finding_test

import (
	"fmt"

	"quincegap/internal/config/finding"
)

func Example() {
	var found finding.List
	report := found.ForFile("sidecar.toml")
	report(finding.Pos{Line: 7, Col: 1}, "%s", finding.UnknownName("key", "idel_timeout", []string{"idle_timeout", "max_body"}))
	report(finding.Pos{Line: 2, Col: 10}, "sidecar.listen: %q has no port", "8080")
	if err := found.Err(); err != nil {
		fmt.Println(err)
	}
	// Output:
	// sidecar.toml:2:10: sidecar.listen: "8080" has no port
	// sidecar.toml:7:1: unknown key "idel_timeout"; did you mean "idle_timeout"?
}
