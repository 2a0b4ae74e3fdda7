package outbound_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outbound"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/membudget"
)

// The proxy routes a client's request to an endpoint of the service "shop", which is beside the same sidecar.
func ExampleProxy() {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(inbound.HeaderAttemptID, r.Header.Get(inbound.HeaderAttemptID))
		w.Header().Set(inbound.HeaderEndpointSeal, "seal")
		_, _ = io.WriteString(w, "tenant "+r.Header.Get(inbound.HeaderSubscriberID))
	}))
	defer endpoint.Close()
	config, err := configuration.Parse([]byte(callConfig))
	if err != nil {
		fmt.Println(err)
		return
	}
	const sidecarAddress = "127.0.0.1:1"
	log := quietLog()
	hub := transport.NewHub(transport.Hello{Incarnation: 1, Address: sidecarAddress}, time.Now(), 1<<20, log)
	defer hub.Close()
	local := inbound.New(endpoint.Listener.Addr().String(), hub.Now, log, nil)
	local.UpdateEndpoint(admission.Endpoint{ID: "shop-1", Service: "shop", Slots: 4}, admission.Serving)

	proxy := outbound.New(outbound.Options{Hub: hub, Inbound: local, Log: log, Seed: 1, BodyMemory: membudget.NewPool(1 << 20)})
	proxy.Configure(config)
	proxy.UpdateEndpoints("shop", []discovery.Endpoint{
		{ID: "shop-1", Service: "shop", SidecarAddress: sidecarAddress, State: discovery.Serving, Slots: 4},
	})
	request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/p/item", nil)
	request.Host = "shop.example"
	request.Header.Set(inbound.HeaderKey, "k")
	request.Header.Set(inbound.HeaderAttemptID, "a-1")
	answer := httptest.NewRecorder()
	proxy.Server().Handler.ServeHTTP(answer, request)
	fmt.Println(answer.Code, answer.Body)
	// Output: 200 tenant north
}
