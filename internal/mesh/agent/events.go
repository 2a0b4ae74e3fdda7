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
	return &eventRecorder{feed: events.NewFeed(life, maxEvents), added: make(chan struct{}), endpointStates: map[string]discovery.State{},
		knownMembers: map[uint64]membership.Member{}, lastQuotaHit: map[string]time.Duration{}}
}

func (r *eventRecorder) add(e events.Event) {
	e.Time = time.Now().UTC().Format(time.RFC3339Nano)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feed.Add(e)
	close(r.added)
	r.added = make(chan struct{})
}

// recordEndpoints adds what has changed of a service's endpoints.
func (r *eventRecorder) recordEndpoints(all []discovery.Endpoint) {
	for _, e := range all {
		r.mu.Lock()
		was, known := r.endpointStates[e.ID]
		r.endpointStates[e.ID] = e.State
		if e.State == discovery.Deregistered {
			delete(r.endpointStates, e.ID)
		}
		r.mu.Unlock()
		if known && was == e.State || !known && e.State >= discovery.Crashed {
			continue
		}
		kind := map[discovery.State]string{discovery.Serving: events.EndpointServing, discovery.Draining: events.EndpointDraining,
			discovery.Crashed: events.EndpointCrashed, discovery.Deregistered: events.EndpointGone}[e.State]
		r.add(events.Event{Kind: kind, Service: e.Service, Endpoint: e.ID, Zone: e.Zone, Node: e.SidecarAddress})
	}
}

// recordMembers adds who has come and gone.
func (r *eventRecorder) recordMembers(all []membership.Member) {
	now := map[uint64]membership.Member{}
	for _, m := range all {
		now[m.Incarnation] = m
	}
	r.mu.Lock()
	was := r.knownMembers
	r.knownMembers = now
	r.mu.Unlock()
	for life, m := range now {
		if _, ok := was[life]; !ok {
			r.add(events.Event{Kind: events.MemberReachable, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
	for life, m := range was {
		if _, ok := now[life]; !ok {
			r.add(events.Event{Kind: events.MemberUnreachable, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
}

// recordQuotaHit adds that a tenant's tokens are used up, once in a quotaHitInterval.
func (r *eventRecorder) recordQuotaHit(now time.Duration, tenant string) {
	r.mu.Lock()
	last, ok := r.lastQuotaHit[tenant]
	if ok && now-last < quotaHitInterval {
		r.mu.Unlock()
		return
	}
	r.lastQuotaHit[tenant] = now
	r.mu.Unlock()
	r.add(events.Event{Kind: events.QuotaExhausted, Tenant: tenant})
}

// After gives events to a reader (eventfeed.Source).
func (r *eventRecorder) After(c events.Cursor, most int, f events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	got, next := r.feed.After(c, most, f)
	return got, next, r.added, nil
}

// EventsHandler serves the feed to tools.
func (a *Agent) EventsHandler() http.Handler { return eventfeed.Handler(a.events) }
