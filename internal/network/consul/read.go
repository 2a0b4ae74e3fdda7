package consul

import (
	"cmp"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"strings"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// Bounds on what an answer may make grow.
const (
	maxBodyBytes = 64 << 20 // bytes of one answer
	maxInstances = 20000
	maxTextBytes = 255 // bytes of an id, a name or an address
	maxWeight    = 65535
)

// instance is what is read of one element of /v1/health/service/:service (Consul's API, Health, "List
// Service Instances for Service"). What is not named here is passed over.
type instance struct {
	Node struct {
		Node       string
		Address    string
		Datacenter string
	}
	Service struct {
		ID          string
		Address     string
		Port        int
		Meta        map[string]string
		Weights     struct{ Passing, Warning int }
		CreateIndex uint64
	}
	Checks []struct {
		CheckID string
		Status  string
	}
}

// catalogEntry is what is read of one element of /v1/catalog/service/:service.
type catalogEntry struct {
	Node        string
	ServiceID   string
	ServiceMeta map[string]string
}

// uid names an instance. Service IDs are unique on a node only; where the platform's list is overlaid, its
// names are used.
func (s *Settings) uid(node, id string, meta map[string]string, qualified bool) string {
	if u := meta[s.UIDMeta]; s.UIDMeta != "" && u != "" {
		return u
	}
	if qualified {
		return id + "@" + node
	}
	return id
}

// endpoint maps an instance, or says why it cannot be used.
func (s *Settings) endpoint(i *instance, qualified bool) (e endpointsource.Endpoint, fault string) {
	e.UID = s.uid(i.Node.Node, i.Service.ID, i.Service.Meta, qualified)
	host := cmp.Or(i.Service.Address, i.Node.Address)
	switch {
	case i.Service.ID == "" || len(e.UID) > maxTextBytes:
		return e, "its id is missing or too long"
	case host == "" || len(host) > maxTextBytes || strings.ContainsAny(host, " /\r\n\t"):
		return e, fmt.Sprintf("its address %.40q is none", host)
	case i.Service.Port <= 0 || i.Service.Port > 65535:
		return e, fmt.Sprintf("its port %d is none", i.Service.Port)
	}
	e.Address = net.JoinHostPort(host, strconv.Itoa(i.Service.Port))
	e.Zone = cmp.Or(i.Service.Meta[s.ZoneMeta], i.Node.Datacenter)
	e.Model = i.Service.Meta[s.ModelMeta]
	if len(e.Zone) > maxTextBytes || len(e.Model) > maxTextBytes {
		return e, "its zone or model is too long"
	}
	if text := i.Service.Meta[s.CellMeta]; text != "" {
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return e, fmt.Sprintf("its cell %.40q is no number", text) // in a wrong cell a repeat would run twice
		}
		e.Cell = int(n)
	}
	e.StartUnknown = true
	if ms, err := strconv.ParseInt(i.Service.Meta[s.StartMeta], 10, 64); err == nil && ms >= 0 {
		e.StartedMS, e.StartUnknown = ms, false
	}
	e.RegistrationIndex = i.Service.CreateIndex
	s.applyChecks(i, &e)
	return e, ""
}

// applyChecks sets the state and the weight: the worst of all checks, the node's and the service's. Maintenance
// modes are checks with names of their own (Consul's API, Agent, "Enable Maintenance Mode").
func (s *Settings) applyChecks(i *instance, e *endpointsource.Endpoint) {
	passing := min(max(cmp.Or(i.Service.Weights.Passing, 1), 1), maxWeight)
	warning := min(max(i.Service.Weights.Warning, 0), maxWeight)
	e.Weight, e.WeightShare = float64(passing), 1
	warned := ""
	for _, c := range i.Checks {
		id := c.CheckID
		if len(id) > 64 {
			id = strings.ToValidUTF8(id[:64], "")
		}
		switch {
		case c.CheckID == "_node_maintenance" || strings.HasPrefix(c.CheckID, "_service_maintenance") || c.Status == "maintenance":
			e.State, e.Maintenance, e.Reason = balancer.EndpointDraining, true, "in maintenance"
		case c.Status == "passing":
		case c.Status == "warning":
			warned = id
		default: // critical, and what a later Consul may say
			if e.State = balancer.EndpointDraining; !e.Maintenance {
				e.Reason = fmt.Sprintf("check %q is %.20s", id, c.Status)
			}
		}
	}
	if e.State != balancer.EndpointReady || warned == "" {
		return
	}
	if warning == 0 {
		// Consul's own DNS leaves such an instance out.
		e.State, e.Reason = balancer.EndpointDraining, fmt.Sprintf("check %q warns, and its weight is 0 then", warned)
		return
	}
	e.Weight, e.WeightShare = float64(warning), float64(warning)/float64(passing)
	e.Reason = fmt.Sprintf("check %q warns", warned)
}

// addEndpoint maps an instance into an answer. Faults tell what was passed over.
func (s *Settings) addEndpoint(by map[string]endpointsource.Endpoint, i *instance, qualified bool, faults []string) []string {
	const mostFaults = 10
	e, fault := s.endpoint(i, qualified)
	if fault != "" {
		if len(faults) < mostFaults {
			faults = append(faults, fmt.Sprintf("instance %.60q passed over: %s", i.Service.ID, fault))
		}
		return faults
	}
	if other, twice := by[e.UID]; !twice || other.RegistrationIndex < e.RegistrationIndex {
		by[e.UID] = e
	}
	return faults
}

// diff is what one answer changes of the one before.
func diff(before, after map[string]endpointsource.Endpoint) (a endpointsource.ConsulAnswer) {
	a.KnownBefore = len(before)
	n := 0
	for uid, e := range after {
		if n++; n%256 == 0 {
			runtime.Gosched() // as when it was read
		}
		if was, ok := before[uid]; !ok || was != e {
			a.Changed = append(a.Changed, e)
		}
	}
	for uid := range before {
		if _, ok := after[uid]; !ok {
			a.Missing = append(a.Missing, uid)
		}
	}
	return a
}

// nextIndex is the index of the next blocking query (Consul's API, Blocking Queries, "Implementation
// Details"): one that goes backwards begins anew, and 0 is never asked again after an answer.
func nextIndex(last, got uint64) uint64 {
	switch {
	case got == 0:
		return 0 // no index came: there is nothing to block on
	case got < last:
		return 0
	}
	return max(got, 1)
}
