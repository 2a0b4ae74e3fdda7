package admission

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Request is a request that is submitted for admission.
type Request struct {
	Token          uint64        // identifier of the request in decisions; chosen by the caller, never reused
	EndpointID     string        // ID of the endpoint that was chosen; empty for any
	Service        string        // service that the request is for; empty for any
	Priority       int           // 0 is highest
	Nested         bool          // whether the request was made by an endpoint that is executing another request
	TargetDeadline time.Duration // time at which the latency target is missed; a later answer has little value
	Deadline       time.Duration // time after which an answer has no value
}

// Decision is the controller's decision on a request.
type Decision struct {
	Token uint64
	Kind  outcome.Kind // outcome.None if the request is admitted and must be sent to the endpoint; else the reason for the rejection
}
