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

// The range of HTTP statuses that an endpoint's answer may have.
const (
	minStatus = 200
	maxStatus = 999
)

// parseResponse returns the response to an attempt, given the reply of the endpoint's sidecar or the error of the call to it.
func parseResponse(body codec.Buffers, err error) *inbound.ForwardResponse {
	switch {
	case err != nil && mayHaveBeenSent(err):
		return &inbound.ForwardResponse{Kind: outcome.ConnectionLost, ReachedEndpoint: true}
	case err != nil:
		return &inbound.ForwardResponse{Kind: outcome.Unreachable}
	case len(body) == 0: // the sidecar has no memory for the call or does not know its method, so it has not executed the request
		return &inbound.ForwardResponse{Kind: outcome.AtCapacity}
	}
	response := &inbound.ForwardResponse{}
	if err := codec.UnmarshalBuffers(body, response); err != nil || !isAttemptResponse(response) {
		return &inbound.ForwardResponse{Kind: outcome.InvalidResponse, ReachedEndpoint: true}
	}
	return response
}

// mayHaveBeenSent reports whether a call that ended with an error may have reached the peer. Only a ConnectionError without Sent rules that
// out.
func mayHaveBeenSent(err error) bool {
	var lost *transport.ConnectionError
	return !errors.As(err, &lost) || lost.Sent
}

// isAttemptResponse reports whether a response is valid for an attempt: its kind ends attempts, and its status can be written.
func isAttemptResponse(response *inbound.ForwardResponse) bool {
	if response.Kind == outcome.None || !response.Kind.Entry().EndsAttempt {
		return false
	}
	return response.Kind != outcome.Answered || response.Status >= minStatus && response.Status <= maxStatus
}

// balancerStatus returns the balancer's status for a response. Kinds that were certainly not executed map to statuses for which NeverRan
// reports true, whether or not the attempt was cancelled.
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
	case outcome.InvalidResponse, outcome.EndpointReset: // affects only one connection; a down endpoint is reported by its own sidecar
		return balancer.StatusInvalidResponse
	}
	if cancelled {
		return balancer.StatusCancelled
	}
	return balancer.StatusTimeout
}
