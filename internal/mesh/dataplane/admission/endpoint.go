package admission

// State is what an endpoint is open to.
type State uint8

// The states of the endpoint beside this sidecar, as far as it is known, in the order in which it goes through them.
const (
	Unknown    State = iota // nothing has been heard of an endpoint
	Serving                 // it takes requests
	Draining                // it has announced that it leaves; what it executes may end
	Terminated              // it is deregistered, or was found dead
)

// Endpoint is one start of the process beside this sidecar.
type Endpoint struct {
	ID      string // differs from one start to the next
	Service string
	Slots   int // requests that it executes at once
}
