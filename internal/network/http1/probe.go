package http1

import (
	"context"
	"net/http"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// healthPath is the request path for health checks of endpoints.
const healthPath = "/health"

// Probe makes a health check of an endpoint on a new connection. It returns StatusOK if the endpoint responds with status 200, StatusError
// if it responds with another one, StatusTimeout after timeout, StatusConnectFailed if the connection fails, and StatusNotSent if the
// address is invalid.
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
			_ = res.Body.Close() // the response arrived after the timeout
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
