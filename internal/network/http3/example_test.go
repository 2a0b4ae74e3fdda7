package http3_test

import (
	"fmt"

	"quincegap/internal/network/http3"
)

// The default settings: no HTTP/3 with callers or endpoints, and no early data.
func Example() {
	front := http3.FrontTable.Default()
	transport := http3.TransportTable.Default()
	fmt.Println(front.Listen == "", front.EarlyData, transport.Use)
	// Output: true never never
}
