package application_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"quincegap/internal/standin/application"
)

// Starts an endpoint, which sends a heartbeat, and deregisters it.
func Example() {
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { fmt.Println(r.URL.Path) }))
	defer control.Close()
	endpoint, err := application.Start(application.Options{
		ID: "e1", Service: "trips", Zone: "z1", Address: "127.0.0.1:0", Control: []string{control.Listener.Addr().String()},
		Slots: 1, HeartbeatInterval: time.Hour,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	<-endpoint.Acknowledged()
	fmt.Println(endpoint.Deregister(), len(endpoint.Executions()))
	// Output:
	// /endpoints/e1/keepalive
	// /endpoints/e1/deregister
	// true 0
}
