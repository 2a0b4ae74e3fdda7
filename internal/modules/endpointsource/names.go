package endpointsource

import (
	"cmp"
	"slices"
)

// maxNames bounds the zones, and the models, that sources may use: the balancer has state for each, until the process ends.
const maxNames = 256

// nameSet is the set of all zones, or of all models, that were ever used.
type nameSet map[string]bool

// newNameSet returns the set of the names that the settings have.
func newNameSet(known []string) nameSet {
	set := nameSet{}
	for _, name := range known {
		set[name] = true
	}
	return set
}

// admit adds a name, and reports whether the set has it; false if there are too many names.
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

// usable reports whether an endpoint can be passed to the balancer.
func (m *Merger) usable(e *Endpoint) bool {
	return e.wellFormed() && m.zones.admit(e.Zone) && m.models.admit(e.Model)
}

// filterUsable returns the entries that can be used, and logs the others. It does not change the list, which the caller may keep.
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
