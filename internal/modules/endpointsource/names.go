package endpointsource

import (
	"cmp"
	"slices"
)

// maxNames bounds the zones, and the models, that sources may bring: the balancer keeps something for each, for the life of the
// process.
const maxNames = 256

// nameSet is the names of one sort that are in use.
type nameSet map[string]bool

func newNames(known []string) nameSet {
	set := nameSet{}
	for _, name := range known {
		set[name] = true
	}
	return set
}

// admit takes a name in; false if there are too many.
func (n nameSet) admit(name string) bool {
	if n[name] {
		return true
	}
	if len(n) >= maxNames {
		return false
	}
	n[name] = true
	return true
}

// usable reports whether the balancer can be given an endpoint.
func (m *Merger) usable(e *Endpoint) bool {
	return e.wellFormed() && m.zones.admit(e.Zone) && m.models.admit(e.Model)
}

// filterUsable passes over entries that cannot be used; what was known of them by the list before stays if this one is a delta.
// The list itself is not changed: it may be kept by who brought it.
func (m *Merger) filterUsable(source string, all []Endpoint) []Endpoint {
	first := 0
	for first < len(all) && m.usable(&all[first]) {
		first++
	}
	if first == len(all) {
		return all
	}
	usable := slices.Clone(all[:first])
	for _, e := range all[first:] {
		if m.usable(&e) {
			usable = append(usable, e)
			continue
		}
		m.logf("%s: entry %q passed over: state %q, endpoint %q, az %q, model %q", source, e.UID,
			cmp.Or(e.Reason, StateName(e.State)), e.Address, e.Zone, e.Model)
	}
	return usable
}
