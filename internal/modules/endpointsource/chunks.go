package endpointsource

import (
	"slices"

	"quincegap/internal/balancer"
)

// PreparedList is a list of the platform's, sorted out before it is judged: that takes longer than judging may, and needs nothing
// of a Merger.
type PreparedList struct {
	list            List
	last            map[string]int // by uid, the index of its last entry that may be usable; nil for a list that stays as it is
	notReady, ready []Endpoint     // what gets no new work, and the others, each endpoint once
}

// PrepareList sorts a list out. Lists of at most maxEntries entries are not worth that, and stay as they are.
func PrepareList(list List, maxEntries int) PreparedList {
	prepared := PreparedList{list: list}
	if len(list.Endpoints) <= maxEntries || list.Kind == balancer.ListCached {
		return prepared
	}
	prepared.last = make(map[string]int, len(list.Endpoints))
	for i := range list.Endpoints {
		if e := &list.Endpoints[i]; e.wellFormed() {
			prepared.last[e.UID] = i // named twice, the later word counts
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
			prepared.notReady = append(prepared.notReady, *e) // what cannot be used, too: that is logged when it is judged
		}
	}
	return prepared
}

// Chunks takes a long list apart into deltas of at most maxEntries entries, so that others can be served between them. What gets no
// new work, drains or is gone, comes first: that may not wait for the rest. A list that is short, the first one, and one that
// was only known from before stay as they are.
//
// The chunks say together what the list says. They are to be made and handled in their order, and before any later list.
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
		// What is missing is found at once, and made a list of chunk by chunk: that takes longer.
		for chunk := range slices.Chunk(m.notIn(prepared), maxEntries) {
			chunks = append(chunks, func() List { return delta(removed(chunk)) })
		}
	}
	for chunk := range slices.Chunk(prepared.ready, maxEntries) {
		chunks = append(chunks, func() List { return delta(chunk) })
	}
	return chunks
}

// notIn is what the platform has listed before and does not list now.
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

// removed are endpoints as they are listed when they are gone.
func removed(endpoints []*Endpoint) []Endpoint {
	all := make([]Endpoint, len(endpoints))
	for i, e := range endpoints {
		all[i] = *e
		all[i].State = balancer.EndpointRemoved
	}
	return all
}
