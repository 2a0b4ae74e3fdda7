package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// roundTrip sends a request, already in the form for the endpoint, on a connection and reads its answer.
func roundTrip(c *connection, r *ForwardRequest, encoded []byte, now func() time.Duration) ForwardResponse {
	began := now()
	if n, err := c.Write(encoded); err != nil {
		if n == 0 { // nothing of it was sent
			return ForwardResponse{Kind: outcome.Unreachable}
		}
		return ForwardResponse{Kind: outcome.EndpointReset, ReachedEndpoint: true}
	}
	response := ForwardResponse{ReachedEndpoint: true}
	answer, kind := readResponse(c, r)
	if kind != outcome.None {
		response.Kind = kind
		return response
	}
	response.ServiceTime = now() - began
	classify(&response, r, &answer)
	if response.Kind.NotExecuted() {
		c.rejectedIDs = append(c.rejectedIDs, r.AttemptID)
	}
	c.updateKeepAlive(&answer, now())
	return response
}
