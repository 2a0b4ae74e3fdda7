package events

// Kinds of events. Their texts are part of the interface to tools, and keep words that the code no longer uses. Readers ignore kinds that
// they don't know, which later versions may add.
const (
	EndpointServing      = "endpoint_serves"
	EndpointDraining     = "endpoint_drains"
	EndpointGone         = "endpoint_left"          // deregistered, ended in order, or replaced
	EndpointCrashed      = "endpoint_crashed"       // ended unannounced, or its lease has expired
	ConfigurationApplied = "configuration_in_force" // by the process that keeps the feed; Version says which
	RoleAcquired         = "duty_came"              // a singleton role, by Node; Detail says which, and the fencing token
	RoleLost             = "duty_went"
	QuotaExhausted       = "quota_hit"
	MemberReachable      = "machine_in_touch"
	MemberUnreachable    = "machine_out_of_touch"
	Gap                  = "gap" // events are missing here; Detail says why
)

// Event is one change. Fields that don't apply are empty.
type Event struct {
	Cursor   string `json:"cursor"`         // Cursor of the feed that it was read from, as text
	Time     string `json:"time,omitempty"` // RFC 3339 in UTC, by the clock of the process that saw it
	Kind     string `json:"kind"`
	Node     string `json:"node,omitempty"` // internal address of the process that it is about
	Zone     string `json:"zone,omitempty"`
	Service  string `json:"service,omitempty"`
	Endpoint string `json:"endpoint,omitempty"` // its id
	Tenant   string `json:"tenant,omitempty"`
	Version  string `json:"version,omitempty"` // of the configuration
	Detail   string `json:"detail,omitempty"`  // for people
}

// Filter passes events that match all of its fields that are not empty, and all gaps.
type Filter struct{ Service, Tenant, Zone string }

// Passes reports whether an event matches.
func (f Filter) Passes(e *Event) bool {
	if e.Kind == Gap {
		return true
	}
	matches := func(wanted, found string) bool { return wanted == "" || wanted == found }
	return matches(f.Service, e.Service) && matches(f.Tenant, e.Tenant) && matches(f.Zone, e.Zone)
}
