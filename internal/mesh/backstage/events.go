package backstage

import (
	"net/http"
	"sync"
	"time"

	"gingerlead/internal/mesh/callboard"
	"gingerlead/internal/mesh/company"
	"gingerlead/internal/mesh/feed"
	"gingerlead/internal/mesh/marquee"
)

const (
	eventsKept = 4096
	hitEach    = 10 * time.Second
)

// events is what a core process has seen, for tools.
type events struct {
	mu    sync.Mutex
	feed  *marquee.Feed
	news  chan struct{} // closed when something has come
	shown map[string]callboard.State
	there map[uint64]company.Member
	hits  map[string]time.Duration
}

func newEvents(life uint64) *events {
	return &events{feed: marquee.New(life, eventsKept), news: make(chan struct{}), shown: map[string]callboard.State{},
		there: map[uint64]company.Member{}, hits: map[string]time.Duration{}}
}

func (v *events) add(e marquee.Event) {
	e.Time = time.Now().UTC().Format(time.RFC3339Nano)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.feed.Add(e)
	close(v.news)
	v.news = make(chan struct{})
}

// endpoints sees what has changed of a service's endpoints.
func (v *events) endpoints(all []callboard.Endpoint) {
	for _, e := range all {
		v.mu.Lock()
		was, known := v.shown[e.ID]
		v.shown[e.ID] = e.State
		if e.State == callboard.Gone {
			delete(v.shown, e.ID)
		}
		v.mu.Unlock()
		if known && was == e.State || !known && e.State >= callboard.Crashed {
			continue
		}
		kind := map[callboard.State]string{callboard.Serving: marquee.EndpointServes, callboard.Draining: marquee.EndpointDrains,
			callboard.Crashed: marquee.EndpointCrashed, callboard.Gone: marquee.EndpointLeft}[e.State]
		v.add(marquee.Event{Kind: kind, Service: e.Service, Endpoint: e.ID, Zone: e.Zone, Node: e.Host})
	}
}

// members sees who has come and gone.
func (v *events) members(all []company.Member) {
	now := map[uint64]company.Member{}
	for _, m := range all {
		now[m.Life] = m
	}
	v.mu.Lock()
	was := v.there
	v.there = now
	v.mu.Unlock()
	for life, m := range now {
		if _, ok := was[life]; !ok {
			v.add(marquee.Event{Kind: marquee.MachineInTouch, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
	for life, m := range was {
		if _, ok := now[life]; !ok {
			v.add(marquee.Event{Kind: marquee.MachineOutOfTouch, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
}

// hit sees that a tenant's tokens are sold out; told once in a while.
func (v *events) hit(now time.Duration, tenant string) {
	v.mu.Lock()
	last, ok := v.hits[tenant]
	if ok && now-last < hitEach {
		v.mu.Unlock()
		return
	}
	v.hits[tenant] = now
	v.mu.Unlock()
	v.add(marquee.Event{Kind: marquee.QuotaHit, Tenant: tenant})
}

// After gives events to a reader (marquee.Reader).
func (v *events) After(c marquee.Cursor, most int, f marquee.Filter) ([]marquee.Event, marquee.Cursor, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	got, next := v.feed.After(c, most, f)
	return got, next, v.news, nil
}

// Events serves the feed to tools.
func (c *Crew) Events() http.Handler { return feed.Handler(c.events) }
