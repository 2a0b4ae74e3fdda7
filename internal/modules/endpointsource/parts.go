package endpointsource

import (
	"slices"

	"quincegap/internal/balancer"
)

// PreparedList is a list of the platform's, sorted out ahead: that takes longer than its judges may, and nothing of them.
type PreparedList struct {
	list            List
	last            map[string]int // by uid, the place of its last entry that may be usable
	notReady, ready []Endpoint     // what gets no new work, and the others, each endpoint once
}

// PrepareList sorts a list out. Lists of at most a number of entries are not worth that, and stay as they are.
func PrepareList(l List, most int) PreparedList {
	d := PreparedList{list: l}
	if len(l.Endpoints) <= most || l.Kind == balancer.ListCached {
		return d
	}
	d.last = make(map[string]int, len(l.Endpoints))
	for i := range l.Endpoints {
		if e := &l.Endpoints[i]; e.wellFormed() {
			d.last[e.UID] = i // named twice, the later word counts
		}
	}
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		last, sound := d.last[e.UID]
		switch {
		case sound && last != i:
		case e.State == balancer.EndpointReady:
			d.ready = append(d.ready, *e)
		default:
			d.notReady = append(d.notReady, *e) // what cannot be used, too: its judges log that
		}
	}
	return d
}

// Chunks takes a long list apart into changes of at most a number of entries, so that others can be served between
// them. What gets no new work, drains or is gone, comes first: news of that may not wait for the rest. A list
// that is short, the first one, and one that was only known from before stay as they are.
//
// The parts say together what the list says. They are to be made and judged in their order, and before any later list.
func (m *Merger) Chunks(d PreparedList, most int) (parts []func() List) {
	if d.last == nil || !m.published {
		return []func() List{func() List { return d.list }}
	}
	delta := func(all []Endpoint) List {
		return List{Kind: balancer.ListDelta, Version: d.list.Version, Endpoints: all}
	}
	for part := range slices.Chunk(d.notReady, most) {
		parts = append(parts, func() List { return delta(part) })
	}
	if d.list.Kind == balancer.ListFull {
		// What is missing is found at once, and made news of part by part: that takes longer.
		var missing []*Endpoint
		for uid, x := range m.entries {
			if x.platform != nil {
				if _, listed := d.last[uid]; !listed {
					if missing == nil {
						missing = make([]*Endpoint, 0, len(m.entries))
					}
					missing = append(missing, x.platform)
				}
			}
		}
		for part := range slices.Chunk(missing, most) {
			parts = append(parts, func() List {
				all := make([]Endpoint, len(part))
				for i, e := range part {
					all[i] = *e
					all[i].State = balancer.EndpointRemoved
				}
				return delta(all)
			})
		}
	}
	for part := range slices.Chunk(d.ready, most) {
		parts = append(parts, func() List { return delta(part) })
	}
	return parts
}
