package outbound

import (
	"errors"
	"net/http"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// The statuses of an answer that can be written to a client.
const (
	minStatus = 200
	maxStatus = 999
)

// parseResponse returns what the end of a call to the endpoint's sidecar says of the attempt.
func parseResponse(body []byte, err error) *inbound.ForwardResponse {
	switch {
	case err != nil && mayHaveBeenSent(err):
		return &inbound.ForwardResponse{Kind: outcome.ConnectionLost, ReachedEndpoint: true}
	case err != nil:
		return &inbound.ForwardResponse{Kind: outcome.Unreachable}
	case len(body) == 0: // the sidecar has no room for the call, or does not know it: not executed
		return &inbound.ForwardResponse{Kind: outcome.AtCapacity}
	}
	response := &inbound.ForwardResponse{}
	if err := codec.Unmarshal(body, response); err != nil || !isAttemptResponse(response) {
		return &inbound.ForwardResponse{Kind: outcome.InvalidResponse, ReachedEndpoint: true}
	}
	return response
}

// mayHaveBeenSent reports whether a call that failed may have reached the peer, which is certain not to be so for some errors of the
// connection alone.
func mayHaveBeenSent(err error) bool {
	var lost *transport.ConnectionError
	return !errors.As(err, &lost) || lost.Sent
}

// isAttemptResponse reports whether a response is one that an attempt can have.
func isAttemptResponse(response *inbound.ForwardResponse) bool {
	if response.Kind == outcome.None || !response.Kind.Entry().EndsAttempt {
		return false
	}
	return response.Kind != outcome.Answered || response.Status >= minStatus && response.Status <= maxStatus
}

// balancerStatus returns what a response is to the balancer. What was surely not executed is that to the balancer too, whether or not
// the attempt was cancelled.
func balancerStatus(response *inbound.ForwardResponse, cancelled bool) balancer.Status {
	switch response.Kind {
	case outcome.Answered:
		if response.Status >= http.StatusInternalServerError {
			return balancer.StatusError
		}
		return balancer.StatusOK
	case outcome.AtCapacity, outcome.Rejected, outcome.Draining, outcome.Expired, outcome.Overloaded:
		return balancer.StatusRejected
	case outcome.Misdirected, outcome.Unreachable:
		if cancelled {
			return balancer.StatusNotSent
		}
		return balancer.StatusConnectFailed
	case outcome.Cancelled:
		return balancer.StatusNotSent
	case outcome.ConnectionLost:
		return balancer.StatusReset
	case outcome.InvalidResponse, outcome.EndpointReset: // of one connection; the endpoint's own sidecar reports if it is down
		return balancer.StatusInvalidResponse
	}
	if cancelled {
		return balancer.StatusCancelled
	}
	return balancer.StatusTimeout
}
