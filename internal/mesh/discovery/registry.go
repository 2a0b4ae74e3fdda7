// Package discovery is the directory of endpoints: soft state under leases, alike at those who tell, at the homes of a service
// and at its callers. It does no I/O: time is handed in, on a steady clock with any start.
package discovery

import (
	"cmp"
	"slices"
	"time"

	"gingerlead/internal/mesh/transport/codec"
)

// State of an endpoint, the worse the higher.
type State uint8

// The states.
const (
	Serving State = iota
	Draining
	Crashed // ended without a word
	Gone    // deregistered, ended in order, or replaced
)

// Endpoint is one life of an endpoint, as it is told.
type Endpoint struct {
	ID       string
	Service  string
	Host     string // where the sidecar beside it is reached
	HostLife uint64
	App      string // its own address
	Zone     string
	Slots    int
	State    State
	Cold     time.Duration // left at the time of telling
	Sequence uint64        // callSequence of the newest beat that this rests on
	Edition  uint64        // raised by its allocator at each change beyond Sequence, over all the lives it tells of
	Lease    time.Duration // left at the time of telling
}

// Fields names them.
func (e *Endpoint) Fields(v *codec.Visitor) {
	v.Text(1, &e.ID)
	v.Text(2, &e.Service)
	v.Text(3, &e.Host)
	v.Fixed(4, &e.HostLife)
	v.Text(5, &e.App)
	v.Text(6, &e.Zone)
	v.Small(7, &e.Slots)
	state := uint64(e.State)
	v.Uint(8, &state)
	e.State = State(min(state, uint64(Gone)))
	v.Time(9, &e.Cold)
	v.Uint(10, &e.Sequence)
	v.Uint(11, &e.Edition)
	v.Time(12, &e.Lease)
}

// Bounds are the settings; what is zero has its default.
type Bounds struct {
	Lease     time.Duration // of a record
	Tombstone time.Duration // how long an ended life is remembered
	Tombs     int           // and how many
	Quiet     time.Duration // a life that is not renewed for so long yields to another one at its address
	Wake      time.Duration // an Expire that comes so late after the last means that this process was frozen
	Retry     time.Duration // what was not acknowledged is told again
	Ask       time.Duration // between two asks of a subscriber
	Hold      time.Duration // how long an ask holds at the home
	Width     int           // homes asked for each service
}

// Filled are the bounds with their defaults.
func (b Bounds) Filled() Bounds {
	fill(&b.Lease, 9*time.Second)
	fill(&b.Tombstone, time.Minute)
	fill(&b.Tombs, 4096)
	fill(&b.Quiet, b.Lease/2)
	fill(&b.Wake, 3*time.Second)
	fill(&b.Retry, 300*time.Millisecond)
	fill(&b.Ask, 2*time.Second)
	fill(&b.Hold, 6*time.Second)
	fill(&b.Width, 2)
	return b
}

func fill[T comparable](x *T, to T) {
	var zero T
	if *x == zero {
		*x = to
	}
}

// post is a record on the board.
type record struct {
	Endpoint
	lease, cold time.Duration // their ends
	renewed     time.Duration
	ended       time.Duration // when it came to be Gone or Crashed
	drained     bool          // a draining mark was seen in this life
	gone        bool          // and its end
	tomb        bool          // it is in tombs
	absent      bool          // its lease ran out here, or another life at its address is renewed and it is not
	version     uint64        // of the board at its last change or renewal
}

// shown is the state to the outside.
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

func (p *record) told(now time.Duration) Endpoint {
	e := p.Endpoint
	e.State, e.Lease, e.Cold = p.shown(), max(p.lease-now, 0), max(p.cold-now, 0)
	return e
}

// Board is what one process knows of endpoints.
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

// New makes an empty board.
func New(bounds Bounds) *Registry {
	return &Registry{bounds: bounds.Filled(), records: map[string]*record{}, apps: map[string][]*record{}, service: map[string][]*record{}, floor: map[string]uint64{}}
}

// Tell merges a record; changed tells whether more than its lease, its sequence and its cold time did.
func (b *Registry) Apply(now time.Duration, e Endpoint) (changed bool) {
	if e.ID == "" {
		return false
	}
	p, took := b.records[e.ID], true
	if p == nil {
		p = b.add(now, e)
		changed = true
	} else {
		was, before := p.shown(), p.Endpoint
		took = p.merge(now, e)
		changed = was != p.shown() || before.Edition != p.Edition || before.Slots != p.Slots || before.HostLife != p.HostLife ||
			before.Host != p.Host
	}
	if took || changed {
		b.touch(now, p, changed)
	}
	return b.supersede(now, p.App) || changed
}

