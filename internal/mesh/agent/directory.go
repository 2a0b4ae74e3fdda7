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
	expiryInterval        = time.Second       // interval between checks for expired leases of endpoint records
	ownersPerSubscription = ownersPerZone + 1 // registry owners of a service to subscribe to: one more, to replace an unresponsive one
)

// endpointDirectory holds the endpoint records known to this process. The process is a registry owner of some services: sidecars publish
// records to it, and other processes subscribe to it. It is also a subscriber to the services whose endpoints it needs itself. Both uses
// share one registry. The fields are guarded by environment.mu.
type endpointDirectory struct {
	*environment
	members *memberTracker
	events  *eventRecorder // nil on sidecars

	registry       *discovery.Registry
	subscriptions  *discovery.Subscription // subscriptions of this process at registry owners
	subscribers    *discovery.Subscribers  // subscribers registered at this process
	wantedServices []string                // services whose endpoints this process needs
	changedSince   map[string]uint64       // registry version before the first pending change, by name of the changed service
	nextExpiry     time.Duration           // time of the next check for expired leases
}

// newEndpointDirectory returns a directory without records. Until a configuration is applied, a sidecar wants its own service only.
func newEndpointDirectory(env *environment, members *memberTracker, recorder *eventRecorder) *endpointDirectory {
	d := &endpointDirectory{
		environment:   env,
		members:       members,
		events:        recorder,
		registry:      discovery.NewRegistry(discovery.Config{}),
		subscriptions: discovery.NewSubscription(discovery.Config{}),
		subscribers:   discovery.NewSubscribers(discovery.Config{}),
		changedSince:  map[string]uint64{},
	}
	if env.config.Role == membership.RoleAccess {
		d.wantedServices = []string{env.settings.Service}
	}
	return d
}

// register registers the methods that a registry owner and a subscriber serve.
func (d *endpointDirectory) register() {
	transport.Handle(d.hub, methodPublish, d.handlePublish)
	transport.Handle(d.hub, methodSubscribe, d.handleSubscribe)
	transport.Handle(d.hub, methodUpdate, d.handleUpdate)
}

// tickLocked expires leases, and returns the subscribe requests to send now.
func (d *endpointDirectory) tickLocked(now time.Duration) []discovery.SubscribeRequest {
	due := d.subscriptions.Tick(now)
	d.expireLocked(now)
	return due
}

// expireLocked expires the leases of endpoint records and of subscriptions, at most once per expiryInterval.
func (d *endpointDirectory) expireLocked(now time.Duration) {
	if now < d.nextExpiry {
		return
	}
	d.nextExpiry = now + expiryInterval
	before := d.registry.Version()
	for _, e := range d.registry.Expire(now) {
		d.markChangedLocked(e.Service, before)
	}
	d.subscribers.Expire(now)
}

// linkLostLocked marks the registry owner at an address as unresponsive, because the link to it was lost. The other owners are then asked
// immediately.
func (d *endpointDirectory) linkLostLocked(now time.Duration, address string) {
	d.subscriptions.ConnectionLost(now, address)
}

// setWantedServicesLocked replaces the list of services whose endpoints this process needs.
func (d *endpointDirectory) setWantedServicesLocked(services []string) { d.wantedServices = services }

// updateOwnersLocked recomputes the registry owners of the wanted services from the current members.
func (d *endpointDirectory) updateOwnersLocked() {
	for _, service := range d.wantedServices {
		var owners []discovery.RegistryOwner
		for _, m := range d.members.ownZoneOwnersLocked(service, ownersPerSubscription) {
			owners = append(owners, discovery.RegistryOwner{Address: m.Address, Incarnation: m.Incarnation})
		}
		d.subscriptions.SetOwners(service, owners)
	}
}

// sendSubscriptions sends subscribe requests. A request to this process itself, as a registry owner, counts as answered immediately, as
// this process already has the owner's records.
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

// refresh implements Agent.Refresh.
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

// requestList sends a subscribe request to a registry owner, and applies the endpoint list in the reply.
func (d *endpointDirectory) requestList(owner string, request *subscribeRequest) {
	d.send(owner, methodSubscribe, request, func(body []byte) {
		var list endpointList
		if len(body) > 0 && codec.Unmarshal(body, &list) == nil {
			d.applyList(discovery.RegistryOwner{Address: owner, Incarnation: list.OwnerIncarnation}, &list)
		}
	})
}

// applyList applies a registry owner's reply to a subscribe request.
func (d *endpointDirectory) applyList(from discovery.RegistryOwner, list *endpointList) {
	d.mu.Lock()
	d.applyLocked(list.Endpoints)
	d.subscriptions.Received(d.now(), from, list.Service, list.Version)
	d.mu.Unlock()
	d.notifyChanges()
}

// handleUpdate applies the changed records that a registry owner sends to this process as its subscriber.
func (d *endpointDirectory) handleUpdate(_ context.Context, _ *transport.Hello, list *endpointList) *acknowledgement {
	d.apply(list.Endpoints...)
	d.notifyChanges()
	return &acknowledgement{Accepted: true}
}

// handleSubscribe registers a subscriber for notifications of later changes, or renews its registration, and returns the records that
// have changed since the version that the subscriber has.
func (d *endpointDirectory) handleSubscribe(_ context.Context, _ *transport.Hello, s *subscribeRequest) *endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.subscribers.Renew(now, s.Service, s.Subscriber)
	incarnation := d.hub.Self().Incarnation
	since := s.Since
	if s.OwnerIncarnation != incarnation {
		since = 0 // versions of another incarnation's registry can't be compared with this one's
	}
	endpoints, version, _ := d.registry.ChangedSince(now, s.Service, since)
	return &endpointList{Service: s.Service, Version: version, Endpoints: endpoints, OwnerIncarnation: incarnation}
}

// handlePublish applies a record that a sidecar has published to this process as a registry owner.
func (d *endpointDirectory) handlePublish(_ context.Context, _ *transport.Hello, p *publishRequest) *publishRequest {
	d.applyAsOwner(p.Endpoint)
	return &publishRequest{Accepted: true}
}

// applyAsOwner applies a record to the registry, and notifies the subscribers if the registry has changed.
func (d *endpointDirectory) applyAsOwner(e discovery.Endpoint) {
	d.apply(e)
	d.notifyChanges()
}

// apply applies records to the registry. The next call of notifyChanges notifies the subscribers.
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

// allLocked returns the records of all services known to this process, ordered by ID.
func (d *endpointDirectory) allLocked() []discovery.Endpoint { return d.registry.All(d.now()) }

// completeRecord completes a record that has only an ID and a state: it returns the registry's record of the endpoint with the new state.
// If the registry has none, it returns the record unchanged.
func (d *endpointDirectory) completeRecord(e discovery.Endpoint) discovery.Endpoint {
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
