package endpointsource

import (
	"cmp"
	"slices"
)

// maxNames bounds the number of zones, and of models, that sources may use: the balancer keeps state for each of them until the process
// ends.
const maxNames = 256

// nameSet is the set of all zones, or of all models, that have been used since the process started or are in the settings.
type nameSet map[string]bool

// newNameSet returns a set of the names in the settings.
func newNameSet(known []string) nameSet {
	set := nameSet{}
	for _, name := range known {
		set[name] = true
	}
	return set
}

// add adds a name unless the set is full, and reports whether the set contains the name.
func (n nameSet) add(name string) bool {
	if n[name] {
		return true
	}
	if len(n) >= maxNames {
		return false
	}
	n[name] = true
	return true
}

// usable reports whether an entry is valid and its zone and model are within the bounds on names.
func (m *Merger) usable(e *Endpoint) bool {
	return e.wellFormed() && m.zones.add(e.Zone) && m.models.add(e.Model)
}

// filterUsable returns the usable entries, and logs the others. It does not modify the list, which the caller may retain.
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
