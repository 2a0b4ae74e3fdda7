package booking

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"quincegap/internal/golden"
)

// Checks that the list is encoded in the format of the platform's protocol and omits targets in state Gone.
func TestGoldenList(t *testing.T) {
	discovery := newDiscovery()
	discovery.Set(Target{UID: "a", Address: "127.0.0.1:1", Zone: "z", Model: "m", Cell: 2, State: "Ready", Weight: 1.5, BootMS: 12})
	discovery.Set(Target{UID: "b", State: "Terminating"}, Target{UID: "c", State: "Gone"})
	answer := httptest.NewRecorder()
	discovery.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/endpoints", nil))
	golden.Text(t, "list.json", answer.Body.Bytes())
}
