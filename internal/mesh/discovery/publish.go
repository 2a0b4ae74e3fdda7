package discovery

import (
	"slices"
	"time"
)

// Send is a record that is to be sent to a home.
type Send struct {
	To       string
	Endpoint Endpoint
}

// Publisher sends the record of the endpoint beside this process to homes, and those of its earlier lives until all homes know that
// they ended.
type Publisher struct {
	bounds  Bounds
	edition uint64
	own     []*publication // in the order of their lives
	targets []string
}

// publication is one life that is published.
type publication struct {
	Endpoint
	set     time.Duration // when it was last set
	cold    time.Duration // its end
	drained bool
	to      map[string]*target
}

// target is what one home was sent of one life.
type target struct {
	sent    time.Duration
	tried   bool
	version uint64        // the edition sent last
	edition uint64        // the edition acknowledged last
	renewed time.Duration // when that one was sent
}

// NewPublisher makes a publisher without endpoints.
func NewPublisher(bounds Bounds) *Publisher { return &Publisher{bounds: bounds.Filled()} }

// Set takes the endpoint as its newest keepalive has it, or as it ended, and gives it its edition. A new life ends the earlier ones.
func (p *Publisher) Set(now time.Duration, e Endpoint) {
	var t *publication
	for _, o := range p.own {
		if o.ID == e.ID {
			t = o
		}
	}
	if t == nil {
		for _, o := range p.own {
			p.shift(now, o, Gone)
		}
		t = &publication{Endpoint: e, set: now, cold: now + e.Cold, drained: e.State == Draining, to: map[string]*target{}}
		p.own = append(p.own, t)
		p.edition++
		t.Edition = p.edition
		return
	}
	stale := e.Sequence < t.Sequence
	if t.State == Gone || stale && e.State == Serving {
		return
	}
	p.shift(now, t, e.State)
	if stale {
		return
	}
	if t.Slots != e.Slots {
		p.edition++
		t.Edition = p.edition
	}
	e.State, e.Edition = t.State, t.Edition
	t.Endpoint, t.set, t.cold = e, now, now+e.Cold
}

// End reports that a life deregistered or crashed.
func (p *Publisher) End(now time.Duration, id string, s State) {
	for _, t := range p.own {
		if t.ID == id {
			p.shift(now, t, s)
		}
	}
}

// shift changes the state of a life.
func (p *Publisher) shift(now time.Duration, t *publication, to State) {
	t.drained = t.drained || to == Draining
	if to == Serving && t.drained {
		to = Draining
	}
	if t.State == to || t.State == Gone {
		return
	}
	p.edition++
	t.State, t.Edition, t.set = to, p.edition, now
}

// Targets sets the homes as they are now.
func (p *Publisher) Targets(_ time.Duration, homes []string) {
	p.targets = slices.Clone(homes)
	slices.Sort(p.targets)
	p.targets = slices.Compact(p.targets)
	for _, t := range p.own {
		for to := range t.to {
			if _, ok := slices.BinarySearch(p.targets, to); !ok {
				delete(t.to, to)
			}
		}
	}
}

// Forget has everything sent to a home again: it has restarted, or the connection to it broke.
func (p *Publisher) Forget(home string) {
	for _, t := range p.own {
		delete(t.to, home)
	}
}

// Tick gives what is to be sent now: changes and records for new homes at once, what was not acknowledged again, and renewals.
func (p *Publisher) Tick(now time.Duration) (due []Send) {
	p.own = slices.DeleteFunc(p.own, func(t *publication) bool {
		return t.State >= Crashed && (now-t.set >= p.bounds.Tombstone || t.State == Gone && p.acknowledged(t))
	})
	for _, t := range p.own {
		for _, home := range p.targets {
			g := t.to[home]
			if g == nil {
				g = &target{}
				t.to[home] = g
			}
			if !p.due(now, t, g) {
				continue
			}
			g.tried, g.sent, g.version = true, now, t.Edition
			e := t.Endpoint
			e.Cold, e.Lease = max(t.cold-now, 0), p.bounds.Lease
			due = append(due, Send{To: home, Endpoint: e})
		}
	}
	return due
}

func (p *Publisher) due(now time.Duration, t *publication, g *target) bool {
	switch {
	case !g.tried || g.version != t.Edition: // it was never sent
		return true
	case g.edition != t.Edition || g.renewed != g.sent: // it was sent, and not acknowledged
		return now-g.sent >= p.bounds.Retry
	default:
		return t.State < Crashed && now-g.sent >= p.bounds.Lease/3
	}
}

func (p *Publisher) acknowledged(t *publication) bool {
	for _, home := range p.targets {
		if g := t.to[home]; g == nil || g.edition != t.Edition {
			return false
		}
	}
	return len(p.targets) > 0
}

// Confirmed tells whether a home other than one has acknowledged a life as it is now; also of a life that is not published, or that
// no other home is there for.
func (p *Publisher) Confirmed(id, self string) bool {
	for _, t := range p.own {
		if t.ID == id {
			return p.confirmed(t, self)
		}
	}
	return true
}

func (p *Publisher) confirmed(t *publication, self string) bool {
	others := 0
	for _, home := range p.targets {
		if home == self {
			continue
		}
		others++
		if g := t.to[home]; g != nil && g.edition == t.Edition {
			return true
		}
	}
	return others == 0
}

// Acked reports that a home has an edition of a life.
func (p *Publisher) Acked(_ time.Duration, home, id string, edition uint64) {
	for _, t := range p.own {
		if g := t.to[home]; t.ID == id && g != nil && edition == g.version {
			g.edition, g.renewed = edition, g.sent
		}
	}
}
