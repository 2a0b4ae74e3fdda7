package endpointsource

import (
	"slices"

	"quincegap/internal/balancer"
)

// PreparedList is a list of the platform that was sorted by another goroutine than the one that owns the Merger, because sorting takes
// longer than handling a chunk.
type PreparedList struct {
	list            List
	last            map[string]int // by uid, the index of its last well-formed entry; nil for a list that is not divided
	notReady, ready []Endpoint     // endpoints that get no new requests, and the others, each of them once
}

// PrepareList sorts a list for Chunks. Lists of at most maxEntries entries are not divided.
func PrepareList(list List, maxEntries int) PreparedList {
	prepared := PreparedList{list: list}
	if len(list.Endpoints) <= maxEntries || list.Kind == balancer.ListCached {
		return prepared
	}
	prepared.last = make(map[string]int, len(list.Endpoints))
	for i := range list.Endpoints {
		if e := &list.Endpoints[i]; e.wellFormed() {
			prepared.last[e.UID] = i // of several entries the last one counts
		}
	}
	for i := range list.Endpoints {
		e := &list.Endpoints[i]
		last, wellFormed := prepared.last[e.UID]
		switch {
		case wellFormed && last != i:
		case e.State == balancer.EndpointReady:
			prepared.ready = append(prepared.ready, *e)
		default:
			prepared.notReady = append(prepared.notReady, *e) // unusable entries as well: they are logged when they are handled
		}
	}
	return prepared
}

// Chunks divides a long list into deltas of at most maxEntries entries, so that other events can be handled between them. Endpoints
// that get no new requests come first, because they are urgent. A short list, the first list and a cached one are not divided.
//
// The chunks together have the same effect as the list. They have to be made and handled in their order, and before any later list.
func (m *Merger) Chunks(prepared PreparedList, maxEntries int) (chunks []func() List) {
	if prepared.last == nil || !m.published {
		return []func() List{func() List { return prepared.list }}
	}
	delta := func(endpoints []Endpoint) List {
		return List{Kind: balancer.ListDelta, Version: prepared.list.Version, Endpoints: endpoints}
	}
	for chunk := range slices.Chunk(prepared.notReady, maxEntries) {
		chunks = append(chunks, func() List { return delta(chunk) })
	}
	if prepared.list.Kind == balancer.ListFull {
		// The missing endpoints are found now, but the lists of them, which take longer, are made chunk by chunk.
		for chunk := range slices.Chunk(m.notIn(prepared), maxEntries) {
			chunks = append(chunks, func() List { return delta(removed(chunk)) })
		}
	}
	for chunk := range slices.Chunk(prepared.ready, maxEntries) {
		chunks = append(chunks, func() List { return delta(chunk) })
	}
	return chunks
}

// notIn returns the endpoints that the platform has listed before and that a list lacks.
func (m *Merger) notIn(prepared PreparedList) (missing []*Endpoint) {
	for uid, entry := range m.entries {
		if entry.platform == nil {
			continue
		}
		if _, listed := prepared.last[uid]; listed {
			continue
		}
		if missing == nil {
			missing = make([]*Endpoint, 0, len(m.entries))
		}
		missing = append(missing, entry.platform)
	}
	return missing
}

// removed returns copies of endpoints with the state of removed ones.
func removed(endpoints []*Endpoint) []Endpoint {
	all := make([]Endpoint, len(endpoints))
	for i, e := range endpoints {
		all[i] = *e
		all[i].State = balancer.EndpointRemoved
	}
	return all
}
