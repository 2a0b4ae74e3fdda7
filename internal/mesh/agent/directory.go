package agent

import (
	"context"
	"time"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const (
	expiryInterval = time.Second       // between two checks of the leases of endpoint records
	ownersFollowed = ownersPerZone + 1 // of each service: the additional one replaces one that is unresponsive
)

// endpointDirectory holds the endpoint records that this process knows. The process is a registry owner of some services, to which
// sidecars publish and other processes subscribe, and a subscriber to the services that it wants itself. Both use the one registry. The
// fields are guarded by environment.mu.
type endpointDirectory struct {
	*environment
	members *memberTracker
	events  *eventRecorder // may be nil

	registry      *discovery.Registry
	subscriptions *discovery.Subscription // of this process, at registry owners
	subscribers   *discovery.Subscribers  // at this process
	services      []string                // that this process wants to know the endpoints of
	changed       map[string]uint64       // by service with pending notifications: the registry's version before the first change
	nextExpiry    time.Duration           // next check of the leases
}

// newEndpointDirectory returns a directory without records. A sidecar wants its own service until a configuration names others.
func newEndpointDirectory(env *environment, members *memberTracker, recorder *eventRecorder) *endpointDirectory {
	d := &endpointDirectory{
		environment:   env,
		members:       members,
		events:        recorder,
		registry:      discovery.NewRegistry(discovery.Config{}),
		subscriptions: discovery.NewSubscription(discovery.Config{}),
		subscribers:   discovery.NewSubscribers(discovery.Config{}),
		changed:       map[string]uint64{},
	}
	if env.config.Role == membership.RoleAccess {
		d.services = []string{env.settings.Service}
	}
	return d
}

// register registers the methods of a registry owner and of a subscriber.
func (d *endpointDirectory) register() {
	transport.Handle(d.hub, methodPublish, d.handlePublish)
	transport.Handle(d.hub, methodSubscribe, d.handleSubscribe)
	transport.Handle(d.hub, methodUpdate, d.handleUpdate)
}

// tickLocked expires leases, and returns the subscribe requests that are to be sent now.
func (d *endpointDirectory) tickLocked(now time.Duration) []discovery.SubscribeRequest {
	due := d.subscriptions.Tick(now)
	d.expireLocked(now)
	return due
}

// expireLocked expires leases, once in an expiryInterval.
func (d *endpointDirectory) expireLocked(now time.Duration) {
	if now < d.nextExpiry {
		return
	}
	d.nextExpiry = now + expiryInterval
	before := d.registry.Version()
	for _, e := range d.registry.Expire(now) {
		d.markChangedLocked(e.Service, before)
	}
}

// linkLostLocked marks the registry owner at an address unresponsive, as the link to it has ended: the other owners are asked at once.
func (d *endpointDirectory) linkLostLocked(now time.Duration, address string) {
	d.subscriptions.ConnectionLost(now, address)
}

// wantLocked replaces the list of the services that this process wants to know the endpoints of.
func (d *endpointDirectory) wantLocked(services []string) { d.services = services }

// updateOwnersLocked determines the registry owners of the wanted services anew, from the present members.
func (d *endpointDirectory) updateOwnersLocked() {
	for _, service := range d.services {
		var owners []discovery.RegistryOwner
		for _, m := range d.members.ownZoneOwnersLocked(service, ownersFollowed) {
			owners = append(owners, discovery.RegistryOwner{Address: m.Address, Incarnation: m.Incarnation})
		}
		d.subscriptions.SetOwners(service, owners)
	}
}

// sendSubscriptions sends subscribe requests. One to this process itself, as a registry owner, is answered at once: the records are here.
func (d *endpointDirectory) sendSubscriptions(requests []discovery.SubscribeRequest) {
	self := d.address()
	for _, r := range requests {
		owner := discovery.RegistryOwner{Address: r.To, Incarnation: r.Incarnation}
		if r.To == self {
			d.mu.Lock()
			d.subscriptions.Received(d.now(), owner, r.Service, 0)
			d.mu.Unlock()
			continue
		}
		d.requestList(r.To, &subscribeRequest{
			Subscriber:       self,
			Service:          r.Service,
			Since:            r.SinceVersion,
			OwnerIncarnation: r.Incarnation,
		})
	}
}

// refresh requests the complete endpoint list of a service from its registry owners (Agent.Refresh).
func (d *endpointDirectory) refresh(service string) {
	d.mu.Lock()
	owners := d.members.ownZoneOwnersLocked(service, ownersPerZone)
	d.mu.Unlock()
	self := d.address()
	for _, m := range owners {
		if m.Address != self {
			d.requestList(m.Address, &subscribeRequest{Subscriber: self, Service: service})
		}
	}
}

// requestList sends a subscribe request to a registry owner, and applies the endpoint list that it answers with.
func (d *endpointDirectory) requestList(owner string, request *subscribeRequest) {
	d.send(owner, methodSubscribe, request, func(body []byte) {
		var list endpointList
		if len(body) > 0 && codec.Unmarshal(body, &list) == nil {
			d.applyList(discovery.RegistryOwner{Address: owner, Incarnation: list.OwnerIncarnation}, &list)
		}
	})
}

// applyList applies the answer to a subscribe request.
func (d *endpointDirectory) applyList(from discovery.RegistryOwner, list *endpointList) {
	d.mu.Lock()
	d.applyLocked(list.Endpoints)
	d.subscriptions.Received(d.now(), from, list.Service, list.Version)
	d.mu.Unlock()
	d.notifyChanges()
}

// handleUpdate applies the records that a registry owner sends because they have changed.
func (d *endpointDirectory) handleUpdate(_ context.Context, _ *transport.Hello, list *endpointList) *acknowledgement {
	d.apply(list.Endpoints...)
	d.notifyChanges()
	return &acknowledgement{Accepted: true}
}

// handleSubscribe answers a subscriber with the records that have changed since the version that it has, and makes it one that is
// notified of later changes.
func (d *endpointDirectory) handleSubscribe(_ context.Context, _ *transport.Hello, s *subscribeRequest) *endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.subscribers.Renew(now, s.Service, s.Subscriber)
	incarnation := d.hub.Self().Incarnation
	since := s.Since
	if s.OwnerIncarnation != incarnation {
		since = 0 // a version is one of a single incarnation's registry
	}
	endpoints, version, _ := d.registry.ChangedSince(now, s.Service, since)
	return &endpointList{Service: s.Service, Version: version, Endpoints: endpoints, OwnerIncarnation: incarnation}
}

