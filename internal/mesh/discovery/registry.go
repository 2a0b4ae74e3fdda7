package discovery

import (
	"cmp"
	"slices"
	"time"
)

// record is what a registry holds of one life.
type record struct {
	Endpoint
	lease, cold time.Duration // their ends
	renewed     time.Duration
	ended       time.Duration // when it came to be Gone or Crashed
	drained     bool          // a draining mark was seen in this life
	gone        bool          // and its end
	tomb        bool          // it is in tombs
	absent      bool          // its lease ran out here, or another life at its address is renewed and it is not
	version     uint64        // of the registry at its last change or renewal
}

// shown is the state that others see.
func (p *record) shown() State {
	switch {
	case p.gone:
		return Gone
	case p.State < Crashed && p.absent:
		return Crashed
	case p.State == Serving && p.drained:
		return Draining
	}
	return p.State
}

// current is the record as it is sent now.
func (p *record) current(now time.Duration) Endpoint {
	e := p.Endpoint
	e.State, e.Lease, e.Cold = p.shown(), max(p.lease-now, 0), max(p.cold-now, 0)
	return e
}

// Registry is what one process knows of endpoints.
type Registry struct {
	bounds  Bounds
	records map[string]*record
	apps    map[string][]*record
	service map[string][]*record // by id
	version uint64
	expired time.Duration     // last time
	floor   map[string]uint64 // by service: what was forgotten had this version at most
	tombs   []*record         // those that ended, the oldest first, and some that came back
}

// New makes an empty registry.
func New(bounds Bounds) *Registry {
	return &Registry{bounds: bounds.Filled(), records: map[string]*record{}, apps: map[string][]*record{}, service: map[string][]*record{}, floor: map[string]uint64{}}
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
		was, before := p.shown(), p.Endpoint
		took = p.merge(now, e)
		changed = was != p.shown() || before.Edition != p.Edition || before.Slots != p.Slots || before.HostLife != p.HostLife ||
			before.Host != p.Host
	}
	if took || changed {
		r.touch(now, p, changed)
	}
	return r.supersede(now, p.App) || changed
}

func (r *Registry) add(now time.Duration, e Endpoint) *record {
	p := &record{Endpoint: e, lease: now + e.Lease, cold: now + e.Cold, renewed: now, drained: e.State == Draining, gone: e.State == Gone}
	r.records[p.ID] = p
	r.apps[p.App] = append(r.apps[p.App], p)
	i, _ := slices.BinarySearchFunc(r.service[p.Service], p.ID, byID)
	r.service[p.Service] = slices.Insert(r.service[p.Service], i, p)
	return p
}

func byID(p *record, id string) int { return cmp.Compare(p.ID, id) }

// merge is the only place where a record that was sent changes one held here. It reports whether anything was taken.
func (p *record) merge(now time.Duration, e Endpoint) (took bool) {
	e.App, e.Service = p.App, p.Service // of one life they stay
	p.drained, p.gone = p.drained || e.State == Draining, p.gone || e.State == Gone
	order := cmp.Or(cmp.Compare(e.Sequence, p.Sequence), cmp.Compare(e.Edition, p.Edition), cmp.Compare(e.State, p.State))
	if order > 0 {
		p.Endpoint, p.cold = e, now+e.Cold
	}
	if order >= 0 && now+e.Lease > p.lease {
		p.lease, p.renewed, p.absent, took = now+e.Lease, now, false, true
	}
	return took || order > 0
}

// touch gives a record the next version of the registry.
func (r *Registry) touch(now time.Duration, p *record, changed bool) {
	r.version++
	p.version = r.version
	if !changed {
		return
	}
	if p.shown() >= Crashed {
		p.ended = now
		if !p.tomb {
			p.tomb = true
			r.tombs = append(r.tombs, p)
		}
	}
	for len(r.tombs) > r.bounds.Tombs {
		r.forgetOldest()
	}
}

