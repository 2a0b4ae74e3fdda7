package endpointsource

import (
	"fmt"

	"quincegap/internal/balancer"
)

// This file decides how each endpoint is listed for the balancer.

// evaluate returns how an endpoint is to be listed for the balancer, nil for not at all, and the reason.
func (m *Merger) evaluate(entry *sourceEntry) (*Endpoint, string) {
	base, reason := m.base(entry)
	if base == nil {
		return nil, reason
	}
	verdict := *base
	if entry.consul == nil || m.settings.Mode == ModeOverlay && m.consulExpired {
		return &verdict, reason
	}
	switch {
	case entry.consul.State != balancer.EndpointReady:
		verdict.State, reason = balancer.EndpointDraining, entry.consul.Reason
	case entry.holdDownUntil > 0:
		verdict.State, reason = balancer.EndpointDraining, fmt.Sprintf("its check flaps; held back for %s", entry.holdDown)
	case m.settings.Mode == ModeOverlay:
		if verdict.State == balancer.EndpointReady && entry.consul.warns() {
			verdict.Weight *= entry.consul.WeightShare
			reason = entry.consul.Reason
		}
	case entry.missing:
		reason = "consul's last answer lacks it; not believed yet"
	}
	if m.settings.Mode == ModeConsul {
		if later := m.supersededBy(entry); later != nil {
			verdict.State = balancer.EndpointDraining
			reason = fmt.Sprintf("%s has the same address and was registered later", later.consul.UID)
		}
	}
	return &verdict, reason
}

// base returns the entry of an endpoint in the source that determines the list, nil for none, and the reason.
func (m *Merger) base(entry *sourceEntry) (*Endpoint, string) {
	if m.settings.Mode != ModeConsul {
		if entry.platform == nil {
			return nil, "the platform lists it no more"
		}
		return entry.platform, "the platform says so"
	}
	switch {
	case entry.consul != nil:
		return entry.consul, "consul says so"
	case entry.platform == nil:
		return nil, "consul lists it no more"
	case m.fromCache || entry.missing:
		return entry.platform, "the last known list has it"
	}
	return nil, "only the platform lists it, and the source is consul"
}

// warns reports whether a check with a warning has lowered the weight of an endpoint.
func (e *Endpoint) warns() bool { return e.WeightShare > 0 && e.WeightShare < 1 }

// supersededBy returns another entry with the same address that is of a later process there; nil for none.
func (m *Merger) supersededBy(entry *sourceEntry) (later *sourceEntry) {
	for _, other := range m.byAddress[entry.consul.Address] {
		if other != entry && supersedes(other.consul, entry.consul) {
			later = other
		}
	}
	return later
}

// onlyCritical reports whether an endpoint would be ready if its checks were ignored.
func (m *Merger) onlyCritical(entry *sourceEntry) bool {
	consul := entry.consul
	if consul == nil || consul.Maintenance || consul.State != balancer.EndpointDraining && entry.holdDownUntil == 0 {
		return false
	}
	if m.settings.Mode == ModeOverlay {
		return entry.platform != nil && entry.platform.State == balancer.EndpointReady
	}
	return m.supersededBy(entry) == nil
}

// supersedes reports whether the first of two entries with the same address is of the later process.
func supersedes(a, b *Endpoint) bool {
	if a.RegistrationIndex != b.RegistrationIndex {
		return a.RegistrationIndex > b.RegistrationIndex
	}
	return a.UID > b.UID
}
