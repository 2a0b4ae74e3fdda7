package endpointsource

import (
	"net"

	"quincegap/internal/balancer"
)

// Endpoint is an endpoint as a source lists it. The names in JSON are those of the last known list on disk.
type Endpoint struct {
	UID       string                 `json:"UID"`     // the same in all sources
	Address   string                 `json:"Address"` // host:port
	Zone      string                 `json:"Zone"`
	Model     string                 `json:"Model"`
	Cell      int                    `json:"Cell"`
	State     balancer.EndpointState `json:"State"` // in the platform's lists also StateUnknown
	Weight    float64                `json:"Weight"`
	StartedMS int64                  `json:"BootMS"` // latest start, Unix time in milliseconds; 0 for long ago

	// Only in entries of Consul:
	Maintenance       bool    `json:"Maintenance"` // drained by an operator, not by a check
	WeightShare       float64 `json:"Share"`       // of its full weight: a warning may lower it
	RegistrationIndex uint64  `json:"Registered"`  // the index of its registration; that of a newer process is higher
	StartUnknown      bool    `json:"NoBoot"`      // StartedMS is not known
	Reason            string  `json:"Why"`         // why it is not ready, for people
}

// StateUnknown is the state of an entry whose state has an unknown name. Such entries are ignored.
const StateUnknown balancer.EndpointState = -1

// List is a list of endpoints, complete or a delta.
type List struct {
	Kind      balancer.ListKind // ListDelta, ListFull or ListCached
	Version   uint64
	Endpoints []Endpoint
}

// ConsulAnswer is an answer of Consul, as the changes to the one before.
type ConsulAnswer struct {
	Changed     []Endpoint // new ones and those that changed
	Missing     []string   // uids that the answer lacks and the one before had
	KnownBefore int        // how many endpoints the one before had
	// Untrusted is set for an answer of a server that may be out of date: it is not believed that Missing are gone.
	Untrusted bool
	// ConfirmedMissing are uids that were missing before and that a consistent read of the catalogue lacks too. An
	// answer with them has no other endpoints.
	ConfirmedMissing []string
	UnixMS           int64 // the time of day in Unix milliseconds, for starts that are not known
}

// wellFormed reports whether an entry can be used by itself. Only one that is ready needs an address.
func (e *Endpoint) wellFormed() bool {
	if e.UID == "" || e.State == StateUnknown {
		return false
	}
	_, _, err := net.SplitHostPort(e.Address)
	return err == nil || e.State != balancer.EndpointReady
}

// sameVerdict reports whether two verdicts are the same for the balancer, which does not get the fields that only Consul has.
func sameVerdict(a, b *Endpoint) bool {
	return a.UID == b.UID && a.Address == b.Address && a.Zone == b.Zone && a.Model == b.Model && a.Cell == b.Cell &&
		a.State == b.State && a.Weight == b.Weight && a.StartedMS == b.StartedMS
}

// StateName returns the name of a state in log lines and on the admin pages.
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