// forgetOldest forgets the life that ended first.
func (r *Registry) forgetOldest() {
	p := r.tombs[0]
	r.tombs, p.tomb = r.tombs[1:], false
	if p.shown() < Crashed {
		return // it came back
	}
	delete(r.records, p.ID)
	r.floor[p.Service] = max(r.floor[p.Service], p.version)
	without(r.apps, p.App, p)
	without(r.service, p.Service, p)
}

func without(in map[string][]*record, key string, p *record) {
	if rest := slices.DeleteFunc(in[key], func(o *record) bool { return o == p }); len(rest) > 0 {
		in[key] = rest
	} else {
		delete(in, key)
	}
}

// supersede ends lives at an address whose own publisher has sent a later life there.
func (r *Registry) supersede(now time.Duration, app string) (changed bool) {
	at := r.apps[app]
	for _, p := range at {
		for _, q := range at {
			if !p.gone && p.HostLife != 0 && p.HostLife == q.HostLife && p.Edition < q.Edition {
				p.gone, changed = true, true
				r.touch(now, p, true)
			}
		}
	}
	return changed
}

// Expire ends leases that ran out, lets lives yield to renewed ones at their address, and forgets what ended long ago. It
// returns those that changed. It is called at least each second: a gap counts as this process's own silence.
func (r *Registry) Expire(now time.Duration) (changed []Endpoint) {
	if woken := now-r.expired > r.bounds.Wake; woken { // renewals may lie unread
		for _, p := range r.records {
			p.lease, p.renewed = max(p.lease, now+r.bounds.Quiet), max(p.renewed, now)
		}
	}
	r.expired = now
	for _, id := range r.ids() {
		p := r.records[id]
		if p.shown() >= Crashed {
			continue
		}
		if now < p.lease && !r.outlived(now, p) {
			continue
		}
		p.absent = true
		r.touch(now, p, true)
		changed = append(changed, p.current(now))
	}
	for len(r.tombs) > 0 {
		if p := r.tombs[0]; p.shown() >= Crashed && now-p.ended < r.bounds.Tombstone {
			break
		}
		r.forgetOldest()
	}
	return changed
}

// outlived reports whether another life at a record's address is renewed and the record is not.
func (r *Registry) outlived(now time.Duration, p *record) bool {
	return now-p.renewed >= r.bounds.Quiet && slices.ContainsFunc(r.apps[p.App], func(q *record) bool {
		return q != p && q.shown() < Crashed && now-q.renewed < r.bounds.Quiet
	})
}

func (r *Registry) ids() []string {
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
	return r.after(now, service, 0)
}

func (r *Registry) after(now time.Duration, service string, version uint64) (out []Endpoint) {
	for _, p := range r.service[service] {
		if p.version > version {
			out = append(out, p.current(now))
		}
	}
	return out
}

// All is what is known of all.
func (r *Registry) All(now time.Duration) (out []Endpoint) {
	for _, id := range r.ids() {
		out = append(out, r.records[id].current(now))
	}
	return out
}

// Version is that of the last change or renewal.
func (r *Registry) Version() uint64 { return r.version }

// Since is what of a service changed or was renewed after a version of this registry, and the version now. If ok is false, what
// was forgotten in between matters, and this is the whole list.
func (r *Registry) Since(now time.Duration, service string, version uint64) (changed []Endpoint, to uint64, ok bool) {
	if version < r.floor[service] || version > r.version {
		return r.List(now, service), r.version, false
	}
	return r.after(now, service, version), r.version, true
}

// At is the endpoint at an address: of several the best, then the one renewed last.
func (r *Registry) At(now time.Duration, app string) (Endpoint, bool) {
	at := r.apps[app]
	if len(at) == 0 {
		return Endpoint{}, false
	}
	best := slices.MinFunc(at, func(p, q *record) int {
		return cmp.Or(cmp.Compare(p.shown()/Crashed, q.shown()/Crashed), cmp.Compare(q.renewed, p.renewed), cmp.Compare(p.ID, q.ID))
	})
	return best.current(now), true
}
