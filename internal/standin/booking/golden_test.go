package booking

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"quincegap/internal/golden"
)

// The list has the form of the platform's protocol.
func TestGoldenList(t *testing.T) {
	d := newDiscovery()
	d.Set(Target{UID: "a", Address: "127.0.0.1:1", Zone: "z", Model: "m", Cell: 2, State: "Ready", Weight: 1.5, BootMS: 12})
	d.Set(Target{UID: "b", State: "Terminating"}, Target{UID: "c", State: "Gone"})
	answer := httptest.NewRecorder()
	d.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/endpoints", nil))
	golden.Text(t, "list.json", answer.Body.Bytes())
}
