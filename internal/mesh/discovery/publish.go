package discovery

import (
	"slices"
	"time"
)

// Announcement is a record that is to be sent to a home.
type Announcement struct {
	To       string
	Endpoint Endpoint
}

// Publisher sends the record of the endpoint beside this process to homes, and those of its earlier lives until all homes know that
// they ended.
type Publisher struct {
	config       Config
	revision     uint64
	publications []*publication // in the order of their lives
	owners       []string
}

// publication is one life that is published.
type publication struct {
	Endpoint
	updatedAt  time.Duration // when it was last set
	warmupEnd  time.Duration // its end
	drainSeen  bool
	deliveries map[string]*delivery
}

// delivery is what one home was sent of one life.
type delivery struct {
	sentAt               time.Duration
	wasSent              bool
	sentRevision         uint64        // the edition sent last
	acknowledgedRevision uint64        // the edition acknowledged last
	acknowledgedSentAt   time.Duration // when that one was sent
}

// NewPublisher makes a publisher without endpoints.
func NewPublisher(bounds Config) *Publisher { return &Publisher{config: bounds.WithDefaults()} }

// Set takes the endpoint as its newest keepalive has it, or as it ended, and gives it its edition. A new life ends the earlier ones.
func (p *Publisher) Set(now time.Duration, e Endpoint) {
	var t *publication
	for _, o := range p.publications {
		if o.ID == e.ID {
			t = o
		}
	}
	if t == nil {
		for _, o := range p.publications {
			p.transition(now, o, Deregistered)
		}
		t = &publication{Endpoint: e, updatedAt: now, warmupEnd: now + e.WarmupRemaining, drainSeen: e.State == Draining, deliveries: map[string]*delivery{}}
		p.publications = append(p.publications, t)
		p.revision++
		t.Revision = p.revision
		return
	}
	stale := e.Sequence < t.Sequence
	if t.State == Deregistered || stale && e.State == Serving {
		return
	}
	p.transition(now, t, e.State)
	if stale {
		return
	}
	if t.Slots != e.Slots {
		p.revision++
		t.Revision = p.revision
	}
	e.State, e.Revision = t.State, t.Revision
	t.Endpoint, t.updatedAt, t.warmupEnd = e, now, now+e.WarmupRemaining
}

// End reports that a life deregistered or crashed.
func (p *Publisher) End(now time.Duration, id string, s State) {
	for _, t := range p.publications {
		if t.ID == id {
			p.transition(now, t, s)
		}
	}
}

// transition changes the state of a life.
func (p *Publisher) transition(now time.Duration, t *publication, to State) {
	t.drainSeen = t.drainSeen || to == Draining
	if to == Serving && t.drainSeen {
		to = Draining
	}
	if t.State == to || t.State == Deregistered {
		return
	}
	p.revision++
	t.State, t.Revision, t.updatedAt = to, p.revision, now
}

// SetOwners sets the homes as they are now.
func (p *Publisher) SetOwners(_ time.Duration, homes []string) {
	p.owners = slices.Clone(homes)
	slices.Sort(p.owners)
	p.owners = slices.Compact(p.owners)
	for _, t := range p.publications {
		for to := range t.deliveries {
			if _, ok := slices.BinarySearch(p.owners, to); !ok {
				delete(t.deliveries, to)
			}
		}
	}
}

// ForgetOwner has everything sent to a home again: it has restarted, or the connection to it broke.
func (p *Publisher) ForgetOwner(home string) {
	for _, t := range p.publications {
		delete(t.deliveries, home)
	}
}

// Tick gives what is to be sent now: changes and records for new homes at once, what was not acknowledged again, and renewals.
func (p *Publisher) Tick(now time.Duration) (due []Announcement) {
	p.publications = slices.DeleteFunc(p.publications, func(t *publication) bool {
		return t.State >= Crashed && (now-t.updatedAt >= p.config.TombstoneRetention || t.State == Deregistered && p.acknowledgedByAll(t))
	})
	for _, t := range p.publications {
		for _, home := range p.owners {
			g := t.deliveries[home]
			if g == nil {
				g = &delivery{}
				t.deliveries[home] = g
			}
			if !p.isDue(now, t, g) {
				continue
			}
			g.wasSent, g.sentAt, g.sentRevision = true, now, t.Revision
			e := t.Endpoint
			e.WarmupRemaining, e.LeaseRemaining = max(t.warmupEnd-now, 0), p.config.LeaseDuration
			due = append(due, Announcement{To: home, Endpoint: e})
		}
	}
	return due
}

func (p *Publisher) isDue(now time.Duration, t *publication, g *delivery) bool {
	switch {
	case !g.wasSent || g.sentRevision != t.Revision: // it was never sent
		return true
	case g.acknowledgedRevision != t.Revision || g.acknowledgedSentAt != g.sentAt: // it was sent, and not acknowledged
		return now-g.sentAt >= p.config.RetryInterval
	default:
		return t.State < Crashed && now-g.sentAt >= p.config.LeaseDuration/3
	}
}

func (p *Publisher) acknowledgedByAll(t *publication) bool {
	for _, home := range p.owners {
		if g := t.deliveries[home]; g == nil || g.acknowledgedRevision != t.Revision {
			return false
		}
	}
	return len(p.owners) > 0
}

// AcknowledgedElsewhere tells whether a home other than one has acknowledged a life as it is now; also of a life that is not published, or that
// no other home is there for.
func (p *Publisher) AcknowledgedElsewhere(id, self string) bool {
	for _, t := range p.publications {
		if t.ID == id {
			return p.acknowledgedElsewhere(t, self)
		}
	}
	return true
}

func (p *Publisher) acknowledgedElsewhere(t *publication, self string) bool {
	others := 0
	for _, home := range p.owners {
		if home == self {
			continue
		}
		others++
		if g := t.deliveries[home]; g != nil && g.acknowledgedRevision == t.Revision {
			return true
		}
	}
	return others == 0
}

// Acknowledged reports that a home has an edition of a life.
func (p *Publisher) Acknowledged(_ time.Duration, home, id string, edition uint64) {
	for _, t := range p.publications {
		if g := t.deliveries[home]; t.ID == id && g != nil && edition == g.sentRevision {
			g.acknowledgedRevision, g.acknowledgedSentAt = edition, g.sentAt
		}
	}
}
