package events

// Kinds of events. The strings are part of the interface to tools and never change, although the code uses other terms. Readers must
// ignore unknown kinds, because later versions may add some.
const (
	EndpointServing      = "endpoint_serves"
	EndpointDraining     = "endpoint_drains"
	EndpointGone         = "endpoint_left"          // the endpoint was deregistered, shut down gracefully or was replaced
	EndpointCrashed      = "endpoint_crashed"       // the endpoint ended without deregistering, or its lease expired
	ConfigurationApplied = "configuration_in_force" // the process that provides the feed has applied configuration Version
	RoleAcquired         = "duty_came"              // Node has acquired a singleton role; Detail has the role and the fencing token
	RoleLost             = "duty_went"
	QuotaExhausted       = "quota_hit"
	MemberReachable      = "machine_in_touch"
	MemberUnreachable    = "machine_out_of_touch"
	Gap                  = "gap" // events are missing at this position; Detail has the reason
)

// Event is one change in the mesh. Fields that do not apply to its kind are empty.
type Event struct {
	Cursor   string `json:"cursor"`         // position of the event, as text of a Cursor of the feed from which it was read
	Time     string `json:"time,omitempty"` // time of the change in RFC 3339 format and UTC, by the clock of the process that observed it
	Kind     string `json:"kind"`           // one of the kinds above, or a kind of a later version
	Node     string `json:"node,omitempty"` // internal address of the process that the event is about
	Zone     string `json:"zone,omitempty"`
	Service  string `json:"service,omitempty"`
	Endpoint string `json:"endpoint,omitempty"` // ID of the endpoint
	Tenant   string `json:"tenant,omitempty"`
	Version  string `json:"version,omitempty"` // version of the configuration
	Detail   string `json:"detail,omitempty"`  // explanation for people
}

// Filter selects the events that have the values of all its non-empty fields, and every gap.
type Filter struct{ Service, Tenant, Zone string }

// Matches reports whether the filter selects an event.
func (f Filter) Matches(e *Event) bool {
	if e.Kind == Gap {
		return true
	}
	emptyOrEqual := func(wanted, found string) bool { return wanted == "" || wanted == found }
	return emptyOrEqual(f.Service, e.Service) && emptyOrEqual(f.Tenant, e.Tenant) && emptyOrEqual(f.Zone, e.Zone)
}
