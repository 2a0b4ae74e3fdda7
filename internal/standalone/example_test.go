package standalone_test

import (
	"fmt"

	"quincegap/internal/standalone"
)

// A platform's configuration that a sidecar cannot run with is named by its first fault.
func ExampleCheckPlatform() {
	fmt.Println(standalone.CheckPlatform([]byte(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:2","seed":"xyz"}`)))
	// Output:
	// seed: "xyz" is not a hexadecimal number of 64 bits
}

// The environment names the platform's file.
func ExampleLoadConfig() {
	_, err := standalone.LoadConfig(func(string) string { return "" })
	fmt.Println(err)
	// Output:
	// BALANCER_CONFIG: not set
}
