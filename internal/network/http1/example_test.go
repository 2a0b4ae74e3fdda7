package http1_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
	"quincegap/internal/network/http1"
)

// Probe makes a health check of an endpoint.
func ExampleProbe() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	endpoint := &exchange.Endpoint{Address: server.Listener.Addr().String()}
	fmt.Println(http1.Probe(endpoint, time.Minute) == balancer.StatusOK)
	// Output: true
}
