package endpointsource

import (
	"slices"

	"quincegap/internal/balancer"
)

// PreparedList is a platform list with its endpoints grouped for Merger.Chunks. Grouping takes longer than handling a chunk, so it is
// done by a goroutine other than the one that owns the Merger.
type PreparedList struct {
	list            List
	lastIndex       map[string]int // index of the last well-formed entry of each uid; nil if the list is not to be divided
	notReady, ready []Endpoint     // endpoints that get no new requests, and those that do; no usable uid twice
}

// PrepareList groups the endpoints of a list for Merger.Chunks. A list of at most maxEntries entries and a cached list are not grouped,
// because Chunks does not divide them.
func PrepareList(list List, maxEntries int) PreparedList {
	prepared := PreparedList{list: list}
	if len(list.Endpoints) <= maxEntries || list.Kind == balancer.ListCached {
		return prepared
	}
	prepared.lastIndex = make(map[string]int, len(list.Endpoints))
	for i := range list.Endpoints {
		if e := &list.Endpoints[i]; e.wellFormed() {
			prepared.lastIndex[e.UID] = i // the last of several entries with the same uid is used
		}
	}
	for i := range list.Endpoints {
		e := &list.Endpoints[i]
		lastIndex, wellFormed := prepared.lastIndex[e.UID]
		switch {
		case wellFormed && lastIndex != i:
		case e.State == balancer.EndpointReady:
			prepared.ready = append(prepared.ready, *e)
		default:
			prepared.notReady = append(prepared.notReady, *e) // includes unusable entries, which are logged when their chunk is handled
		}
	}
	return prepared
}

// Chunks divides a long list into deltas of at most maxEntries entries, so that other events can be handled between them. It returns one
// function for each delta. Endpoints that must get no more new requests come first, because their removal is urgent. A short list, the
// first list and a cached list are not divided: the only function returns the list itself.
//
// All deltas together have the same effect as the list. The caller must create and handle them in order, before any later list.
func (m *Merger) Chunks(prepared PreparedList, maxEntries int) (chunks []func() List) {
	if prepared.lastIndex == nil || !m.published {
		return []func() List{func() List { return prepared.list }}
	}
	delta := func(endpoints []Endpoint) List {
		return List{Kind: balancer.ListDelta, Version: prepared.list.Version, Endpoints: endpoints}
	}
	for chunk := range slices.Chunk(prepared.notReady, maxEntries) {
		chunks = append(chunks, func() List { return delta(chunk) })
	}
	if prepared.list.Kind == balancer.ListFull {
		// The missing endpoints are found now. Copying them takes longer, so this is done chunk by chunk.
		for chunk := range slices.Chunk(m.missingFrom(prepared), maxEntries) {
			chunks = append(chunks, func() List { return delta(asRemoved(chunk)) })
		}
	}
	for chunk := range slices.Chunk(prepared.ready, maxEntries) {
		chunks = append(chunks, func() List { return delta(chunk) })
	}
	return chunks
}

// missingFrom returns the endpoints of earlier platform lists that the prepared list lacks.
func (m *Merger) missingFrom(prepared PreparedList) (missing []*Endpoint) {
	for uid, entry := range m.entries {
		if entry.platform == nil {
			continue
		}
		if _, listed := prepared.lastIndex[uid]; listed {
			continue
		}
		if missing == nil {
			missing = make([]*Endpoint, 0, len(m.entries))
		}
		missing = append(missing, entry.platform)
	}
	return missing
}

// asRemoved returns copies of endpoints with the state EndpointRemoved.
func asRemoved(endpoints []*Endpoint) []Endpoint {
	all := make([]Endpoint, len(endpoints))
	for i, e := range endpoints {
		all[i] = *e
		all[i].State = balancer.EndpointRemoved
	}
	return all
}