// handlePublish applies the record that a sidecar publishes to this process as a registry owner.
func (d *endpointDirectory) handlePublish(_ context.Context, _ *transport.Hello, p *publishRequest) *publishRequest {
	d.applyAsOwner(p.Endpoint)
	return &publishRequest{Accepted: true}
}

// applyAsOwner applies a record to the registry, and notifies the subscribers if that has changed anything.
func (d *endpointDirectory) applyAsOwner(e discovery.Endpoint) {
	d.apply(e)
	d.notifyChanges()
}

// apply applies records to the registry. Subscribers are notified by the next notifyChanges.
func (d *endpointDirectory) apply(records ...discovery.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLocked(records)
}

// applyLocked is apply for callers that hold the lock.
func (d *endpointDirectory) applyLocked(records []discovery.Endpoint) {
	now := d.now()
	for _, e := range records {
		before := d.registry.Version()
		if d.registry.Apply(now, e) {
			d.markChangedLocked(e.Service, before)
		}
	}
}

// allLocked returns the records of all services that this process knows, ordered by ID.
func (d *endpointDirectory) allLocked() []discovery.Endpoint { return d.registry.All(d.now()) }

// complete fills in a record that has only an ID and a state from the record that the registry has of the endpoint, if there is one.
func (d *endpointDirectory) complete(e discovery.Endpoint) discovery.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, known := range d.allLocked() {
		if known.ID == e.ID {
			known.State = e.State
			return known
		}
	}
	return e
}
