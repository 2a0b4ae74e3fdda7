package standalone

import (
	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// endpointList is a list of endpoints from discovery, complete or a delta. Discovery defines its keys.
type endpointList struct {
	Rev     uint64           `json:"rev"` // its version
	All     bool             `json:"all"` // the list is complete; otherwise it is a delta
	Targets []listedEndpoint `json:"targets"`
}

// listedEndpoint is an endpoint as discovery lists it.
type listedEndpoint struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"` // host:port
	Zone    string  `json:"az"`
	Model   string  `json:"model"` // of its machine
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"` // see endpointStates
	Weight  float64 `json:"capacity_hint"`
	BootMS  int64   `json:"boot_ms"` // its latest start, Unix time in milliseconds; 0 if that is not known
}

// endpointStates are the states by their names in lists of discovery.
var endpointStates = map[string]balancer.EndpointState{
	"Ready":       balancer.EndpointReady,
	"Terminating": balancer.EndpointDraining,
	"Gone":        balancer.EndpointRemoved,
}

// sourceList converts a list for the merger.
func (e endpointList) sourceList(from endpointsource.ListOrigin) endpointsource.List {
	list := endpointsource.List{Kind: balancer.ListDelta, Version: e.Rev}
	switch {
	case from == endpointsource.FromCache:
		list.Kind = balancer.ListCached
	case e.All:
		list.Kind = balancer.ListFull
	}
	for _, listed := range e.Targets {
		endpoint := endpointsource.Endpoint{
			UID: listed.UID, Address: listed.Address, Zone: listed.Zone, Model: listed.Model, Cell: listed.Cell,
			Weight: listed.Weight, StartedMS: listed.BootMS,
		}
		var ok bool
		if endpoint.State, ok = endpointStates[listed.State]; !ok {
			endpoint.State = endpointsource.StateUnknown
			endpoint.Reason = listed.State
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// preparedList is a list that was sorted by the goroutine that read it, so that the loop has less to do.
type preparedList struct {
	endpointsource.PreparedList
	rev uint64
	all bool
}

// prepare sorts a list for the loop.
func (e endpointList) prepare(from endpointsource.ListOrigin) preparedList {
	return preparedList{
		PreparedList: endpointsource.PrepareList(e.sourceList(from), maxChunkEntries),
		rev:          e.Rev,
		all:          e.All,
	}
}
