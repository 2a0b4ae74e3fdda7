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
	eventsMax        = 4096
	quotaHitInterval = 10 * time.Second
)

// eventRecorder keeps what a core process has seen, for tools.
type eventRecorder struct {
	mu    sync.Mutex
	feed  *events.Feed
	added chan struct{}                // closed when an event has been added
	shown map[string]discovery.State   // of endpoints, as last told
	there map[uint64]membership.Member // by life, as last told
	hits  map[string]time.Duration     // of tenants' quotas, as last told
}

func newEvents(life uint64) *eventRecorder {
	return &eventRecorder{feed: events.New(life, eventsMax), added: make(chan struct{}), shown: map[string]discovery.State{},
		there: map[uint64]membership.Member{}, hits: map[string]time.Duration{}}
}

func (r *eventRecorder) add(e events.Event) {
	e.Time = time.Now().UTC().Format(time.RFC3339Nano)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feed.Add(e)
	close(r.added)
	r.added = make(chan struct{})
}

// endpoints adds what has changed of a service's endpoints.
func (r *eventRecorder) endpoints(all []discovery.Endpoint) {
	for _, e := range all {
		r.mu.Lock()
		was, known := r.shown[e.ID]
		r.shown[e.ID] = e.State
		if e.State == discovery.Gone {
			delete(r.shown, e.ID)
		}
		r.mu.Unlock()
		if known && was == e.State || !known && e.State >= discovery.Crashed {
			continue
		}
		kind := map[discovery.State]string{discovery.Serving: events.EndpointServes, discovery.Draining: events.EndpointDrains,
			discovery.Crashed: events.EndpointCrashed, discovery.Gone: events.EndpointLeft}[e.State]
		r.add(events.Event{Kind: kind, Service: e.Service, Endpoint: e.ID, Zone: e.Zone, Node: e.Host})
	}
}

// members adds who has come and gone.
func (r *eventRecorder) members(all []membership.Member) {
	now := map[uint64]membership.Member{}
	for _, m := range all {
		now[m.Life] = m
	}
	r.mu.Lock()
	was := r.there
	r.there = now
	r.mu.Unlock()
	for life, m := range now {
		if _, ok := was[life]; !ok {
			r.add(events.Event{Kind: events.MachineInTouch, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
	for life, m := range was {
		if _, ok := now[life]; !ok {
			r.add(events.Event{Kind: events.MachineOutOfTouch, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
}

// hit adds that a tenant's tokens are used up, once in a quotaHitInterval.
func (r *eventRecorder) hit(now time.Duration, tenant string) {
	r.mu.Lock()
	last, ok := r.hits[tenant]
	if ok && now-last < quotaHitInterval {
		r.mu.Unlock()
		return
	}
	r.hits[tenant] = now
	r.mu.Unlock()
	r.add(events.Event{Kind: events.QuotaHit, Tenant: tenant})
}

// After gives events to a reader (eventfeed.Source).
func (r *eventRecorder) After(c events.Cursor, most int, f events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	got, next := r.feed.After(c, most, f)
	return got, next, r.added, nil
}

// Events serves the feed to tools.
func (a *Agent) Events() http.Handler { return eventfeed.Handler(a.events) }
