package agent

import (
	"net/http"
	"sync"
	"time"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/eventfeed"
	"quincegap/internal/mesh/operations/events"
)

const (
	maxEvents        = 4096
	quotaHitInterval = 10 * time.Second
)

// eventRecorder keeps what a core process has seen, for tools.
type eventRecorder struct {
	mu             sync.Mutex
	feed           *events.Feed
	added          chan struct{}                // closed when an event has been added
	endpointStates map[string]discovery.State   // of endpoints, as last told
	knownMembers   map[uint64]membership.Member // by life, as last told
	lastQuotaHit   map[string]time.Duration     // of tenants' quotas, as last told
}

func newEventRecorder(life uint64) *eventRecorder {
	return &eventRecorder{
		feed: events.NewFeed(life, maxEvents), added: make(chan struct{}), endpointStates: map[string]discovery.State{},
		knownMembers: map[uint64]membership.Member{}, lastQuotaHit: map[string]time.Duration{},
	}
}

func (e *eventRecorder) add(event events.Event) {
	event.Time = time.Now().UTC().Format(time.RFC3339Nano)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.feed.Add(event)
	close(e.added)
	e.added = make(chan struct{})
}

// recordEndpoints adds what has changed of a service's endpoints.
func (e *eventRecorder) recordEndpoints(all []discovery.Endpoint) {
	for _, endpoint := range all {
		e.mu.Lock()
		was, known := e.endpointStates[endpoint.ID]
		e.endpointStates[endpoint.ID] = endpoint.State
		if endpoint.State == discovery.Deregistered {
			delete(e.endpointStates, endpoint.ID)
		}
		e.mu.Unlock()
		if known && was == endpoint.State || !known && endpoint.State >= discovery.Crashed {
			continue
		}
		kind := map[discovery.State]string{
			discovery.Serving: events.EndpointServing, discovery.Draining: events.EndpointDraining,
			discovery.Crashed: events.EndpointCrashed, discovery.Deregistered: events.EndpointGone,
		}[endpoint.State]
		e.add(events.Event{Kind: kind, Service: endpoint.Service, Endpoint: endpoint.ID, Zone: endpoint.Zone, Node: endpoint.SidecarAddress})
	}
}

// recordMembers adds who has come and gone.
func (e *eventRecorder) recordMembers(all []membership.Member) {
	now := map[uint64]membership.Member{}
	for _, m := range all {
		now[m.Incarnation] = m
	}
	e.mu.Lock()
	was := e.knownMembers
	e.knownMembers = now
	e.mu.Unlock()
	for life, m := range now {
		if _, ok := was[life]; !ok {
			e.add(events.Event{Kind: events.MemberReachable, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
	for life, m := range was {
		if _, ok := now[life]; !ok {
			e.add(events.Event{Kind: events.MemberUnreachable, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
}

// recordQuotaHit adds that a tenant's tokens are used up, once in a quotaHitInterval.
func (e *eventRecorder) recordQuotaHit(now time.Duration, tenant string) {
	e.mu.Lock()
	last, ok := e.lastQuotaHit[tenant]
	if ok && now-last < quotaHitInterval {
		e.mu.Unlock()
		return
	}
	e.lastQuotaHit[tenant] = now
	e.mu.Unlock()
	e.add(events.Event{Kind: events.QuotaExhausted, Tenant: tenant})
}

// After gives events to a reader (eventfeed.Source).
func (e *eventRecorder) After(c events.Cursor, most int, f events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	got, next := e.feed.After(c, most, f)
	return got, next, e.added, nil
}

// EventsHandler serves the feed to tools.
func (a *Agent) EventsHandler() http.Handler { return eventfeed.Handler(a.events) }
