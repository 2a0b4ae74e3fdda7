package discovery

import (
	"slices"
	"time"
)

// Announcement is a record that is to be sent to a registry owner.
type Announcement struct {
	To       string
	Endpoint Endpoint
}

// Publisher announces the endpoint beside this process to the registry owners of its service, and earlier endpoints there until all
// owners know that they ended. Make one with NewPublisher.
type Publisher struct {
	config       Config
	revision     uint64         // the highest that was given
	publications []*publication // in the order in which their endpoints started
	owners       []string       // addresses, in order
}

// publication is one endpoint that is published.
type publication struct {
	Endpoint
	updatedAt  time.Duration // its record, or its state
	warmupEnd  time.Duration
	drainSeen  bool                 // it was draining, and never serves again
	deliveries map[string]*delivery // by the owner's address
}

// delivery is what one owner was sent of one publication.
type delivery struct {
	wasSent              bool
	sentAt               time.Duration // last
	sentRevision         uint64        // last
	acknowledgedRevision uint64        // last
	acknowledgedSentAt   time.Duration // when the announcement was sent that was acknowledged last
}

// NewPublisher makes a publisher without endpoints.
func NewPublisher(config Config) *Publisher { return &Publisher{config: config.WithDefaults()} }

// Set takes the endpoint as its newest keepalive has it, or as it ended, and gives it its revision. A new endpoint ends the earlier
// ones. A record that is older than the one held only counts if it says that the endpoint ends.
func (p *Publisher) Set(now time.Duration, e Endpoint) {
	pub := p.find(e.ID)
	if pub == nil {
		p.add(now, e)
		return
	}
	outdated := e.Sequence < pub.Sequence
	if pub.State == Deregistered || outdated && e.State == Serving {
		return
	}
	p.transition(now, pub, e.State)
	if outdated {
		return
	}
	if pub.Slots != e.Slots {
		p.revise(pub)
	}
	e.State = pub.State
	e.Revision = pub.Revision
	pub.Endpoint = e
	pub.updatedAt = now
	pub.warmupEnd = now + e.WarmupRemaining
}

// add begins to publish an endpoint, which ends all earlier ones.
func (p *Publisher) add(now time.Duration, e Endpoint) {
	for _, earlier := range p.publications {
		p.transition(now, earlier, Deregistered)
	}
	pub := &publication{
		Endpoint:   e,
		updatedAt:  now,
		warmupEnd:  now + e.WarmupRemaining,
		drainSeen:  e.State == Draining,
		deliveries: map[string]*delivery{},
	}
	p.revise(pub)
	p.publications = append(p.publications, pub)
}

// End reports that an endpoint deregistered or crashed.
func (p *Publisher) End(now time.Duration, id string, s State) {
	if pub := p.find(id); pub != nil {
		p.transition(now, pub, s)
	}
}

// find returns the publication of an endpoint, or nil.
func (p *Publisher) find(id string) *publication {
	i := slices.IndexFunc(p.publications, func(pub *publication) bool { return pub.ID == id })
	if i < 0 {
		return nil
	}
	return p.publications[i]
}

// transition changes the state of a publication, as far as its present one allows.
func (p *Publisher) transition(now time.Duration, pub *publication, to State) {
	pub.drainSeen = pub.drainSeen || to == Draining
	if to == Serving && pub.drainSeen {
		to = Draining
	}
	if pub.State == to || pub.State == Deregistered {
		return
	}
	p.revise(pub)
	pub.State = to
	pub.updatedAt = now
}

// revise gives a publication the next revision, so that it is announced anew.
func (p *Publisher) revise(pub *publication) {
	p.revision++
	pub.Revision = p.revision
}

// SetOwners gives the addresses of the registry owners as they are now, in any order and more than once.
func (p *Publisher) SetOwners(_ time.Duration, owners []string) {
	p.owners = slices.Clone(owners)
	slices.Sort(p.owners)
	p.owners = slices.Compact(p.owners)
	for _, pub := range p.publications {
		for owner := range pub.deliveries {
			if _, stays := slices.BinarySearch(p.owners, owner); !stays {
				delete(pub.deliveries, owner)
			}
		}
	}
}

