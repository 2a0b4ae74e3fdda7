package standalone

import (
	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// endpointList is a list of endpoints from discovery, complete or a delta. Discovery defines its keys.
type endpointList struct {
	Rev     uint64           `json:"rev"` // version of the list
	All     bool             `json:"all"` // the list is complete; otherwise it is a delta
	Targets []listedEndpoint `json:"targets"`
}

// listedEndpoint is an endpoint as discovery lists it.
type listedEndpoint struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"` // host:port
	Zone    string  `json:"az"`
	Model   string  `json:"model"` // model of the machine it runs on
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"` // see endpointStates
	Weight  float64 `json:"capacity_hint"`
	BootMS  int64   `json:"boot_ms"` // Unix time in milliseconds of the latest start; 0 if unknown
}

// endpointStates maps the names of states in discovery's lists to the states.
var endpointStates = map[string]balancer.EndpointState{
	"Ready":       balancer.EndpointReady,
	"Terminating": balancer.EndpointDraining,
	"Gone":        balancer.EndpointRemoved,
}

// sourceList converts the list to the form that the merger accepts.
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

// preparedList is a list that the goroutine that received it has already sorted into chunks, which saves the loop time.
type preparedList struct {
	endpointsource.PreparedList
	version uint64 // version of the list
	full    bool   // the list is complete; otherwise it is a delta
}

// prepare converts the list and sorts it into chunks for the loop.
func (e endpointList) prepare(from endpointsource.ListOrigin) preparedList {
	return preparedList{
		PreparedList: endpointsource.PrepareList(e.sourceList(from), maxChunkEntries),
		version:      e.Rev,
		full:         e.All,
	}
}
