package standalone

import (
	"hash/fnv"
	"io"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/network/exchange"
)

// endpointTable is the table of the listed endpoints. A removed endpoint is deleted immediately and closed to new attempts; an attempt
// that is still in flight keeps its pointer to it. The loop owns the table.
type endpointTable struct {
	origin time.Time // zero of the event clock
	byID   map[balancer.EndpointID]*exchange.Endpoint
	ids    map[string]balancer.EndpointID // numbers of endpoints by uid
	zones  nameIndex
	models nameIndex
}

// nameIndex numbers names: first those in the settings, in their order, then others as they appear. The merger limits how many there
// are.
type nameIndex map[string]int

// index returns the number of a name. A new name gets the next number.
func (n nameIndex) index(name string) int {
	i, ok := n[name]
	if !ok {
		i = len(n)
		n[name] = i
	}
	return i
}

// newEndpointTable returns an empty table that numbers zones and models as the settings list them.
func newEndpointTable(zones, models []string, origin time.Time) *endpointTable {
	t := &endpointTable{
		origin: origin, byID: map[balancer.EndpointID]*exchange.Endpoint{},
		ids: map[string]balancer.EndpointID{}, zones: nameIndex{}, models: nameIndex{},
	}
	for _, z := range zones {
		t.zones.index(z)
	}
	for _, m := range models {
		t.models.index(m)
	}
	return t
}

// endpointID returns the endpoint's number for a uid. A uid from discovery ends in a unique hexadecimal number of 32 bits, which is used
// so that all sidecars use the same number. Other uids are hashed; if the number is taken, the next free one is used.
func (e *endpointTable) endpointID(uid string) balancer.EndpointID {
	if id, ok := e.ids[uid]; ok {
		return id
	}
	n, err := strconv.ParseUint(uid[strings.LastIndexByte(uid, '-')+1:], 16, 32)
	if err != nil {
		h := fnv.New32a()
		_, _ = io.WriteString(h, uid) // never returns an error
		n = uint64(h.Sum32())
	}
	id := balancer.EndpointID(n)
	for e.byID[id] != nil {
		id++
	}
	return id
}

// insert adds an endpoint to the table, replacing any endpoint with the same number.
func (e *endpointTable) insert(endpoint *exchange.Endpoint) {
	e.byID[endpoint.ID] = endpoint
	e.ids[endpoint.UID] = endpoint.ID
}

// remove deletes an endpoint from the table and closes it to new attempts.
func (e *endpointTable) remove(endpoint *exchange.Endpoint) {
	endpoint.Open.Store(false)
	delete(e.byID, endpoint.ID)
	delete(e.ids, endpoint.UID)
}

// apply updates the table from a list. It returns the entries of the list for the Balancer, and the endpoints whose idle connections
// must be closed.
func (e *endpointTable) apply(list endpointsource.List) (entries []balancer.ListEntry, retired []*exchange.Endpoint) {
	listed := map[balancer.EndpointID]bool{}
	for _, reported := range list.Endpoints {
		id := e.endpointID(reported.UID)
		listed[id] = true
		endpoint, replaced := e.findOrReplace(id, &reported)
		if replaced != nil {
			retired = append(retired, replaced)
		}
		endpoint.Zone = reported.Zone
		endpoint.Cell = reported.Cell
		endpoint.Open.Store(reported.State == balancer.EndpointReady)
		if reported.State != balancer.EndpointReady {
			retired = append(retired, endpoint)
		}
		if reported.State == balancer.EndpointRemoved {
			e.remove(endpoint)
		}
		entries = append(entries, balancer.ListEntry{
			Endpoint:    id,
			Zone:        e.zones.index(reported.Zone),
			MachineKind: e.models.index(reported.Model),
			Cell:        reported.Cell,
			State:       reported.State,
			Weight:      reported.Weight,
			StartedAt:   e.startTime(reported.StartedMS),
		})
	}
	if list.Kind == balancer.ListDelta {
		return entries, retired
	}
	for id, endpoint := range e.byID {
		if !listed[id] {
			e.remove(endpoint)
			retired = append(retired, endpoint)
		}
	}
	return entries, retired
}

// findOrReplace returns the endpoint with a number. If the endpoint is new, has restarted or has another address, it is created; replaced
// is then the previous endpoint with that number, if any, which is closed to new attempts.
func (e *endpointTable) findOrReplace(id balancer.EndpointID, listed *endpointsource.Endpoint) (endpoint, replaced *exchange.Endpoint) {
	known := e.byID[id]
	if known != nil && !hasChanged(known, listed) {
		return known, nil
	}
	if known != nil {
		known.Open.Store(false)
	}
	endpoint = &exchange.Endpoint{ID: id, UID: listed.UID, Address: listed.Address, BootMS: listed.StartedMS}
	e.insert(endpoint)
	return endpoint, known
}

// hasChanged reports whether an endpoint is listed as ready with another address or another start time.
func hasChanged(known *exchange.Endpoint, listed *endpointsource.Endpoint) bool {
	return listed.State == balancer.EndpointReady && (known.Address != listed.Address || known.BootMS != listed.StartedMS)
}

// startTime converts a start time, in milliseconds of Unix time, to the event clock. The result is always the same for the same start,
// because the Balancer takes a later one for a restart. 0 means long ago, both in the argument and in the result.
func (e *endpointTable) startTime(bootMS int64) time.Duration {
	if bootMS == 0 {
		return 0
	}
	return max(time.UnixMilli(bootMS).Sub(e.origin.Round(0)), 0)
}
