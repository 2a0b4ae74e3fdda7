package settings_test

import (
	"errors"
	"fmt"

	"quincegap/internal/mesh/operations/settings"
)

// All invalid fields of a file are reported together.
func ExampleParse() {
	parsed, err := settings.Parse([]byte(`
[ownNode]
nodeName = "sidecar-1"
ipAddress = "10.1.0.40"
zone = "north"
[network]
internalPorts = [7640, 7655]
seedNodes = ["10.1.0.44:8105"]
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(parsed.InternalAddress(), parsed.SeedAddresses(), parsed.Bounds.Grace)

	_, err = settings.Parse([]byte("[ownNode]\nnodeName = \"sidecar-1\"\nipAddress = \"10.1.0.40\"\n"))
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		for _, field := range invalid.Fields {
			fmt.Println(field.Path)
		}
	}
	// Output:
	// 10.1.0.40:7640 [10.1.0.44:7640] 6s
	// ownNode.zone
	// network.internalPorts
}
