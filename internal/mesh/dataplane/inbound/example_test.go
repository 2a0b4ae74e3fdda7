package inbound_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
)

// A sidecar forwards a request to the endpoint beside it.
func ExampleProxy() {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(inbound.HeaderAttemptID, r.Header.Get(inbound.HeaderAttemptID))
		w.Header().Set(inbound.HeaderEndpointSeal, "seal")
		_, _ = fmt.Fprintf(w, "item for %s", r.Header.Get(inbound.HeaderSubscriberID))
	}))
	defer endpoint.Close()
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }

	proxy := inbound.New(endpoint.Listener.Addr().String(), now, logrus.New(), nil)
	proxy.UpdateEndpoint(admission.Endpoint{ID: "shop-1", Service: "shop", Slots: 4}, admission.Serving)
	request := &inbound.ForwardRequest{
		EndpointID: "shop-1", Service: "shop", Method: http.MethodGet, URI: "/item", Host: "shop.example",
		AttemptID: "a-1", Tenant: "north",
	}
	responses := make(chan *inbound.ForwardResponse, 1)
	proxy.Forward(request, now()+5*time.Second, now()+10*time.Second, func(r *inbound.ForwardResponse) { responses <- r })
	response := <-responses
	fmt.Println(response.Kind, response.Status, string(response.Body.Join()))
	// Output: answered 200 item for north
}
