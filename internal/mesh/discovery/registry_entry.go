package discovery

import (
	"cmp"
	"time"
)

// registryEntry is a registry's entry for one endpoint. The embedded Endpoint is the newest record that was applied. Its state is only one
// part of the endpoint's state, which effectiveState returns.
type registryEntry struct {
	Endpoint
	leaseEnd     time.Duration
	warmupEnd    time.Duration
	renewedAt    time.Duration // time of the last renewal
	endedAt      time.Duration // time of the last change after which the endpoint had ended
	drainSeen    bool          // a record in state Draining was applied
	deregistered bool          // a record in state Deregistered was applied, or the endpoint was superseded
	expired      bool          // the lease expired at this registry, or another endpoint has taken over the address
	inTombstones bool          // the entry is in Registry.tombstones
	version      uint64        // version of the registry at the entry's last change or renewal
}

// newRegistryEntry returns the entry for an endpoint that the registry doesn't hold yet.
func newRegistryEntry(now time.Duration, e Endpoint) *registryEntry {
	return &registryEntry{
		Endpoint:     e,
		leaseEnd:     now + e.LeaseRemaining,
		warmupEnd:    now + e.WarmupRemaining,
		renewedAt:    now,
		drainSeen:    e.State == Draining,
		deregistered: e.State == Deregistered,
	}
}

// effectiveState returns the state of the endpoint that other processes are sent.
func (r *registryEntry) effectiveState() State {
	switch {
	case r.deregistered:
		return Deregistered
	case r.State < Crashed && r.expired:
		return Crashed
	case r.State == Serving && r.drainSeen:
		return Draining
	}
	return r.State
}

// hasEnded reports whether the endpoint has ended.
func (r *registryEntry) hasEnded() bool { return r.effectiveState().hasEnded() }

// snapshot returns the endpoint's record as it is sent now.
func (r *registryEntry) snapshot(now time.Duration) Endpoint {
	e := r.Endpoint
	e.State = r.effectiveState()
	e.LeaseRemaining = max(r.leaseEnd-now, 0)
	e.WarmupRemaining = max(r.warmupEnd-now, 0)
	return e
}

// merge merges a received record. Records of an endpoint change its entry only here. It reports whether the record was newer or
// renewed the lease.
func (r *registryEntry) merge(now time.Duration, e Endpoint) (accepted bool) {
	e.AppAddress = r.AppAddress // invariant: address and service never change for an endpoint ID
	e.Service = r.Service
	r.drainSeen = r.drainSeen || e.State == Draining
	r.deregistered = r.deregistered || e.State == Deregistered
	order := compareRecords(&e, &r.Endpoint)
	if order > 0 {
		r.Endpoint = e
		r.warmupEnd = now + e.WarmupRemaining
	}
	renews := order >= 0 && now+e.LeaseRemaining > r.leaseEnd
	if renews {
		r.leaseEnd = now + e.LeaseRemaining
		r.renewedAt = now
		r.expired = false
	}
	return renews || order > 0
}

// compareRecords orders the records of one endpoint from the oldest to the newest.
func compareRecords(a, b *Endpoint) int {
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.State, b.State))
}

// visibleFields holds the fields of an entry whose changes are updates for other processes. Leases, sequences and warm-up times aren't
// among them, because they change continually.
type visibleFields struct {
	state              State
	revision           uint64
	slots              int
	sidecarAddress     string
	sidecarIncarnation uint64
}

// visibleFields returns the fields of the entry whose changes are updates.
func (r *registryEntry) visibleFields() visibleFields {
	return visibleFields{r.effectiveState(), r.Revision, r.Slots, r.SidecarAddress, r.SidecarIncarnation}
}

// isSupersededBy reports whether other is a later endpoint beside the same incarnation of a sidecar.
func (r *registryEntry) isSupersededBy(other *registryEntry) bool {
	return r.SidecarIncarnation != 0 && r.SidecarIncarnation == other.SidecarIncarnation && r.Revision < other.Revision
}

// compareID compares an entry with an endpoint ID, for searches in lists that are ordered by ID.
func compareID(r *registryEntry, id string) int { return cmp.Compare(r.ID, id) }