// ForgetOwner has everything announced to an owner again: it has restarted, or the connection to it broke.
func (p *Publisher) ForgetOwner(owner string) {
	for _, pub := range p.publications {
		delete(pub.deliveries, owner)
	}
}

// Tick returns what is to be announced now: changes and records for new owners at once, what wasn't acknowledged again, and renewals.
func (p *Publisher) Tick(now time.Duration) []Announcement {
	p.publications = slices.DeleteFunc(p.publications, func(pub *publication) bool { return p.isDone(now, pub) })
	var due []Announcement
	for _, pub := range p.publications {
		for _, owner := range p.owners {
			d := pub.deliveries[owner]
			if d == nil {
				d = &delivery{}
				pub.deliveries[owner] = d
			}
			if p.isDue(now, pub, d) {
				d.send(now, pub.Revision)
				due = append(due, Announcement{To: owner, Endpoint: pub.snapshot(now, p.config.LeaseDuration)})
			}
		}
	}
	return due
}

// isDone reports whether a publication has ended, and all owners know or it is long ago.
func (p *Publisher) isDone(now time.Duration, pub *publication) bool {
	if !pub.State.hasEnded() {
		return false
	}
	return now-pub.updatedAt >= p.config.TombstoneRetention || pub.State == Deregistered && p.acknowledgedByAll(pub)
}

// isDue reports whether a publication is to be sent to an owner now.
func (p *Publisher) isDue(now time.Duration, pub *publication, d *delivery) bool {
	changed := !d.wasSent || d.sentRevision != pub.Revision
	acknowledged := d.acknowledgedRevision == pub.Revision && d.acknowledgedSentAt == d.sentAt
	switch {
	case changed:
		return true
	case !acknowledged:
		return now-d.sentAt >= p.config.RetryInterval
	default:
		return !pub.State.hasEnded() && now-d.sentAt >= p.config.LeaseDuration/3
	}
}

func (d *delivery) send(now time.Duration, revision uint64) {
	d.wasSent = true
	d.sentAt = now
	d.sentRevision = revision
}

// snapshot is the record as it is sent now, under a lease.
func (p *publication) snapshot(now, lease time.Duration) Endpoint {
	e := p.Endpoint
	e.WarmupRemaining = max(p.warmupEnd-now, 0)
	e.LeaseRemaining = lease
	return e
}

// Acknowledged reports that an owner holds a revision of an endpoint. One that isn't the revision sent last doesn't count.
func (p *Publisher) Acknowledged(_ time.Duration, owner, id string, revision uint64) {
	pub := p.find(id)
	if pub == nil {
		return
	}
	if d := pub.deliveries[owner]; d != nil && d.sentRevision == revision {
		d.acknowledgedRevision = revision
		d.acknowledgedSentAt = d.sentAt
	}
}

// AcknowledgedElsewhere reports whether an owner other than self has acknowledged an endpoint as it is now. It holds for an endpoint that
// isn't published, too, and if there is no other owner.
func (p *Publisher) AcknowledgedElsewhere(id, self string) bool {
	pub := p.find(id)
	if pub == nil {
		return true
	}
	others := 0
	for _, owner := range p.owners {
		if owner == self {
			continue
		}
		others++
		if pub.acknowledgedBy(owner) {
			return true
		}
	}
	return others == 0
}

func (p *Publisher) acknowledgedByAll(pub *publication) bool {
	return len(p.owners) > 0 && !slices.ContainsFunc(p.owners, func(owner string) bool { return !pub.acknowledgedBy(owner) })
}

// acknowledgedBy reports whether an owner has acknowledged the present revision.
func (p *publication) acknowledgedBy(owner string) bool {
	d := p.deliveries[owner]
	return d != nil && d.acknowledgedRevision == p.Revision
}
