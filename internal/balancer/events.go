package balancer

import "time"

// RequestID identifies a request. The Balancer does not interpret it.
type RequestID string

// EndpointID identifies an endpoint. If an endpoint keeps its id when its process restarts, ListEntry.StartedAt shows the
// restart. In the mesh each start has an id of its own.
type EndpointID uint32

// Request is a client's request when it arrives.
type Request struct {
	ID              RequestID
	Class           int           // index in Settings.Classes, or as returned by AddClass
	Tenant          int           // index in Settings.Tenants
	Key             string        // the key of the data that the request concerns; may be empty
	TimeLeft        time.Duration // until the client abandons this attempt
	WorkHint        time.Duration // expected work; 0 if unknown
	Retry           bool          // the client marked it as a retry
	Write           bool          // it modifies data
	IdleConnections int           // from callers to this instance, without the connection of this request

	Exclude        *EndpointID   // the endpoint that the first attempt avoids; nil for none
	ValueFactor    float64       // its value relative to other requests of its class; 0 for 1
	MaxAttempts    int           // 0 for the limit of Settings
	AttemptTimeout time.Duration // of each attempt; 0 for none beside the deadline

	Prior PriorAttempt
}

// PriorAttempt is what is known of an earlier attempt at the same request, by an earlier retry of the client or an earlier
// incarnation of this instance. The zero value means that nothing is known.
type PriorAttempt struct {
	MayHaveRun bool
	Served     bool // the client was given an answer to it
	Zone, Cell int  // of the endpoint, when it was sent
	SentAt     time.Duration
}

// Status is the result of an attempt or of a health check.
type Status int

// The statuses of an attempt.
const (
	StatusOK              Status = iota
	StatusError                  // answered with an error; may have run
	StatusRejected               // rejected before it ran
	StatusTimeout                // no response in time; may have run
	StatusConnectFailed          // no connection in time; never ran
	StatusReset                  // the connection broke; may have run
	StatusCancelled              // cancelled by this instance; may have run
	StatusNotSent                // never sent
	StatusInvalidResponse        // the response was unusable, or only the connection of this attempt broke; may have run
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (s Status) NeverRan() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent
}

// Load is an endpoint's load report. A negative field was not reported.
type Load struct {
	InFlight    float64
	Queue       float64
	Utilization float64       // 1 if all of its capacity is used
	ServiceTime time.Duration // recent, without time in queues
}

// Outcome reports the end of one attempt.
type Outcome struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  int  // from 0
	Final    bool // the host has finished the request, with this outcome or before
	Elapsed  time.Duration
	Status   Status
	Load     *Load         // nil without a report
	NoRetry  bool          // the request must not be sent again, even if its class permits it
	Backoff  time.Duration // delay before a further attempt
}

// HealthCheckResult is the result of a health check.
type HealthCheckResult struct {
	Endpoint EndpointID
	Status   Status
	Elapsed  time.Duration
	Load     *Load // nil without a report
}

// EndpointState is an endpoint's state in the list.
type EndpointState int

// The states of a listed endpoint.
const (
	EndpointReady    EndpointState = iota
	EndpointDraining               // finishes its requests; gets no new ones
	EndpointRemoved                // only in deltas
)

// ListEntry is one entry of the endpoint list.
type ListEntry struct {
	Endpoint    EndpointID
	Zone        int
	MachineKind int
	Cell        int
	State       EndpointState
	Weight      float64       // its size relative to other endpoints; 0 if unknown
	StartedAt   time.Duration // latest start of its process, on the clock of the events; 0 if long ago
}

// ListKind says what the entries of a list stand for.
type ListKind int

// The kinds of list.
const (
	ListDelta  ListKind = iota // only entries that changed
	ListFull                   // all endpoints
	ListCached                 // all endpoints, as this instance last knew them
	ListFailed                 // the fetch failed; the previous list stays in use
)

// EndpointList is an update of the endpoint list.
type EndpointList struct {
	Kind    ListKind
	Version uint64
	Entries []ListEntry
}
