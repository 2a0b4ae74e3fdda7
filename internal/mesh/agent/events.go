package agent

import (
	"sync"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/events"
)

const (
	maxEvents              = 4096             // that the feed keeps; the oldest are dropped
	quotaExhaustedInterval = 10 * time.Second // at least, between two events of one tenant's exhausted quota
)

// eventRecorder records the changes that a core process sees as events, for tools. It implements eventfeed.Source. A nil recorder, which
// sidecars have, records nothing.
type eventRecorder struct {
	mu             sync.Mutex
	feed           *events.Feed
	added          chan struct{}                // closed, and replaced, when an event has been added
	endpointStates map[string]discovery.State   // as last recorded, by id
	members        map[uint64]membership.Member // as last recorded, by incarnation
	quotaExhausted map[string]time.Duration     // when last recorded, by tenant
}

// newEventRecorder returns a recorder whose cursors carry the incarnation of this process.
func newEventRecorder(incarnation uint64) *eventRecorder {
	return &eventRecorder{
		feed:           events.NewFeed(incarnation, maxEvents),
		added:          make(chan struct{}),
		endpointStates: map[string]discovery.State{},
		members:        map[uint64]membership.Member{},
		quotaExhausted: map[string]time.Duration{},
	}
}

// After implements eventfeed.Source.
func (r *eventRecorder) After(c events.Cursor, limit int, f events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, next := r.feed.After(c, limit, f)
	return found, next, r.added, nil
}

// add adds an event to the feed with the present wall-clock time, and wakes readers that wait for one.
func (r *eventRecorder) add(e events.Event) {
	e.Time = time.Now().UTC().Format(time.RFC3339Nano)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feed.Add(e)
	close(r.added)
	r.added = make(chan struct{})
}

// endpointEventKinds holds the kind of the event that records an endpoint's change to a state.
var endpointEventKinds = map[discovery.State]string{
	discovery.Serving:      events.EndpointServing,
	discovery.Draining:     events.EndpointDraining,
	discovery.Crashed:      events.EndpointCrashed,
	discovery.Deregistered: events.EndpointGone,
}

// recordEndpoints records the endpoints whose states have changed since they were last recorded. The end of an endpoint that was never
// recorded as running is not recorded either.
func (r *eventRecorder) recordEndpoints(endpoints []discovery.Endpoint) {
	if r == nil {
		return
	}
	for _, e := range endpoints {
		if r.endpointChanged(&e) {
			r.add(events.Event{
				Kind:     endpointEventKinds[e.State],
				Service:  e.Service,
				Endpoint: e.ID,
				Zone:     e.Zone,
				Node:     e.SidecarAddress,
			})
		}
	}
}

// endpointChanged stores an endpoint's state, and reports whether the change is to be recorded.
func (r *eventRecorder) endpointChanged(e *discovery.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.endpointStates[e.ID]
	if e.State == discovery.Deregistered {
		delete(r.endpointStates, e.ID)
	} else {
		r.endpointStates[e.ID] = e.State
	}
	if known {
		return last != e.State
	}
	return e.State < discovery.Crashed
}

// recordMembers records which members have arrived and which have departed since the last call.
func (r *eventRecorder) recordMembers(members []membership.Member) {
	if r == nil {
		return
	}
	current := map[uint64]membership.Member{}
	for _, m := range members {
		current[m.Incarnation] = m
	}
	r.mu.Lock()
	last := r.members
	r.members = current
	r.mu.Unlock()
	r.recordMissing(events.MemberReachable, current, last)
	r.recordMissing(events.MemberUnreachable, last, current)
}

// recordMissing records an event of a kind for each member that is in one set and not in the other.
func (r *eventRecorder) recordMissing(kind string, in, notIn map[uint64]membership.Member) {
	for incarnation, m := range in {
		if _, ok := notIn[incarnation]; !ok {
			r.add(events.Event{Kind: kind, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
}

// recordQuotaExhausted records that a tenant's quota is exhausted, at most once in a quotaExhaustedInterval.
func (r *eventRecorder) recordQuotaExhausted(now time.Duration, tenant string) {
	if r != nil && r.quotaEventDue(now, tenant) {
		r.add(events.Event{Kind: events.QuotaExhausted, Tenant: tenant})
	}
}

// quotaEventDue reports whether an exhausted quota is to be recorded; if so, the tenant's interval starts anew.
func (r *eventRecorder) quotaEventDue(now time.Duration, tenant string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.quotaExhausted[tenant]
	if ok && now-last < quotaExhaustedInterval {
		return false
	}
	r.quotaExhausted[tenant] = now
	return true
}

// recordConfiguration records that this process has applied a version.
func (r *eventRecorder) recordConfiguration(version configuration.Version) {
	if r != nil {
		r.add(events.Event{Kind: events.ConfigurationApplied, Version: version.String()})
	}
}

// recordRoleAcquired records that this process, node, has acquired a singleton role. detail names the role and its fencing token.
func (r *eventRecorder) recordRoleAcquired(node, detail string) {
	if r != nil {
		r.add(events.Event{Kind: events.RoleAcquired, Node: node, Detail: detail})
	}
}

// recordRoleLost records that this process, node, has lost a singleton role. detail names the role.
func (r *eventRecorder) recordRoleLost(node, detail string) {
	if r != nil {
		r.add(events.Event{Kind: events.RoleLost, Node: node, Detail: detail})
	}
}
