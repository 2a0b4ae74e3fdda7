package http1

import (
	"context"
	"net/http"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// healthPath is the path of endpoints' health checks.
const healthPath = "/health"

// Probe makes a health check of an endpoint on a connection of its own. The statuses are StatusOK if the endpoint is healthy, StatusError
// if it answers otherwise, StatusTimeout, StatusConnectFailed, and StatusNotSent for an address that can't be used.
func Probe(e *exchange.Endpoint, timeout time.Duration) balancer.Status {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+healthPath, nil)
	if err != nil {
		return balancer.StatusNotSent
	}
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(r)
	switch {
	case ctx.Err() != nil:
		if res != nil {
			_ = res.Body.Close() // the answer came too late
		}
		return balancer.StatusTimeout
	case err != nil:
		return balancer.StatusConnectFailed
	}
	_ = res.Body.Close() // only the status matters
	if res.StatusCode != http.StatusOK {
		return balancer.StatusError
	}
	return balancer.StatusOK
}
