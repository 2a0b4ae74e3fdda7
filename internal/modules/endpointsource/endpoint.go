package endpointsource

import (
	"net"

	"quincegap/internal/balancer"
)

// Endpoint is what a source says of an endpoint. The names in JSON are those of the last known list on disk.
type Endpoint struct {
	UID       string                 `json:"UID"`     // the same from every source that means the same endpoint
	Address   string                 `json:"Address"` // host:port
	Zone      string                 `json:"Zone"`
	Model     string                 `json:"Model"`
	Cell      int                    `json:"Cell"`
	State     balancer.EndpointState `json:"State"` // of an entry of the platform's also Unknown
	Weight    float64                `json:"Weight"`
	StartedMS int64                  `json:"BootMS"` // latest start, Unix time in milliseconds; 0 for long ago

	// Only Consul's:
	Maintenance       bool    `json:"Maintenance"` // drained by an operator, not by a check
	WeightShare       float64 `json:"Share"`       // of the weight that it has when all is well: a warning may lower it
	RegistrationIndex uint64  `json:"Registered"`  // the index of its registration: a later one is a newer process
	StartUnknown      bool    `json:"NoBoot"`      // its start is not known
	Reason            string  `json:"Why"`         // why it is not ready, for people
}

// StateUnknown is the state of an entry whose state is not known; it is passed over.
const StateUnknown balancer.EndpointState = -1

// List is what changed, or all there is.
type List struct {
	Kind      balancer.ListKind // ListDelta, ListFull or ListCached
	Version   uint64
	Endpoints []Endpoint
}

// ConsulAnswer is what one answer of Consul's changes.
type ConsulAnswer struct {
	Changed     []Endpoint // new ones and those that changed
	Missing     []string   // uids that the answer lacks and the one before had
	KnownBefore int        // how many the one before had
	// Untrusted says that the answer comes from a server that may not know: what it lacks is not believed.
	Untrusted bool
	// ConfirmedMissing are uids that were missing before and that a consistent read of the catalogue lacks too. An
	// answer that has them has nothing else.
	ConfirmedMissing []string
	UnixMS           int64 // the time of day, for starts that are not known
}

// wellFormed reports whether an entry is one, whatever else is known. One that gets no work needs no address.
func (e *Endpoint) wellFormed() bool {
	if e.UID == "" || e.State == StateUnknown {
		return false
	}
	_, _, err := net.SplitHostPort(e.Address)
	return err == nil || e.State != balancer.EndpointReady
}

// sameVerdict reports whether two verdicts are the same for the balancer, which learns nothing of what is only Consul's.
func sameVerdict(a, b *Endpoint) bool {
	return a.UID == b.UID && a.Address == b.Address && a.Zone == b.Zone && a.Model == b.Model && a.Cell == b.Cell &&
		a.State == b.State && a.Weight == b.Weight && a.StartedMS == b.StartedMS
}

// StateName is a state in words, for people.
func StateName(s balancer.EndpointState) string {
	switch s {
	case balancer.EndpointReady:
		return "ready"
	case balancer.EndpointDraining:
		return "draining"
	case balancer.EndpointRemoved:
		return "gone"
	}
	return "unknown"
}
