package discovery

import (
	"slices"
	"time"
)

// Announcement is a record to be sent to a registry owner.
type Announcement struct {
	To       string // address of the owner
	Endpoint Endpoint
}

// Publisher announces the endpoint beside this process to the registry owners of its service. It also announces the end of earlier
// endpoints until all owners have acknowledged it. Create it with NewPublisher.
type Publisher struct {
	config       Config
	revision     uint64         // highest revision of any publication
	publications []*publication // publications ordered by the start of their endpoints
	owners       []string       // sorted addresses of the owners
}

// publication is the published record of one endpoint, with the announcements to each owner.
type publication struct {
	Endpoint
	updatedAt  time.Duration // time of the last change of the record
	warmupEnd  time.Duration
	drainSeen  bool                 // the endpoint was draining, and never returns to Serving
	deliveries map[string]*delivery // deliveries by owner address
}

// delivery records the announcements of one publication to one owner.
type delivery struct {
	wasSent              bool
	sentAt               time.Duration // time of the last announcement
	sentRevision         uint64        // revision in the last announcement
	acknowledgedRevision uint64        // revision in the last acknowledged announcement
	acknowledgedSentAt   time.Duration // value of sentAt for the last acknowledged announcement
}

// NewPublisher returns a publisher without endpoints.
func NewPublisher(config Config) *Publisher { return &Publisher{config: config.WithDefaults()} }

// Set publishes the record of an endpoint, which is based on its newest keepalive or reports its end. The publisher sets the record's
// revision. A record with a new endpoint ID deregisters the earlier endpoints. A record with a lower sequence than the published one is
// outdated: it is ignored if its state is Serving, and otherwise changes only the state.
func (p *Publisher) Set(now time.Duration, endpoint Endpoint) {
	pub := p.find(endpoint.ID)
	if pub == nil {
		p.add(now, endpoint)
		return
	}
	outdated := endpoint.Sequence < pub.Sequence
	if pub.State == Deregistered || outdated && endpoint.State == Serving {
		return
	}
	p.transition(now, pub, endpoint.State)
	if outdated {
		return
	}
	if pub.Slots != endpoint.Slots {
		p.advanceRevision(pub)
	}
	endpoint.State = pub.State
	endpoint.Revision = pub.Revision
	pub.Endpoint = endpoint
	pub.updatedAt = now
	pub.warmupEnd = now + endpoint.WarmupRemaining
}

// add starts to publish a new endpoint, and deregisters all earlier endpoints.
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
	p.advanceRevision(pub)
	p.publications = append(p.publications, pub)
}

// End publishes that an endpoint has deregistered or crashed.
func (p *Publisher) End(now time.Duration, id string, s State) {
	if pub := p.find(id); pub != nil {
		p.transition(now, pub, s)
	}
}

// find returns the publication of an endpoint, or nil if there is none.
func (p *Publisher) find(id string) *publication {
	i := slices.IndexFunc(p.publications, func(pub *publication) bool { return pub.ID == id })
	if i < 0 {
		return nil
	}
	return p.publications[i]
}

// transition changes the state of a publication. A deregistered endpoint stays deregistered, and one that was draining never returns to
// Serving.
func (p *Publisher) transition(now time.Duration, pub *publication, to State) {
	pub.drainSeen = pub.drainSeen || to == Draining
	if to == Serving && pub.drainSeen {
		to = Draining
	}
	if pub.State == to || pub.State == Deregistered {
		return
	}
	p.advanceRevision(pub)
	pub.State = to
	pub.updatedAt = now
}

// advanceRevision assigns the next revision to a publication, so that it is announced to all owners again.
func (p *Publisher) advanceRevision(pub *publication) {
	p.revision++
	pub.Revision = p.revision
}

// SetOwners replaces the addresses of the registry owners. They may be in any order, and may contain duplicates.
func (p *Publisher) SetOwners(owners []string) {
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

// ForgetOwner makes all records due again for an owner. It is called when the owner has restarted or the connection to it broke.
func (p *Publisher) ForgetOwner(owner string) {
	for _, pub := range p.publications {
		delete(pub.deliveries, owner)
	}
}

// Tick returns the announcements that are due. Changes, and records for new owners, are due immediately; unacknowledged announcements after
// RetryInterval; renewals after a third of LeaseDuration.
func (p *Publisher) Tick(now time.Duration) []Announcement {
	p.publications = slices.DeleteFunc(p.publications, func(pub *publication) bool { return p.isFinished(now, pub) })
	var due []Announcement
	for _, pub := range p.publications {
		for _, owner := range p.owners {
			d := pub.deliveries[owner]
			if d == nil {
				d = &delivery{}
				pub.deliveries[owner] = d
			}
			if p.isDue(now, pub, d) {
				d.recordSent(now, pub.Revision)
				due = append(due, Announcement{To: owner, Endpoint: pub.snapshot(now, p.config.LeaseDuration)})
			}
		}
	}
	return due
}

// isFinished reports whether the endpoint of a publication has ended and needs no more announcements, because all owners have acknowledged
// its deregistration or because it ended TombstoneRetention ago.
func (p *Publisher) isFinished(now time.Duration, pub *publication) bool {
	if !pub.State.hasEnded() {
		return false
	}
	return now-pub.updatedAt >= p.config.TombstoneRetention || pub.State == Deregistered && p.acknowledgedByAll(pub)
}

// isDue reports whether a publication must be announced to an owner now.
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

// recordSent records that a revision is announced at the given time.
func (d *delivery) recordSent(now time.Duration, revision uint64) {
	d.wasSent = true
	d.sentAt = now
	d.sentRevision = revision
}

// snapshot returns the record as it is sent at the given time, under a lease.
func (p *publication) snapshot(now, lease time.Duration) Endpoint {
	e := p.Endpoint
	e.WarmupRemaining = max(p.warmupEnd-now, 0)
	e.LeaseRemaining = lease
	return e
}

// Acknowledged records that an owner has acknowledged a revision of an endpoint. It does nothing if another revision was sent last.
func (p *Publisher) Acknowledged(owner, id string, revision uint64) {
	pub := p.find(id)
	if pub == nil {
		return
	}
	if d := pub.deliveries[owner]; d != nil && d.sentRevision == revision {
		d.acknowledgedRevision = revision
		d.acknowledgedSentAt = d.sentAt
	}
}

// AcknowledgedElsewhere reports whether an owner other than self has acknowledged the current revision of an endpoint. It also returns true
// if the endpoint isn't published or there is no other owner, because there is then nothing to wait for.
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

// acknowledgedByAll reports whether there are owners and all of them have acknowledged the current revision.
func (p *Publisher) acknowledgedByAll(pub *publication) bool {
	return len(p.owners) > 0 && !slices.ContainsFunc(p.owners, func(owner string) bool { return !pub.acknowledgedBy(owner) })
}

// acknowledgedBy reports whether an owner has acknowledged the current revision of the endpoint.
func (p *publication) acknowledgedBy(owner string) bool {
	d := p.deliveries[owner]
	return d != nil && d.acknowledgedRevision == p.Revision
}
