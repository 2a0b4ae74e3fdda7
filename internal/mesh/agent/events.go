package agent

import (
	"net/http"
	"sync"
	"time"

	"gingerlead/internal/mesh/discovery"
	"gingerlead/internal/mesh/discovery/membership"
	"gingerlead/internal/mesh/operations/eventfeed"
	"gingerlead/internal/mesh/operations/events"
)

const (
	eventsKept = 4096
	hitEach    = 10 * time.Second
)

// events is what a core process has seen, for tools.
type eventRecorder struct {
	mu    sync.Mutex
	feed  *events.Feed
	news  chan struct{} // closed when something has come
	shown map[string]discovery.State
	there map[uint64]membership.Member
	hits  map[string]time.Duration
}

func newEvents(life uint64) *eventRecorder {
	return &eventRecorder{feed: events.New(life, eventsKept), news: make(chan struct{}), shown: map[string]discovery.State{},
		there: map[uint64]membership.Member{}, hits: map[string]time.Duration{}}
}

func (v *eventRecorder) add(e events.Event) {
	e.Time = time.Now().UTC().Format(time.RFC3339Nano)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.feed.Add(e)
	close(v.news)
	v.news = make(chan struct{})
}

// endpoints sees what has changed of a service's endpoints.
func (v *eventRecorder) endpoints(all []discovery.Endpoint) {
	for _, e := range all {
		v.mu.Lock()
		was, known := v.shown[e.ID]
		v.shown[e.ID] = e.State
		if e.State == discovery.Gone {
			delete(v.shown, e.ID)
		}
		v.mu.Unlock()
		if known && was == e.State || !known && e.State >= discovery.Crashed {
			continue
		}
		kind := map[discovery.State]string{discovery.Serving: events.EndpointServes, discovery.Draining: events.EndpointDrains,
			discovery.Crashed: events.EndpointCrashed, discovery.Gone: events.EndpointLeft}[e.State]
		v.add(events.Event{Kind: kind, Service: e.Service, Endpoint: e.ID, Zone: e.Zone, Node: e.Host})
	}
}

// members sees who has come and gone.
func (v *eventRecorder) members(all []membership.Member) {
	now := map[uint64]membership.Member{}
	for _, m := range all {
		now[m.Life] = m
	}
	v.mu.Lock()
	was := v.there
	v.there = now
	v.mu.Unlock()
	for life, m := range now {
		if _, ok := was[life]; !ok {
			v.add(events.Event{Kind: events.MachineInTouch, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
	for life, m := range was {
		if _, ok := now[life]; !ok {
			v.add(events.Event{Kind: events.MachineOutOfTouch, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
}

// hit sees that a tenant's tokens are sold out; told once in a while.
func (v *eventRecorder) hit(now time.Duration, tenant string) {
	v.mu.Lock()
	last, ok := v.hits[tenant]
	if ok && now-last < hitEach {
		v.mu.Unlock()
		return
	}
	v.hits[tenant] = now
	v.mu.Unlock()
	v.add(events.Event{Kind: events.QuotaHit, Tenant: tenant})
}

// After gives events to a reader (events.Reader).
func (v *eventRecorder) After(c events.Cursor, most int, f events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	got, next := v.feed.After(c, most, f)
	return got, next, v.news, nil
}

// Events serves the feed to tools.
func (c *Agent) Events() http.Handler { return eventfeed.Handler(c.events) }
