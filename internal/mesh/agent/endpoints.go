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
	zoneMemory     = 2 * time.Minute        // for which a zone counts whose members are gone
	publishTimeout = 250 * time.Millisecond // for a home to acknowledge a record that an endpoint waits for
)

// Publish publishes the endpoint beside this process as it is now. It only notes the record, and may be called with locks held that
// EndpointLeaves or EndpointsChanged takes: this process may be a home of the record, and would call these.
func (a *Agent) Publish(e discovery.Endpoint) {
	self := a.o.Hub.Self()
	e.Host, e.HostLife = self.Address, self.Life
	a.mu.Lock()
	a.publisher.Set(a.o.Hub.Now(), e)
	a.mu.Unlock()
	a.wake()
}

// Ended publishes that a life of the endpoint beside this process has ended. Like Publish it only notes that.
func (a *Agent) Ended(id string, s discovery.State) {
	a.mu.Lock()
	a.publisher.End(a.o.Hub.Now(), id, s)
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
		done, more := a.publisher.Confirmed(id, a.o.Hub.Self().Address), a.confirmed
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

// PassOn publishes a record that this process received in place of the endpoint's own sidecar, which could not be reached. It tells
// whether a home in every zone has it, so that all callers learn of it: also in zones that were there lately, which may be cut off.
// This process alone is not enough.
func (a *Agent) PassOn(ctx context.Context, e discovery.Endpoint) bool {
	self := a.o.Hub.Self().Address
	a.mu.Lock()
	homes, lacking := a.homesOf(e.Service), a.recentZones()
	a.mu.Unlock()
	a.applyAsHome(e)
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
			answer, err := transport.Request[published](ctx, a.o.Hub, home.Address, methodPublish, &published{Endpoint: e})
			confirmations <- confirmation{home.Zone, err == nil && answer.Taken}
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
func (a *Agent) publish(records []discovery.Send) {
	for _, r := range records {
		if r.To == a.o.Hub.Self().Address {
			a.applyAsHome(r.Endpoint)
			a.acknowledged(r)
			continue
		}
		a.send(r.To, methodPublish, &published{Endpoint: r.Endpoint}, func(body []byte) {
			var answer published
			if codec.Read(body, &answer) == nil && answer.Taken {
				a.acknowledged(r)
			}
		})
	}
}

func (a *Agent) acknowledged(r discovery.Send) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publisher.Acked(a.o.Hub.Now(), r.To, r.Endpoint.ID, r.Endpoint.Edition)
	close(a.confirmed)
	a.confirmed = make(chan struct{})
}

// Tell takes a record of an endpoint that another process has told.
func (a *Agent) Tell(e discovery.Endpoint) { a.applyAsHome(e) }

func (a *Agent) takePublished(_ context.Context, _ *transport.Hello, p *published) *published {
	a.applyAsHome(p.Endpoint)
	return &published{Taken: true}
}

// applyAsHome takes a record as a home: subscribers are notified.
func (a *Agent) applyAsHome(e discovery.Endpoint) {
	a.apply(e)
	a.flush()
}

// apply takes records into the registry.
func (a *Agent) apply(records ...discovery.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyLocked(records)
}

func (a *Agent) applyLocked(records []discovery.Endpoint) {
	now := a.o.Hub.Now()
	for _, e := range records {
		before := a.registry.Version()
		if a.registry.Apply(now, e) {
			a.noteChange(e.Service, before)
		}
	}
}

// noteChange has a service's subscribers notified of what changed after a version of the registry. The lock is held.
func (a *Agent) noteChange(service string, before uint64) {
	if _, ok := a.changed[service]; !ok {
		a.changed[service] = before
	}
}

// expire ends leases that have run out, now and then. The lock is held.
func (a *Agent) expire(now time.Duration) {
	if now < a.expireAt {
		return
	}
	a.expireAt = now + expireInterval
	before := a.registry.Version()
	for _, e := range a.registry.Expire(now) {
		a.noteChange(e.Service, before)
	}
}

// subscribe sends requests of this process's subscriptions; where it is the home itself, it has the records already.
func (a *Agent) subscribe(asks []discovery.Ask) {
	self := a.o.Hub.Self().Address
	for _, ask := range asks {
		home := discovery.Home{Address: ask.To, Life: ask.Life}
		if ask.To == self {
			a.mu.Lock()
			a.subscribed.Got(a.o.Hub.Now(), home, ask.Service, 0)
			a.mu.Unlock()
			continue
		}
		a.askHome(ask.To, &subscription{Who: self, Service: ask.Service, Since: ask.Since, Life: ask.Life})
	}
}

// Refresh asks the homes of a service for all that they hold of it.
func (a *Agent) Refresh(service string) {
	a.mu.Lock()
	homes := a.view.Homes(service, a.o.Settings.Zone, homesPerZone)
	a.mu.Unlock()
	self := a.o.Hub.Self().Address
	for _, m := range homes {
		if m.Address != self {
			a.askHome(m.Address, &subscription{Who: self, Service: service})
		}
	}
}

// askHome sends one request to a home and takes its listing.
func (a *Agent) askHome(address string, s *subscription) {
	a.send(address, methodSubscribe, s, func(body []byte) {
		var l listing
		if len(body) > 0 && codec.Read(body, &l) == nil {
			a.takeListing(discovery.Home{Address: address, Life: l.Life}, &l)
		}
	})
}

func (a *Agent) takeSubscription(_ context.Context, _ *transport.Hello, s *subscription) *listing {
	now := a.o.Hub.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers.Hold(now, s.Service, s.Who)
	life, since := a.o.Hub.Self().Life, s.Since
	if s.Life != life {
		since = 0 // versions count within one life
	}
	endpoints, version, _ := a.registry.Since(now, s.Service, since)
	return &listing{Service: s.Service, Version: version, Endpoints: endpoints, Life: life}
}

func (a *Agent) takeListing(from discovery.Home, l *listing) {
	a.mu.Lock()
	a.applyLocked(l.Endpoints)
	a.subscribed.Got(a.o.Hub.Now(), from, l.Service, l.Version)
	a.mu.Unlock()
	a.flush()
}

func (a *Agent) takeUpdate(_ context.Context, _ *transport.Hello, l *listing) *acknowledgement {
	a.apply(l.Endpoints...)
	a.flush()
	return &acknowledgement{true}
}

// change is what has changed of one service.
type change struct {
	service     string
	endpoints   []discovery.Endpoint // all that is known of it
	update      []discovery.Endpoint // what has changed, for subscribers: the whole list to each would fill a home's link
	subscribers []string
}

// takeChanges returns what is to be told since the last time.
func (a *Agent) takeChanges() (changes []change) {
	now := a.o.Hub.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for service, before := range a.changed {
		update, _, _ := a.registry.Since(now, service, before)
		changes = append(changes, change{service, a.registry.List(now, service), update, a.subscribers.Notify(now, service)})
	}
	clear(a.changed)
	return changes
}

// flush tells of services whose endpoints have changed: to this process, and to subscribers.
func (a *Agent) flush() {
	for _, c := range a.takeChanges() {
		for _, subscriber := range c.subscribers {
			a.send(subscriber, methodUpdate, &listing{Service: c.service, Endpoints: c.update}, nil)
		}
		if a.o.EndpointsChanged != nil {
			a.o.EndpointsChanged(c.service, c.endpoints)
		}
		if a.events != nil {
			a.events.endpoints(c.endpoints)
		}
		a.findOwn(c.endpoints)
	}
}

// findOwn looks for what others know of the endpoint beside this process. That it serves counts by its own word only: who remembers
// it may not have heard yet that it leaves.
func (a *Agent) findOwn(endpoints []discovery.Endpoint) {
	if a.o.EndpointLeaves == nil {
		return
	}
	for _, e := range endpoints {
		if e.App == a.o.Settings.App && (e.State == discovery.Draining || e.State == discovery.Gone) {
			a.o.EndpointLeaves(e)
		}
	}
}
