package endpointsource

import (
	"cmp"
	"net"

	"quincegap/internal/balancer"
)

// mostNames bounds the zones, and the models, that sources may bring: the decision module keeps something for
// each, for the life of the process.
const mostNames = 256

// names are those of one sort that are in use.
type names map[string]bool

func newNames(known []string) names {
	n := names{}
	for _, name := range known {
		n[name] = true
	}
	return n
}

// has takes a name in, unless there are too many.
func (n names) has(name string) bool {
	if n[name] {
		return true
	}
	if len(n) >= mostNames {
		return false
	}
	n[name] = true
	return true
}

// sound tells whether an entry is one, whatever else is known. One that gets no work needs no address.
func (e *Endpoint) sound() bool {
	if e.UID == "" || e.State == Unknown {
		return false
	}
	_, _, err := net.SplitHostPort(e.Address)
	return err == nil || e.State != balancer.EndpointReady
}

// usable tells whether the decision module can be told of an endpoint.
func (m *Members) usable(e *Endpoint) bool {
	return e.sound() && m.zones.has(e.Zone) && m.models.has(e.Model)
}

// sift passes over entries that cannot be used; what was known of them by the list before stays if this one
// only tells of changes.
func (m *Members) sift(source string, all []Endpoint) []Endpoint {
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
				cmp.Or(e.Why, StateName(e.State)), e.Address, e.Zone, e.Model)
		}
		return good
	}
	return all
}
