package discovery

import (
	"cmp"
	"time"
)

// record is what a registry holds of one endpoint.
type record struct {
	Endpoint
	leaseEnd     time.Duration
	warmupEnd    time.Duration
	renewedAt    time.Duration
	endedAt      time.Duration // when it came to have ended
	drainSeen    bool          // some record of it was draining
	deregistered bool          // some record of it was, or it was superseded
	expired      bool          // its lease ran out here, or another endpoint at its address is renewed and it isn't
	inTombstones bool          // it is in the registry's tombstones
	version      uint64        // of the registry at its last change or renewal
}

func newRecord(now time.Duration, e Endpoint) *record {
	return &record{
		Endpoint:     e,
		leaseEnd:     now + e.LeaseRemaining,
		warmupEnd:    now + e.WarmupRemaining,
		renewedAt:    now,
		drainSeen:    e.State == Draining,
		deregistered: e.State == Deregistered,
	}
}

// effectiveState is the state that others see.
func (r *record) effectiveState() State {
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

func (r *record) hasEnded() bool { return r.effectiveState().hasEnded() }

// snapshot is the record as it is sent now.
func (r *record) snapshot(now time.Duration) Endpoint {
	e := r.Endpoint
	e.State = r.effectiveState()
	e.LeaseRemaining = max(r.leaseEnd-now, 0)
	e.WarmupRemaining = max(r.warmupEnd-now, 0)
	return e
}

// merge is the only place where a record that was sent changes one held here. It reports whether anything was taken.
func (r *record) merge(now time.Duration, e Endpoint) (taken bool) {
	e.AppAddress = r.AppAddress // these stay for an endpoint ID
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

// compareRecords orders records of one endpoint, the newer one higher.
func compareRecords(a, b *Endpoint) int {
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.State, b.State))
}

// visible is what of a record is an update for others; leases, sequences and warm-up times change all the time.
type visible struct {
	state              State
	revision           uint64
	slots              int
	sidecarAddress     string
	sidecarIncarnation uint64
}

func (r *record) visible() visible {
	return visible{r.effectiveState(), r.Revision, r.Slots, r.SidecarAddress, r.SidecarIncarnation}
}

func compareID(r *record, id string) int { return cmp.Compare(r.ID, id) }
