package endpointsource

import (
	"cmp"
	"net"

	"quincegap/internal/balancer"
)

// maxNames bounds the zones, and the models, that sources may bring: the decision module keeps something for
// each, for the life of the process.
const maxNames = 256

// nameSet are those of one sort that are in use.
type nameSet map[string]bool

func newNames(known []string) nameSet {
	n := nameSet{}
	for _, name := range known {
		n[name] = true
	}
	return n
}

// admit takes a name in, unless there are too many.
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

// wellFormed tells whether an entry is one, whatever else is known. One that gets no work needs no address.
func (e *Endpoint) wellFormed() bool {
	if e.UID == "" || e.State == StateUnknown {
		return false
	}
	_, _, err := net.SplitHostPort(e.Address)
	return err == nil || e.State != balancer.EndpointReady
}

// usable tells whether the decision module can be told of an endpoint.
func (m *Merger) usable(e *Endpoint) bool {
	return e.wellFormed() && m.zones.admit(e.Zone) && m.models.admit(e.Model)
}

// filterUsable passes over entries that cannot be used; what was known of them by the list before stays if this one
// only tells of changes.
func (m *Merger) filterUsable(source string, all []Endpoint) []Endpoint {
	for n := range all {
		if m.usable(&all[n]) {
			continue
		}
		good := append([]Endpoint(nil), all[:n]...) // the list may be kept by who told it
		for _, e := range all[n:] {
			if m.usable(&e) {
				good = append(good, e)
				continue
			}
			m.logf("%s: entry %q passed over: state %q, endpoint %q, az %q, model %q", source, e.UID,
				cmp.Or(e.Reason, StateName(e.State)), e.Address, e.Zone, e.Model)
		}
		return good
	}
	return all
}
