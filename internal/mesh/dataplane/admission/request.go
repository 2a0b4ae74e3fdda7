package admission

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Request is a request that asks to be admitted.
type Request struct {
	Token          uint64        // names it in decisions; chosen by the caller, unique
	EndpointID     string        // the endpoint that was chosen; empty for any
	Service        string        // the service that was asked for; empty for any
	Priority       int           // 0 is highest
	Nested         bool          // a call amid a request that an endpoint is executing
	TargetDeadline time.Duration // an answer later than this is worth little
	Deadline       time.Duration // an answer later than this is worth nothing
}

// Decision is what is to be done with a request.
type Decision struct {
	Token uint64
	Kind  outcome.Kind // how it ended; outcome.None to send it to the endpoint
}
