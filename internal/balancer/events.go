package balancer

import "time"

// RequestID names a request; the Balancer returns it unchanged.
type RequestID string

// EndpointID names an endpoint. Where it stays the same when the endpoint's process restarts, ListEntry.StartedAt tells of that; the mesh
// gives each start a number of its own.
type EndpointID uint32

// Request is one client request as it arrives.
type Request struct {
	ID              RequestID
	Class           int           // index in Settings.Classes, or what AddClass returned
	Tenant          int           // index in Settings.Tenants
	Key             string        // what the request concerns; may be empty
	TimeLeft        time.Duration // until the client gives this attempt up
	WorkHint        time.Duration // expected work, where given
	Retry           bool          // the client marks it as a retry of its own
	Write           bool          // it changes something
	IdleConnections int           // from callers to this instance, beside the one of this request

	Exclude        *EndpointID   // the endpoint that its first attempt avoids, nil for none
	ValueFactor    float64       // its value over that of others of its class, 0 for 1
	MaxAttempts    int           // 0 for as many as Settings allow
	AttemptTimeout time.Duration // of one attempt, 0 for none of its own

	Prior PriorAttempt
}

// PriorAttempt is what is remembered of an attempt at the same request from before: of an earlier retry of the client, or of an
// earlier incarnation of this instance. The zero value says nothing.
type PriorAttempt struct {
	MayHaveRun bool
	Served     bool // an answer to it was served
	Zone, Cell int  // of the endpoint, when it was sent
	SentAt     time.Duration
}

// Status is how an attempt or a health check ended.
type Status int

// The outcomes of an attempt.
const (
	StatusOK              Status = iota
	StatusError                  // answered with an error; may have run
	StatusRejected               // rejected before it ran
	StatusTimeout                // no response in time; may have run
	StatusConnectFailed          // no connection in time; never ran
	StatusReset                  // the connection broke; may have run
	StatusCancelled              // cancelled by this instance; may have run
	StatusNotSent                // never sent
	StatusInvalidResponse        // the response is of no use, or its connection alone broke; may have run
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (s Status) NeverRan() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent
}

// Load is an endpoint's load report; a field that was not reported is negative.
type Load struct {
	InFlight    float64
	Queue       float64
	Utilization float64       // 1 for all of its capacity
	ServiceTime time.Duration // of late, without waiting
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  int  // from 0
	Final    bool // the request is finished, by this outcome or before it
	Elapsed  time.Duration
	Status   Status
	Load     *Load         // nil without a report
	NoRetry  bool          // no further attempt may be made, whatever the class allows
	Backoff  time.Duration // before a further attempt
}

// HealthCheckResult is the outcome of a health check.
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
	EndpointDraining               // finishes its work; gets nothing new
	EndpointRemoved                // only in deltas
)

// ListEntry is one line of the endpoint list.
type ListEntry struct {
	Endpoint    EndpointID
	Zone        int
	MachineKind int
	Cell        int
	State       EndpointState
	Weight      float64       // its size beside others'; 0 where it is not known
	StartedAt   time.Duration // latest start of its process, on the event clock; 0 for long past
}

// ListKind says how a list is to be read.
type ListKind int

// The kinds of list.
const (
	ListDelta  ListKind = iota // only entries that changed
	ListFull                   // every endpoint there is
	ListCached                 // every endpoint, as this instance last knew them
	ListFailed                 // no list could be fetched; the old one stands
)

// EndpointList is what discovery says of the endpoints.
type EndpointList struct {
	Kind    ListKind
	Version uint64
	Entries []ListEntry
}
