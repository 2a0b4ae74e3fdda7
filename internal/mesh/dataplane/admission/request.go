package admission

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Request is a request that is to be admitted.
type Request struct {
	Token          uint64        // identifies it in decisions; chosen by the caller, never used twice
	EndpointID     string        // the endpoint that was chosen; empty for any
	Service        string        // the service that the request is for; empty for any
	Priority       int           // 0 is highest
	Nested         bool          // made by an endpoint that is executing another request
	TargetDeadline time.Duration // by which the latency target is met; a later answer has little value
	Deadline       time.Duration // a later answer has no value
}

// Decision is the controller's decision on a request.
type Decision struct {
	Token uint64
	Kind  outcome.Kind // outcome.None: admitted, to be sent to the endpoint; otherwise why it is rejected
}
