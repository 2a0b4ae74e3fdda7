package outbound

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/discovery"
)

// knownEndpoint is an endpoint with the number by which the balancer knows it.
type knownEndpoint struct {
	number balancer.EndpointID
	discovery.Endpoint
}

// endpointTable assigns numbers to the endpoints of one service. A restarted application is a new endpoint with another ID, and gets a new
// number.
type endpointTable struct {
	byNumber    map[balancer.EndpointID]*knownEndpoint
	byID        map[string]*knownEndpoint
	lastNumber  balancer.EndpointID
	listVersion uint64
}

func newEndpointTable() endpointTable {
	return endpointTable{byNumber: map[balancer.EndpointID]*knownEndpoint{}, byID: map[string]*knownEndpoint{}}
}

// update replaces the endpoints by the given complete list. It returns the list in the balancer's form, without endpoints that have crashed
// or left.
func (t *endpointTable) update(now time.Duration, endpoints []discovery.Endpoint, zoneNumber func(string) int) balancer.EndpointList {
	t.listVersion++
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: t.listVersion}
	listed := map[string]bool{}
	for _, endpoint := range endpoints {
		if endpoint.State >= discovery.Crashed {
			continue
		}
		known := t.findOrAdd(endpoint.ID)
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

// findOrAdd returns the entry of an endpoint. If there is none it adds one with the next number.
func (t *endpointTable) findOrAdd(id string) *knownEndpoint {
	if known := t.byID[id]; known != nil {
		return known
	}
	t.lastNumber++
	known := &knownEndpoint{number: t.lastNumber}
	t.byID[id] = known
	t.byNumber[known.number] = known
	return known
}

// listEntry returns an endpoint's entry in the balancer's list.
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
