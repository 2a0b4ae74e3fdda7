package http1

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

func TestProbe(t *testing.T) {
	var health atomic.Int64
	health.Store(http.StatusOK)
	startEndpoint := func(serve http.HandlerFunc) *exchange.Endpoint {
		t.Helper()
		s := httptest.NewServer(serve)
		t.Cleanup(s.Close)
		return &exchange.Endpoint{Address: s.Listener.Addr().String()}
	}
	endpoint := startEndpoint(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/health" {
			t.Errorf("got health check %s %s, want GET /health", r.Method, r.URL.Path)
		}
		w.WriteHeader(int(health.Load()))
	})
	if got := Probe(endpoint, testTimeout); got != balancer.StatusOK {
		t.Errorf("healthy endpoint: got %v, want %v", got, balancer.StatusOK)
	}
	health.Store(http.StatusServiceUnavailable)
	if got := Probe(endpoint, testTimeout); got != balancer.StatusError {
		t.Errorf("unhealthy endpoint: got %v, want %v", got, balancer.StatusError)
	}
	unresponsive := startEndpoint(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	if got := Probe(unresponsive, 100*time.Millisecond); got != balancer.StatusTimeout {
		t.Errorf("unresponsive endpoint: got %v, want %v", got, balancer.StatusTimeout)
	}
}
