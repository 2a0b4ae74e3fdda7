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

// endpointTable is the table of the endpoints that are listed. One that was removed is forgotten at once: an attempt that is
// still in flight to it holds on to its endpoint, which is open to nothing new. The loop owns the table.
type endpointTable struct {
	origin time.Time // zero of the event clock
	byID   map[balancer.EndpointID]*exchange.Endpoint
	ids    map[string]balancer.EndpointID // by uid
	zones  nameIndex
	models nameIndex
}

// nameIndex numbers names as the settings do, and those that they lack after them. The merger bounds them.
type nameIndex map[string]int

// index is the number of a name, a new one if it has none.
func (n nameIndex) index(name string) int {
	i, ok := n[name]
	if !ok {
		i = len(n)
		n[name] = i
	}
	return i
}

// newEndpoints makes an empty table that numbers zones and models as the settings list them.
func newEndpoints(zones, models []string, origin time.Time) *endpointTable {
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

// endpointID numbers a uid. Where it ends in 32 bits of hexadecimal, as discovery's do, these are its number: the
// same at every sidecar, and no two share it. Others are hashed, and where two would share a number, the
// later one moves on.
func (e *endpointTable) endpointID(uid string) balancer.EndpointID {
	if id, ok := e.ids[uid]; ok {
		return id
	}
	n, err := strconv.ParseUint(uid[strings.LastIndexByte(uid, '-')+1:], 16, 32)
	if err != nil {
		h := fnv.New32a()
		_, _ = io.WriteString(h, uid) // a hash takes all
		n = uint64(h.Sum32())
	}
	id := balancer.EndpointID(n)
	for e.byID[id] != nil {
		id++
	}
	return id
}

// insert puts an endpoint into the table, in the place of one that it replaces.
func (e *endpointTable) insert(endpoint *exchange.Endpoint) {
	e.byID[endpoint.ID] = endpoint
	e.ids[endpoint.UID] = endpoint.ID
}

// remove takes an endpoint out of the table and closes it to new attempts.
func (e *endpointTable) remove(endpoint *exchange.Endpoint) {
	endpoint.Open.Store(false)
	delete(e.byID, endpoint.ID)
	delete(e.ids, endpoint.UID)
}

// apply takes a list in and returns it in the Balancer's terms, with the endpoints whose idle connections
// are of no more use.
func (e *endpointTable) apply(list endpointsource.List) (entries []balancer.ListEntry, retired []*exchange.Endpoint) {
	listed := map[balancer.EndpointID]bool{}
	for _, x := range list.Endpoints {
		id := e.endpointID(x.UID)
		listed[id] = true
		endpoint, replaced := e.current(id, &x)
		if replaced != nil {
			retired = append(retired, replaced)
		}
		endpoint.Zone = x.Zone
		endpoint.Cell = x.Cell
		endpoint.Open.Store(x.State == balancer.EndpointReady)
		if x.State != balancer.EndpointReady {
			retired = append(retired, endpoint)
		}
		if x.State == balancer.EndpointRemoved {
			e.remove(endpoint)
		}
		entries = append(entries, balancer.ListEntry{
			Endpoint: id, Zone: e.zones.index(x.Zone), MachineKind: e.models.index(x.Model), Cell: x.Cell, State: x.State,
			Weight: x.Weight, StartedAt: e.startTime(x.StartedMS),
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

// current is the endpoint of a number as it is listed, a new one where it is new, or has restarted or moved; then replaced is
// the one before, closed to new attempts.
func (e *endpointTable) current(id balancer.EndpointID, listed *endpointsource.Endpoint) (endpoint, replaced *exchange.Endpoint) {
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

// hasChanged reports whether an endpoint is listed as ready at another address or with another start.
func hasChanged(known *exchange.Endpoint, listed *endpointsource.Endpoint) bool {
	return listed.State == balancer.EndpointReady && (known.Address != listed.Address || known.BootMS != listed.StartedMS)
}

// startTime puts a start in Unix time, in milliseconds, on the event clock. It always gives the same for the same start: the
// Balancer takes a later one for a restart. 0 stands for long past.
func (e *endpointTable) startTime(bootMS int64) time.Duration {
	if bootMS == 0 {
		return 0
	}
	return max(time.UnixMilli(bootMS).Sub(e.origin.Round(0)), 0)
}
