package http3_test

import (
	"fmt"

	"quincegap/internal/network/http3"
)

// By default HTTP/3 is used neither with callers nor with endpoints, and early data is not accepted.
func Example() {
	front := http3.FrontTable.Default()
	transport := http3.TransportTable.Default()
	fmt.Println(front.Listen == "", front.EarlyData, transport.Use)
	// Output: true never never
}
