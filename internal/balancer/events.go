package balancer

import "time"

// RequestID identifies a request. The Balancer does not interpret it.
type RequestID string

// EndpointID identifies an endpoint. If an endpoint keeps its id when its process restarts, ListEntry.StartedAt shows the
// restart. In the mesh, each start of a process gets a new id.
type EndpointID uint32

// Request describes a client's request on arrival.
type Request struct {
	ID              RequestID
	Class           int           // index in Settings.Classes, or as returned by AddClass
	Tenant          int           // index in Settings.Tenants
	Key             string        // key of the data that the request concerns; may be empty
	TimeLeft        time.Duration // time until the client abandons this attempt
	WorkHint        time.Duration // expected work; 0 if unknown
	Retry           bool          // the client marked the request as a retry
	Write           bool          // the request modifies data
	IdleConnections int           // number of idle connections from callers to this instance, not counting that of this request

	Exclude        *EndpointID   // endpoint that the first attempt must not use; nil for none
	ValueFactor    float64       // value relative to other requests of the class; 0 stands for 1
	MaxAttempts    int           // maximum number of attempts; 0 for the limit of Settings
	AttemptTimeout time.Duration // timeout of each attempt; 0 if only the deadline limits it

	Prior PriorAttempt
}

// PriorAttempt is what is known of an earlier attempt of the same request, which was made for an earlier retry of the client or
// before this instance restarted. The zero value means that nothing is known.
type PriorAttempt struct {
	MayHaveRun bool
	Served     bool // the client got an answer to the attempt
	Zone, Cell int  // zone and cell of the endpoint when the attempt was sent
	SentAt     time.Duration
}

// Status is the result of an attempt or of a health check.
type Status int

// The statuses of an attempt.
const (
	StatusOK              Status = iota
	StatusError                  // answered with an error; the attempt may have run
	StatusRejected               // rejected before the attempt ran
	StatusTimeout                // no response in time; the attempt may have run
	StatusConnectFailed          // no connection in time; the attempt never ran
	StatusReset                  // the connection broke; the attempt may have run
	StatusCancelled              // cancelled by this instance; the attempt may have run
	StatusNotSent                // the attempt was never sent
	StatusInvalidResponse        // the response was unusable, or only this attempt's connection broke; the attempt may have run
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent
}

// Load is an endpoint's load report. A negative field was not reported.
type Load struct {
	InFlight    float64
	Queue       float64
	Utilization float64       // used share of the endpoint's capacity, from 0 to 1
	ServiceTime time.Duration // recent service time, without time in queues
}

// Outcome reports the end of one attempt.
type Outcome struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  int  // number of the attempt among those of its request, from 0
	Final    bool // the host has finished the request, either by this outcome or before it
	Elapsed  time.Duration
	Status   Status
	Load     *Load         // the endpoint's load report; nil for none
	NoRetry  bool          // the request must not be sent again, even if its class permits it
	Backoff  time.Duration // delay before a further attempt
}

// HealthCheckResult is the result of a health check.
type HealthCheckResult struct {
	Endpoint EndpointID
	Status   Status
	Elapsed  time.Duration
	Load     *Load // the endpoint's load report; nil for none
}

// EndpointState is an endpoint's state in the list.
type EndpointState int

// The states of a listed endpoint.
const (
	EndpointReady    EndpointState = iota
	EndpointDraining               // finishes its requests, and gets no new ones
	EndpointRemoved                // no longer listed; used only in deltas
)

// ListEntry is one entry of the endpoint list.
type ListEntry struct {
	Endpoint    EndpointID
	Zone        int
	MachineKind int
	Cell        int
	State       EndpointState
	Weight      float64       // size relative to other endpoints; 0 if unknown
	StartedAt   time.Duration // latest start of the endpoint's process, on the clock of the events; 0 if long ago
}

// ListKind says which endpoints the entries of a list cover.
type ListKind int

// The kinds of list.
const (
	ListDelta  ListKind = iota // only entries that changed
	ListFull                   // all endpoints
	ListCached                 // all endpoints, as this instance last knew them
	ListFailed                 // no entries: the fetch failed, and the previous list stays in use
)

// EndpointList is an update of the endpoint list.
type EndpointList struct {
	Kind    ListKind
	Version uint64
	Entries []ListEntry
}
