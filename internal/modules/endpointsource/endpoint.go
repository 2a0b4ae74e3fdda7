package endpointsource

import (
	"net"

	"quincegap/internal/balancer"
)

// Endpoint is an endpoint as a source lists it. Its JSON form is stored on disk, in the last known list.
type Endpoint struct {
	UID       string                 `json:"UID"`     // identity of the endpoint, the same in all sources
	Address   string                 `json:"Address"` // host:port
	Zone      string                 `json:"Zone"`
	Model     string                 `json:"Model"`
	Cell      int                    `json:"Cell"`
	State     balancer.EndpointState `json:"State"` // a state of the balancer; entries of the platform may also have StateUnknown
	Weight    float64                `json:"Weight"`
	StartedMS int64                  `json:"BootMS"` // time of the latest start in Unix milliseconds; 0 if it was long ago

	// The following fields are set only in entries of Consul.

	Maintenance       bool    `json:"Maintenance"` // the endpoint was drained by an operator, not by a check
	WeightShare       float64 `json:"Share"`       // share of the full weight, which a check with a warning may lower
	RegistrationIndex uint64  `json:"Registered"`  // Consul's index of the registration; a newer process has a higher one
	StartUnknown      bool    `json:"NoBoot"`      // StartedMS is not known
	Reason            string  `json:"Why"`         // why the endpoint is not ready, as a text for operators
}

// StateUnknown is the state of an entry whose source gave an unknown name for its state. Such entries are ignored.
const StateUnknown balancer.EndpointState = -1

// List is a complete list of endpoints or a delta.
type List struct {
	Kind      balancer.ListKind // ListDelta, ListFull or ListCached
	Version   uint64
	Endpoints []Endpoint
}

// ConsulAnswer is an answer of Consul, expressed as the changes since the previous answer.
type ConsulAnswer struct {
	Changed     []Endpoint // entries that are new or have changed
	Missing     []string   // uids that were in the previous answer and are not in this one
	KnownBefore int        // number of endpoints in the previous answer
	// Untrusted is set for an answer of a server that may be out of date. The removal of Missing needs a confirmation then.
	Untrusted bool
	// ConfirmedMissing are uids that were missing before and that a consistent read of the catalogue lacks too. If it is
	// not empty, Changed and Missing are.
	ConfirmedMissing []string
	UnixMS           int64 // time of day in Unix milliseconds, used as the start time where none is known
}

// wellFormed reports whether an entry is valid on its own. Only a ready endpoint needs an address.
func (e *Endpoint) wellFormed() bool {
	if e.UID == "" || e.State == StateUnknown {
		return false
	}
	_, _, err := net.SplitHostPort(e.Address)
	return err == nil || e.State != balancer.EndpointReady
}

// samePublished reports whether two endpoints are the same for the balancer, which does not get the fields that only Consul sets.
func samePublished(a, b *Endpoint) bool {
	return a.UID == b.UID && a.Address == b.Address && a.Zone == b.Zone && a.Model == b.Model && a.Cell == b.Cell &&
		a.State == b.State && a.Weight == b.Weight && a.StartedMS == b.StartedMS
}

// StateName returns the name of a state for log lines and admin pages.
func StateName(second balancer.EndpointState) string {
	switch second {
	case balancer.EndpointReady:
		return "ready"
	case balancer.EndpointDraining:
		return "draining"
	case balancer.EndpointRemoved:
		return "gone"
	}
	return "unknown"
}
