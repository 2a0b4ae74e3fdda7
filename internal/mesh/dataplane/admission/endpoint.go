package admission

// State is the state of the endpoint beside a sidecar.
type State uint8

// The states, in the order in which an endpoint passes through them.
const (
	Unknown    State = iota // no endpoint has registered yet
	Serving                 // the endpoint accepts requests
	Draining                // the endpoint has announced its shutdown, and completes the requests that it is executing
	Terminated              // the endpoint was deregistered, or found to be down
)

// Endpoint is one start of the application process beside a sidecar.
type Endpoint struct {
	ID      string // unique to this start of the process
	Service string
	Slots   int // number of requests that the endpoint executes concurrently
}
