package agent

import (
	"context"
	"time"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const (
	expireInterval = time.Second            // between two looks at leases of endpoints
	zoneRetention  = 2 * time.Minute        // for which a zone counts whose members are gone
	publishTimeout = 250 * time.Millisecond // for a home to acknowledge a record that an endpoint waits for
)

// Publish publishes the endpoint beside this process as it is now. It only notes the record, and may be called with locks held that
// OnEndpointLeaving or OnEndpointsChanged takes: this process may be a home of the record, and would call these.
func (a *Agent) Publish(e discovery.Endpoint) {
	self := a.config.Hub.Self()
	e.SidecarAddress, e.SidecarIncarnation = self.Address, self.Incarnation
	a.mu.Lock()
	a.publisher.Set(a.config.Hub.Now(), e)
	a.mu.Unlock()
	a.wake()
}

// PublishEnd publishes that a life of the endpoint beside this process has ended. Like Publish it only notes that.
func (a *Agent) PublishEnd(id string, s discovery.State) {
	a.mu.Lock()
	a.publisher.End(a.config.Hub.Now(), id, s)
	a.mu.Unlock()
	a.wake()
}

// AwaitConfirmed waits until a home on another machine knows a life as it is now, for publishTimeout at most: what an endpoint has
// been told is taken then outlives this process.
func (a *Agent) AwaitConfirmed(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for {
		a.mu.Lock()
		done, more := a.publisher.AcknowledgedElsewhere(id, a.config.Hub.Self().Address), a.acknowledgedRecords
		a.mu.Unlock()
		if done {
			return
		}
		select {
		case <-more:
		case <-ctx.Done():
			return
		}
	}
}

// PublishOnBehalf publishes a record that this process received in place of the endpoint's own sidecar, which could not be reached. It tells
// whether a home in every zone has it, so that all callers learn of it: also in zones that were there lately, which may be cut off.
// This process alone is not enough.
func (a *Agent) PublishOnBehalf(ctx context.Context, e discovery.Endpoint) bool {
	self := a.config.Hub.Self().Address
	a.mu.Lock()
	homes, lacking := a.ownersOf(e.Service), a.recentZones()
	a.mu.Unlock()
	a.applyAsOwner(e)
	type confirmation struct {
		zone  string
		taken bool
	}
	confirmations := make(chan confirmation, len(homes))
	others := 0
	for _, home := range homes {
		if home.Address == self {
			delete(lacking, home.Zone)
			continue
		}
		others++
		go func() {
			answer, err := transport.Request[publishRequest](ctx, a.config.Hub, home.Address, methodPublish, &publishRequest{Endpoint: e})
			confirmations <- confirmation{home.Zone, err == nil && answer.Accepted}
		}()
	}
	confirmed := 0
	for range others {
		c := <-confirmations // each comes before ctx ends
		if c.taken {
			confirmed++
			delete(lacking, c.zone)
		}
		if confirmed > 0 && len(lacking) == 0 {
			return true
		}
	}
	return false
}

// publish sends records to homes, of which this process may be one.
func (a *Agent) publish(records []discovery.Announcement) {
	for _, r := range records {
		if r.To == a.config.Hub.Self().Address {
			a.applyAsOwner(r.Endpoint)
			a.recordAcknowledgement(r)
			continue
		}
		a.send(r.To, methodPublish, &publishRequest{Endpoint: r.Endpoint}, func(body []byte) {
			var answer publishRequest
			if codec.Unmarshal(body, &answer) == nil && answer.Accepted {
				a.recordAcknowledgement(r)
			}
		})
	}
}

func (a *Agent) recordAcknowledgement(r discovery.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publisher.Acknowledged(a.config.Hub.Now(), r.To, r.Endpoint.ID, r.Endpoint.Revision)
	close(a.acknowledgedRecords)
	a.acknowledgedRecords = make(chan struct{})
}

// ApplyRecord takes a record of an endpoint that another process has told.
func (a *Agent) ApplyRecord(e discovery.Endpoint) { a.applyAsOwner(e) }

func (a *Agent) handlePublish(_ context.Context, _ *transport.Hello, p *publishRequest) *publishRequest {
	a.applyAsOwner(p.Endpoint)
	return &publishRequest{Accepted: true}
}

// applyAsOwner takes a record as a home: subscribers are notified.
func (a *Agent) applyAsOwner(e discovery.Endpoint) {
	a.apply(e)
	a.notifyChanges()
}

// apply takes records into the registry.
func (a *Agent) apply(records ...discovery.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyLocked(records)
}

func (a *Agent) applyLocked(records []discovery.Endpoint) {
	now := a.config.Hub.Now()
	for _, e := range records {
		before := a.registry.Version()
		if a.registry.Apply(now, e) {
			a.markChanged(e.Service, before)
		}
	}
}

// markChanged has a service's subscribers notified of what changed after a version of the registry. The lock is held.
func (a *Agent) markChanged(service string, before uint64) {
	if _, ok := a.changedServices[service]; !ok {
		a.changedServices[service] = before
	}
}

// expire ends leases that have run out, now and then. The lock is held.
func (a *Agent) expire(now time.Duration) {
	if now < a.nextExpiry {
		return
	}
	a.nextExpiry = now + expireInterval
	before := a.registry.Version()
	for _, e := range a.registry.Expire(now) {
		a.markChanged(e.Service, before)
	}
}

// subscribe sends requests of this process's subscriptions; where it is the home itself, it has the records already.
func (a *Agent) subscribe(asks []discovery.SubscribeRequest) {
	self := a.config.Hub.Self().Address
	for _, ask := range asks {
		home := discovery.RegistryOwner{Address: ask.To, Incarnation: ask.Incarnation}
		if ask.To == self {
			a.mu.Lock()
			a.subscriptions.Received(a.config.Hub.Now(), home, ask.Service, 0)
			a.mu.Unlock()
			continue
		}
		a.requestEndpointList(ask.To, &subscribeRequest{Subscriber: self, Service: ask.Service, Since: ask.SinceVersion, OwnerIncarnation: ask.Incarnation})
	}
}

// Refresh asks the homes of a service for all that they hold of it.
func (a *Agent) Refresh(service string) {
	a.mu.Lock()
	homes := a.view.RegistryOwners(service, a.config.Settings.Zone, ownersPerZone)
	a.mu.Unlock()
	self := a.config.Hub.Self().Address
	for _, m := range homes {
		if m.Address != self {
			a.requestEndpointList(m.Address, &subscribeRequest{Subscriber: self, Service: service})
		}
	}
}

// requestEndpointList sends one request to a home and takes its listing.
func (a *Agent) requestEndpointList(address string, s *subscribeRequest) {
	a.send(address, methodSubscribe, s, func(body []byte) {
		var l endpointList
		if len(body) > 0 && codec.Unmarshal(body, &l) == nil {
			a.applyEndpointList(discovery.RegistryOwner{Address: address, Incarnation: l.OwnerIncarnation}, &l)
		}
	})
}

func (a *Agent) handleSubscribe(_ context.Context, _ *transport.Hello, s *subscribeRequest) *endpointList {
	now := a.config.Hub.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers.Renew(now, s.Service, s.Subscriber)
	life, since := a.config.Hub.Self().Incarnation, s.Since
	if s.OwnerIncarnation != life {
		since = 0 // versions count within one life
	}
	endpoints, version, _ := a.registry.ChangedSince(now, s.Service, since)
	return &endpointList{Service: s.Service, Version: version, Endpoints: endpoints, OwnerIncarnation: life}
}

func (a *Agent) applyEndpointList(from discovery.RegistryOwner, l *endpointList) {
	a.mu.Lock()
	a.applyLocked(l.Endpoints)
	a.subscriptions.Received(a.config.Hub.Now(), from, l.Service, l.Version)
	a.mu.Unlock()
	a.notifyChanges()
}

func (a *Agent) handleUpdate(_ context.Context, _ *transport.Hello, l *endpointList) *acknowledgement {
	a.apply(l.Endpoints...)
	a.notifyChanges()
	return &acknowledgement{true}
}

// serviceChange is what has changed of one service.
type serviceChange struct {
	service     string
	endpoints   []discovery.Endpoint // all that is known of it
	update      []discovery.Endpoint // what has changed, for subscribers: the whole list to each would fill a home's link
	subscribers []string
}

// drainChanges returns what is to be told since the last time.
func (a *Agent) drainChanges() (changes []serviceChange) {
	now := a.config.Hub.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for service, before := range a.changedServices {
		update, _, _ := a.registry.ChangedSince(now, service, before)
		changes = append(changes, serviceChange{service, a.registry.List(now, service), update, a.subscribers.Active(now, service)})
	}
	clear(a.changedServices)
	return changes
}

// notifyChanges tells of services whose endpoints have changed: to this process, and to subscribers.
func (a *Agent) notifyChanges() {
	for _, c := range a.drainChanges() {
		for _, subscriber := range c.subscribers {
			a.send(subscriber, methodUpdate, &endpointList{Service: c.service, Endpoints: c.update}, nil)
		}
		if a.config.OnEndpointsChanged != nil {
			a.config.OnEndpointsChanged(c.service, c.endpoints)
		}
		if a.events != nil {
			a.events.recordEndpoints(c.endpoints)
		}
		a.reportLeaving(c.endpoints)
	}
}

// reportLeaving looks for what others know of the endpoint beside this process. That it serves counts by its own word only: who remembers
// it may not have heard yet that it leaves.
func (a *Agent) reportLeaving(endpoints []discovery.Endpoint) {
	if a.config.OnEndpointLeaving == nil {
		return
	}
	for _, e := range endpoints {
		if e.AppAddress == a.config.Settings.ApplicationAddress && (e.State == discovery.Draining || e.State == discovery.Deregistered) {
			a.config.OnEndpointLeaving(e)
		}
	}
}
