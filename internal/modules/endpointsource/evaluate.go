package endpointsource

import (
	"fmt"

	"quincegap/internal/balancer"
)

// This file decides how each endpoint is listed for the balancer.

// evaluate returns an endpoint as it is to be listed for the balancer, or nil if it is not to be listed, and the reason.
func (m *Merger) evaluate(entry *endpointEntry) (*Endpoint, string) {
	baseEntry, reason := m.baseEntry(entry)
	if baseEntry == nil {
		return nil, reason
	}
	result := *baseEntry
	if entry.consul == nil || m.settings.Mode == ModeOverlay && m.consulExpired {
		return &result, reason
	}
	switch {
	case entry.consul.State != balancer.EndpointReady:
		result.State, reason = balancer.EndpointDraining, entry.consul.Reason
	case entry.holdDownUntil > 0:
		result.State, reason = balancer.EndpointDraining, fmt.Sprintf("its check flaps; held back for %s", entry.holdDown)
	case m.settings.Mode == ModeOverlay:
		if result.State == balancer.EndpointReady && entry.consul.hasWarning() {
			result.Weight *= entry.consul.WeightShare
			reason = entry.consul.Reason
		}
	case entry.missing:
		reason = "consul's last answer lacks it; not believed yet"
	}
	if m.settings.Mode == ModeConsul {
		if later := m.supersededBy(entry); later != nil {
			result.State = balancer.EndpointDraining
			reason = fmt.Sprintf("%s has the same address and was registered later", later.consul.UID)
		}
	}
	return &result, reason
}

// baseEntry returns the entry of an endpoint in the source that determines the list, or nil if there is none, and the reason.
func (m *Merger) baseEntry(entry *endpointEntry) (*Endpoint, string) {
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

// hasWarning reports whether a check with a warning has lowered the weight of an endpoint.
func (e *Endpoint) hasWarning() bool { return e.WeightShare > 0 && e.WeightShare < 1 }

// supersededBy returns another entry with the same address that belongs to a later process, or nil if there is none.
func (m *Merger) supersededBy(entry *endpointEntry) (later *endpointEntry) {
	for _, other := range m.byAddress[entry.consul.Address] {
		if other != entry && supersedes(other.consul, entry.consul) {
			later = other
		}
	}
	return later
}

// readyWithoutChecks reports whether an endpoint that is draining because of its checks would be ready if they were ignored.
func (m *Merger) readyWithoutChecks(entry *endpointEntry) bool {
	consul := entry.consul
	if consul == nil || consul.Maintenance || consul.State != balancer.EndpointDraining && entry.holdDownUntil == 0 {
		return false
	}
	if m.settings.Mode == ModeOverlay {
		return entry.platform != nil && entry.platform.State == balancer.EndpointReady
	}
	return m.supersededBy(entry) == nil
}

// supersedes reports whether, of two entries with the same address, a belongs to the later process.
func supersedes(a, b *Endpoint) bool {
	if a.RegistrationIndex != b.RegistrationIndex {
		return a.RegistrationIndex > b.RegistrationIndex
	}
	return a.UID > b.UID
}
