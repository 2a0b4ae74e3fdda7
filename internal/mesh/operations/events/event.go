package events

// Kinds of events. Their texts are part of the interface to tools and never change, although the code uses other words. Readers ignore
// unknown kinds, which later versions may add.
const (
	EndpointServing      = "endpoint_serves"
	EndpointDraining     = "endpoint_drains"
	EndpointGone         = "endpoint_left"          // deregistered, shut down gracefully, or replaced
	EndpointCrashed      = "endpoint_crashed"       // ended without an announcement, or its lease has expired
	ConfigurationApplied = "configuration_in_force" // by the process that keeps the feed; Version is the configuration's
	RoleAcquired         = "duty_came"              // a singleton role, by Node; Detail has the role and the fencing token
	RoleLost             = "duty_went"
	QuotaExhausted       = "quota_hit"
	MemberReachable      = "machine_in_touch"
	MemberUnreachable    = "machine_out_of_touch"
	Gap                  = "gap" // events are missing here; Detail has the reason
)

// Event is one change. Fields that do not apply are empty.
type Event struct {
	Cursor   string `json:"cursor"`         // text of a Cursor of the feed from which the event was read
	Time     string `json:"time,omitempty"` // RFC 3339 in UTC, by the clock of the process that has observed the change
	Kind     string `json:"kind"`
	Node     string `json:"node,omitempty"` // internal address of the process that the event concerns
	Zone     string `json:"zone,omitempty"`
	Service  string `json:"service,omitempty"`
	Endpoint string `json:"endpoint,omitempty"` // ID
	Tenant   string `json:"tenant,omitempty"`
	Version  string `json:"version,omitempty"` // of the configuration
	Detail   string `json:"detail,omitempty"`  // for people
}

// Filter selects the events that match all of its non-empty fields, and all gaps.
type Filter struct{ Service, Tenant, Zone string }

// Passes reports whether the filter selects an event.
func (f Filter) Passes(e *Event) bool {
	if e.Kind == Gap {
		return true
	}
	matches := func(wanted, found string) bool { return wanted == "" || wanted == found }
	return matches(f.Service, e.Service) && matches(f.Tenant, e.Tenant) && matches(f.Zone, e.Zone)
}
