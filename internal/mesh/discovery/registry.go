package discovery

import (
	"cmp"
	"slices"
	"time"
)

// record is what a registry holds of one life.
type record struct {
	Endpoint
	leaseEnd, warmupEnd time.Duration // their ends
	renewedAt           time.Duration
	endedAt             time.Duration // when it came to be Gone or Crashed
	drainSeen           bool          // a draining mark was seen in this life
	deregistered        bool          // and its end
	inTombstones        bool          // it is in tombs
	expired             bool          // its lease ran out here, or another life at its address is renewed and it is not
	version             uint64        // of the registry at its last change or renewal
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

// snapshot is the record as it is sent now.
func (r *record) snapshot(now time.Duration) Endpoint {
	e := r.Endpoint
	e.State, e.LeaseRemaining, e.WarmupRemaining = r.effectiveState(), max(r.leaseEnd-now, 0), max(r.warmupEnd-now, 0)
	return e
}

// Registry is what one process knows of endpoints.
type Registry struct {
	config           Config
	records          map[string]*record
	byAppAddress     map[string][]*record
	byService        map[string][]*record // by id
	version          uint64
	lastExpire       time.Duration     // last time
	forgottenVersion map[string]uint64 // by service: what was forgotten had this version at most
	tombstones       []*record         // those that ended, the oldest first, and some that came back
}

// NewRegistry makes an empty registry.
func NewRegistry(bounds Config) *Registry {
	return &Registry{config: bounds.WithDefaults(), records: map[string]*record{}, byAppAddress: map[string][]*record{}, byService: map[string][]*record{}, forgottenVersion: map[string]uint64{}}
}

// Apply merges a record; changed reports whether more than its lease, its sequence and its cold time did.
func (r *Registry) Apply(now time.Duration, e Endpoint) (changed bool) {
	if e.ID == "" {
		return false
	}
	p, took := r.records[e.ID], true
	if p == nil {
		p = r.add(now, e)
		changed = true
	} else {
		was, before := p.effectiveState(), p.Endpoint
		took = p.merge(now, e)
		changed = was != p.effectiveState() || before.Revision != p.Revision || before.Slots != p.Slots || before.SidecarIncarnation != p.SidecarIncarnation ||
			before.SidecarAddress != p.SidecarAddress
	}
	if took || changed {
		r.advanceVersion(now, p, changed)
	}
	return r.supersede(now, p.AppAddress) || changed
}

func (r *Registry) add(now time.Duration, e Endpoint) *record {
	p := &record{Endpoint: e, leaseEnd: now + e.LeaseRemaining, warmupEnd: now + e.WarmupRemaining, renewedAt: now, drainSeen: e.State == Draining, deregistered: e.State == Deregistered}
	r.records[p.ID] = p
	r.byAppAddress[p.AppAddress] = append(r.byAppAddress[p.AppAddress], p)
	i, _ := slices.BinarySearchFunc(r.byService[p.Service], p.ID, compareID)
	r.byService[p.Service] = slices.Insert(r.byService[p.Service], i, p)
	return p
}

func compareID(p *record, id string) int { return cmp.Compare(p.ID, id) }

// merge is the only place where a record that was sent changes one held here. It reports whether anything was taken.
func (r *record) merge(now time.Duration, e Endpoint) (took bool) {
	e.AppAddress, e.Service = r.AppAddress, r.Service // of one life they stay
	r.drainSeen, r.deregistered = r.drainSeen || e.State == Draining, r.deregistered || e.State == Deregistered
	order := cmp.Or(cmp.Compare(e.Sequence, r.Sequence), cmp.Compare(e.Revision, r.Revision), cmp.Compare(e.State, r.State))
	if order > 0 {
		r.Endpoint, r.warmupEnd = e, now+e.WarmupRemaining
	}
	if order >= 0 && now+e.LeaseRemaining > r.leaseEnd {
		r.leaseEnd, r.renewedAt, r.expired, took = now+e.LeaseRemaining, now, false, true
	}
	return took || order > 0
}

// advanceVersion gives a record the next version of the registry.
func (r *Registry) advanceVersion(now time.Duration, p *record, changed bool) {
	r.version++
	p.version = r.version
	if !changed {
		return
	}
	if p.effectiveState() >= Crashed {
		p.endedAt = now
		if !p.inTombstones {
			p.inTombstones = true
			r.tombstones = append(r.tombstones, p)
		}
	}
	for len(r.tombstones) > r.config.MaxTombstones {
		r.forgetOldestTombstone()
	}
}

// forgetOldestTombstone forgets the life that ended first.
func (r *Registry) forgetOldestTombstone() {
	p := r.tombstones[0]
	r.tombstones, p.inTombstones = r.tombstones[1:], false
	if p.effectiveState() < Crashed {
		return // it came back
	}
	delete(r.records, p.ID)
	r.forgottenVersion[p.Service] = max(r.forgottenVersion[p.Service], p.version)
	removeFromIndex(r.byAppAddress, p.AppAddress, p)
	removeFromIndex(r.byService, p.Service, p)
}

func removeFromIndex(in map[string][]*record, key string, p *record) {
	if rest := slices.DeleteFunc(in[key], func(o *record) bool { return o == p }); len(rest) > 0 {
		in[key] = rest
	} else {
		delete(in, key)
	}
}

// supersede ends lives at an address whose own publisher has sent a later life there.
func (r *Registry) supersede(now time.Duration, app string) (changed bool) {
	at := r.byAppAddress[app]
	for _, p := range at {
		for _, q := range at {
			if !p.deregistered && p.SidecarIncarnation != 0 && p.SidecarIncarnation == q.SidecarIncarnation && p.Revision < q.Revision {
				p.deregistered, changed = true, true
				r.advanceVersion(now, p, true)
			}
		}
	}
	return changed
}

// Expire ends leases that ran out, lets lives yield to renewed ones at their address, and forgets what ended long ago. It
// returns those that changed. It is called at least each second: a gap counts as this process's own silence.
func (r *Registry) Expire(now time.Duration) (changed []Endpoint) {
	if woken := now-r.lastExpire > r.config.FreezeThreshold; woken { // renewals may lie unread
		for _, p := range r.records {
			p.leaseEnd, p.renewedAt = max(p.leaseEnd, now+r.config.TakeoverTimeout), max(p.renewedAt, now)
		}
	}
	r.lastExpire = now
	for _, id := range r.sortedIDs() {
		p := r.records[id]
		if p.effectiveState() >= Crashed {
			continue
		}
		if now < p.leaseEnd && !r.isSupplanted(now, p) {
			continue
		}
		p.expired = true
		r.advanceVersion(now, p, true)
		changed = append(changed, p.snapshot(now))
	}
	for len(r.tombstones) > 0 {
		if p := r.tombstones[0]; p.effectiveState() >= Crashed && now-p.endedAt < r.config.TombstoneRetention {
			break
		}
		r.forgetOldestTombstone()
	}
	return changed
}

// isSupplanted reports whether another life at a record's address is renewed and the record is not.
func (r *Registry) isSupplanted(now time.Duration, p *record) bool {
	return now-p.renewedAt >= r.config.TakeoverTimeout && slices.ContainsFunc(r.byAppAddress[p.AppAddress], func(q *record) bool {
		return q != p && q.effectiveState() < Crashed && now-q.renewedAt < r.config.TakeoverTimeout
	})
}

func (r *Registry) sortedIDs() []string {
	ids := make([]string, 0, len(r.records))
	for id := range r.records {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// List is what is known of a service's endpoints, those that ended too while they are remembered, with leases and cold times
// as left now.
func (r *Registry) List(now time.Duration, service string) (out []Endpoint) {
	return r.changedAfter(now, service, 0)
}

func (r *Registry) changedAfter(now time.Duration, service string, version uint64) (out []Endpoint) {
	for _, p := range r.byService[service] {
		if p.version > version {
			out = append(out, p.snapshot(now))
		}
	}
	return out
}

// All is what is known of all.
func (r *Registry) All(now time.Duration) (out []Endpoint) {
	for _, id := range r.sortedIDs() {
		out = append(out, r.records[id].snapshot(now))
	}
	return out
}

// Version is that of the last change or renewal.
func (r *Registry) Version() uint64 { return r.version }

// SinceVersion is what of a service changed or was renewed after a version of this registry, and the version now. If ok is false, what
// was forgotten in between matters, and this is the whole list.
func (r *Registry) ChangedSince(now time.Duration, service string, version uint64) (changed []Endpoint, to uint64, ok bool) {
	if version < r.forgottenVersion[service] || version > r.version {
		return r.List(now, service), r.version, false
	}
	return r.changedAfter(now, service, version), r.version, true
}

// EndpointAt is the endpoint at an address: of several the best, then the one renewed last.
func (r *Registry) EndpointAt(now time.Duration, app string) (Endpoint, bool) {
	at := r.byAppAddress[app]
	if len(at) == 0 {
		return Endpoint{}, false
	}
	best := slices.MinFunc(at, func(p, q *record) int {
		return cmp.Or(cmp.Compare(p.effectiveState()/Crashed, q.effectiveState()/Crashed), cmp.Compare(q.renewedAt, p.renewedAt), cmp.Compare(p.ID, q.ID))
	})
	return best.snapshot(now), true
}
