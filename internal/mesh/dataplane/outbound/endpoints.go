package outbound

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/discovery"
)

// knownEndpoint is one endpoint as the balancer knows it, by a number.
type knownEndpoint struct {
	number balancer.EndpointID
	discovery.Endpoint
}

// endpointTable holds the endpoints of one service. A new start of an endpoint's process has another ID, and gets another number.
type endpointTable struct {
	byNumber    map[balancer.EndpointID]*knownEndpoint
	byID        map[string]*knownEndpoint
	lastNumber  balancer.EndpointID
	listVersion uint64
}

func newEndpointTable() endpointTable {
	return endpointTable{byNumber: map[balancer.EndpointID]*knownEndpoint{}, byID: map[string]*knownEndpoint{}}
}

// update takes the complete list of the service's endpoints, and returns it as the balancer takes it. Those that are gone are left out.
func (t *endpointTable) update(now time.Duration, endpoints []discovery.Endpoint, zoneNumber func(string) int) balancer.EndpointList {
	t.listVersion++
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: t.listVersion}
	listed := map[string]bool{}
	for _, endpoint := range endpoints {
		if endpoint.State >= discovery.Crashed {
			continue
		}
		known := t.find(endpoint.ID)
		known.Endpoint = endpoint
		listed[endpoint.ID] = true
		list.Entries = append(list.Entries, listEntry(now, known, zoneNumber(endpoint.Zone)))
	}
	for id, known := range t.byID {
		if !listed[id] {
			delete(t.byID, id)
			delete(t.byNumber, known.number)
		}
	}
	return list
}

// find returns what is known of an endpoint, a new entry with the next number if nothing is.
func (t *endpointTable) find(id string) *knownEndpoint {
	if known := t.byID[id]; known != nil {
		return known
	}
	t.lastNumber++
	known := &knownEndpoint{number: t.lastNumber}
	t.byID[id] = known
	t.byNumber[known.number] = known
	return known
}

// listEntry is an endpoint's entry in the balancer's list.
func listEntry(now time.Duration, endpoint *knownEndpoint, zone int) balancer.ListEntry {
	entry := balancer.ListEntry{Endpoint: endpoint.number, Zone: zone, Weight: 1}
	if endpoint.State == discovery.Draining {
		entry.State = balancer.EndpointDraining
	}
	if endpoint.WarmupRemaining > 0 {
		entry.StartedAt = now + endpoint.WarmupRemaining - slowStartWindow
	}
	return entry
}
