package http1

import (
	"context"
	"net/http"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// healthPath is where an endpoint tells whether it is healthy.
const healthPath = "/health"

// Probe makes a health check of an endpoint, on a connection of its own.
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
			_ = res.Body.Close() // it came too late
		}
		return balancer.StatusTimeout
	case err != nil:
		return balancer.StatusConnectFailed
	}
	_ = res.Body.Close() // the status says it all
	if res.StatusCode != http.StatusOK {
		return balancer.StatusError
	}
	return balancer.StatusOK
}