func (b *Registry) add(now time.Duration, e Endpoint) *record {
	p := &record{Endpoint: e, lease: now + e.Lease, cold: now + e.Cold, renewed: now, drained: e.State == Draining, gone: e.State == Gone}
	b.records[p.ID] = p
	b.apps[p.App] = append(b.apps[p.App], p)
	i, _ := slices.BinarySearchFunc(b.service[p.Service], p.ID, byID)
	b.service[p.Service] = slices.Insert(b.service[p.Service], i, p)
	return p
}

func byID(p *record, id string) int { return cmp.Compare(p.ID, id) }

// merge is the one place where what is told changes a post. It tells whether it took anything.
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

func (b *Registry) touch(now time.Duration, p *record, changed bool) {
	b.version++
	p.version = b.version
	if !changed {
		return
	}
	if p.shown() >= Crashed {
		p.ended = now
		if !p.tomb {
			p.tomb = true
			b.tombs = append(b.tombs, p)
		}
	}
	for len(b.tombs) > b.bounds.Tombs {
		b.bury()
	}
}

// bury forgets the oldest of the ended.
func (b *Registry) bury() {
	p := b.tombs[0]
	b.tombs, p.tomb = b.tombs[1:], false
	if p.shown() < Crashed {
		return // it came back
	}
	delete(b.records, p.ID)
	b.floor[p.Service] = max(b.floor[p.Service], p.version)
	without(b.apps, p.App, p)
	without(b.service, p.Service, p)
}

func without(in map[string][]*record, key string, p *record) {
	if rest := slices.DeleteFunc(in[key], func(o *record) bool { return o == p }); len(rest) > 0 {
		in[key] = rest
	} else {
		delete(in, key)
	}
}

// supersede ends those at an address whose own allocator has told of a later life there.
func (b *Registry) supersede(now time.Duration, app string) (changed bool) {
	at := b.apps[app]
	for _, p := range at {
		for _, q := range at {
			if !p.gone && p.HostLife != 0 && p.HostLife == q.HostLife && p.Edition < q.Edition {
				p.gone, changed = true, true
				b.touch(now, p, true)
			}
		}
	}
	return changed
}

// Expire ends leases that ran out, lets lives yield to renewed ones at their address, and forgets what ended long ago. It
// returns those that changed. It is called at least each second: a gap counts as this process's own silence.
func (b *Registry) Expire(now time.Duration) (changed []Endpoint) {
	if woken := now-b.expired > b.bounds.Wake; woken { // renewals may lie unread
		for _, p := range b.records {
			p.lease, p.renewed = max(p.lease, now+b.bounds.Quiet), max(p.renewed, now)
		}
	}
	b.expired = now
	for _, id := range b.ids() {
		p := b.records[id]
		if p.shown() >= Crashed {
			continue
		}
		if now < p.lease && !b.outlived(now, p) {
			continue
		}
		p.absent = true
		b.touch(now, p, true)
		changed = append(changed, p.told(now))
	}
	for len(b.tombs) > 0 {
		if p := b.tombs[0]; p.shown() >= Crashed && now-p.ended < b.bounds.Tombstone {
			break
		}
		b.bury()
	}
	return changed
}

func (b *Registry) outlived(now time.Duration, p *record) bool {
	return now-p.renewed >= b.bounds.Quiet && slices.ContainsFunc(b.apps[p.App], func(q *record) bool {
		return q != p && q.shown() < Crashed && now-q.renewed < b.bounds.Quiet
	})
}

func (b *Registry) ids() []string {
	ids := make([]string, 0, len(b.records))
	for id := range b.records {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// List is what is known of a service's endpoints, those that ended too while they are remembered, with leases and cold times
// as left now.
func (b *Registry) List(now time.Duration, service string) (out []Endpoint) {
	return b.after(now, service, 0)
}

func (b *Registry) after(now time.Duration, service string, version uint64) (out []Endpoint) {
	for _, p := range b.service[service] {
		if p.version > version {
			out = append(out, p.told(now))
		}
	}
	return out
}

// All is what is known of all.
func (b *Registry) All(now time.Duration) (out []Endpoint) {
	for _, id := range b.ids() {
		out = append(out, b.records[id].told(now))
	}
	return out
}

// Since is what of a service changed or was renewed after a version of this board, and the version now. If ok is false, what
// was forgotten in between matters, and this is the whole list.
func (b *Registry) Since(now time.Duration, service string, version uint64) (changed []Endpoint, to uint64, ok bool) {
	if version < b.floor[service] || version > b.version {
		return b.List(now, service), b.version, false
	}
	return b.after(now, service, version), b.version, true
}

// At is the endpoint at an address: of several the best, then the one renewed last.
func (b *Registry) At(now time.Duration, app string) (Endpoint, bool) {
	at := b.apps[app]
	if len(at) == 0 {
		return Endpoint{}, false
	}
	best := slices.MinFunc(at, func(p, q *record) int {
		return cmp.Or(cmp.Compare(p.shown()/Crashed, q.shown()/Crashed), cmp.Compare(q.renewed, p.renewed), cmp.Compare(p.ID, q.ID))
	})
	return best.told(now), true
}
