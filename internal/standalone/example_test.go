package standalone_test

import (
	"fmt"

	"quincegap/internal/standalone"
)

// The error names the first fault that prevents a sidecar from running with the platform's configuration.
func ExampleCheckPlatform() {
	fmt.Println(standalone.CheckPlatform([]byte(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:2","seed":"xyz"}`)))
	// Output:
	// seed: "xyz" is not a hexadecimal number of 64 bits
}

// The environment variable BALANCER_CONFIG has the path of the platform's file.
func ExampleLoadConfig() {
	_, err := standalone.LoadConfig(func(string) string { return "" })
	fmt.Println(err)
	// Output:
	// BALANCER_CONFIG: not set
}
