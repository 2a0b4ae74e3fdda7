package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// roundTrip writes a request, of which encoded is the result of appendRequest, to a connection and reads its answer.
func roundTrip(conn *connection, request *ForwardRequest, encoded []byte, now func() time.Duration) ForwardResponse {
	began := now()
	if n, err := conn.Write(encoded); err != nil {
		if n == 0 { // nothing was sent
			return ForwardResponse{Kind: outcome.Unreachable}
		}
		return ForwardResponse{Kind: outcome.EndpointReset, ReachedEndpoint: true}
	}
	response := ForwardResponse{ReachedEndpoint: true}
	for _, part := range separateBody(request) {
		if _, err := conn.Write(part); err != nil {
			response.Kind = outcome.EndpointReset
			return response
		}
	}
	answer, kind := readResponse(conn, request)
	if kind != outcome.None {
		response.Kind = kind
		return response
	}
	response.ServiceTime = now() - began
	classify(&response, request, &answer)
	if response.Kind.NotExecuted() {
		conn.rejectedIDs = append(conn.rejectedIDs, request.AttemptID)
	}
	conn.updateKeepAlive(&answer, now())
	return response
}
