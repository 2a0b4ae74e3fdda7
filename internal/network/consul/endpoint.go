package consul

import (
	"cmp"
	"fmt"
	"net"
	"strconv"
	"strings"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// Bounds on the memory that an answer may use, and on its numbers.
const (
	maxInstances    = 20000
	maxTextBytes    = 255 // length of an ID, a name or an address
	maxCheckIDBytes = 64  // length of a check's ID in a reason
	maxWeight       = 65535
	maxPort         = 65535
)

// The statuses of checks and the IDs of maintenance checks in Consul's API.
const (
	statusPassing     = "passing"
	statusWarning     = "warning"
	statusCritical    = "critical"
	statusMaintenance = "maintenance"
	// The IDs of the checks that represent a maintenance mode (Consul's API, Agent, "Enable Maintenance Mode").
	nodeMaintenance    = "_node_maintenance"
	serviceMaintenance = "_service_maintenance" // followed by a colon and the service's ID
)

// check is one health check of an instance or its node.
type check struct {
	CheckID string
	Status  string
}

// instance has those fields of one element of /v1/health/service/:service (Consul's API, Health, "List Service Instances for Service")
// that this package uses. Their names are those of the API.
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
	Checks []check
}

// catalogEntry has those fields of one element of /v1/catalog/service/:service that this package uses.
type catalogEntry struct {
	Node        string
	ServiceID   string
	ServiceMeta map[string]string
}

// uid returns the UID of an instance: the one in its metadata if the settings name a field for it and the instance has that field,
// otherwise its service ID. Service IDs are unique only on a node, so a qualified UID also contains the node's name; an unqualified one
// matches the names in the platform's list.
func (s *Settings) uid(node, id string, meta map[string]string, qualified bool) string {
	if u := meta[s.UIDMeta]; s.UIDMeta != "" && u != "" {
		return u
	}
	if qualified {
		return id + "@" + node
	}
	return id
}

// endpoint returns the endpoint of an instance. If the instance can't be used, fault is the reason.
func (s *Settings) endpoint(i *instance, qualified bool) (result endpointsource.Endpoint, fault string) {
	result.UID = s.uid(i.Node.Node, i.Service.ID, i.Service.Meta, qualified)
	host := cmp.Or(i.Service.Address, i.Node.Address)
	switch {
	case i.Service.ID == "" || len(result.UID) > maxTextBytes:
		return result, "its id is missing or too long"
	case host == "" || len(host) > maxTextBytes || strings.ContainsAny(host, " /[]\r\n\t"):
		return result, fmt.Sprintf("its address %.40q is none", host)
	case i.Service.Port <= 0 || i.Service.Port > maxPort:
		return result, fmt.Sprintf("its port %d is none", i.Service.Port)
	}
	result.Address = net.JoinHostPort(host, strconv.Itoa(i.Service.Port))
	if fault := s.readMeta(i, &result); fault != "" {
		return result, fault
	}
	result.RegistrationIndex = i.Service.CreateIndex
	applyChecks(i, &result)
	return result, ""
}

// readMeta sets the fields of e that come from the service's metadata. If the instance can't be used, it returns the reason.
func (s *Settings) readMeta(i *instance, e *endpointsource.Endpoint) (fault string) {
	e.Zone = cmp.Or(i.Service.Meta[s.ZoneMeta], i.Node.Datacenter)
	e.Model = i.Service.Meta[s.ModelMeta]
	if len(e.Zone) > maxTextBytes || len(e.Model) > maxTextBytes {
		return "its zone or model is too long"
	}
	if text := i.Service.Meta[s.CellMeta]; text != "" {
		cell, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return fmt.Sprintf("its cell %.40q is no number", text) // with a wrong cell, a retried request would be executed twice
		}
		e.Cell = int(cell)
	}
	e.StartUnknown = true
	if ms, err := strconv.ParseInt(i.Service.Meta[s.StartMeta], 10, 64); err == nil && ms >= 0 {
		e.StartedMS = ms
		e.StartUnknown = false
	}
	return ""
}

// applyChecks sets the endpoint's state, weights and reason according to the worst of all checks of the node and the service.
func applyChecks(i *instance, endpoint *endpointsource.Endpoint) {
	passing := min(max(cmp.Or(i.Service.Weights.Passing, 1), 1), maxWeight)
	warning := min(max(i.Service.Weights.Warning, 0), maxWeight)
	endpoint.Weight = float64(passing)
	endpoint.WeightShare = 1
	warned := "" // ID of a check with the status warning; empty for none
	for _, c := range i.Checks {
		switch {
		case c.maintenance():
			endpoint.State = balancer.EndpointDraining
			endpoint.Maintenance = true
			endpoint.Reason = "in maintenance"
		case c.Status == statusPassing:
		case c.Status == statusWarning:
			warned = c.shortID()
		default: // critical, or an unknown status of a later version of Consul
			endpoint.State = balancer.EndpointDraining
			if !endpoint.Maintenance {
				endpoint.Reason = fmt.Sprintf("check %q is %.20s", c.shortID(), c.Status)
			}
		}
	}
	if endpoint.State != balancer.EndpointReady || warned == "" {
		return
	}
	if warning == 0 {
		// Consul's DNS interface omits such an instance, too.
		endpoint.State = balancer.EndpointDraining
		endpoint.Reason = fmt.Sprintf("check %q warns, and its weight is 0 then", warned)
		return
	}
	endpoint.Weight = float64(warning)
	endpoint.WeightShare = float64(warning) / float64(passing)
	endpoint.Reason = fmt.Sprintf("check %q warns", warned)
}

// maintenance reports whether a check represents a maintenance mode.
func (c *check) maintenance() bool {
	return c.CheckID == nodeMaintenance || strings.HasPrefix(c.CheckID, serviceMaintenance) || c.Status == statusMaintenance
}

// shortID returns the check's ID, truncated to maxCheckIDBytes for use in a reason.
func (c *check) shortID() string {
	if len(c.CheckID) > maxCheckIDBytes {
		return strings.ToValidUTF8(c.CheckID[:maxCheckIDBytes], "")
	}
	return c.CheckID
}
