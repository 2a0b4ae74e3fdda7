package booking_test

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"quincegap/internal/standin/booking"
)

// Starts an endpoint and a discovery that lists it, and sends a request to the endpoint.
func Example() {
	endpoint, err := booking.StartEndpoint("box-1", nil)
	if err != nil {
		panic(err)
	}
	defer endpoint.Close()
	discovery, err := booking.StartDiscovery("", endpoint.Target())
	if err != nil {
		panic(err)
	}
	defer discovery.Close()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+endpoint.Target().Address+"/trips", nil)
	if err != nil {
		panic(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	fmt.Print(string(body), err)
	// Output:
	// box-1 served GET /trips (0 bytes)
	// <nil>
}
