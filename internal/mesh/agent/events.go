package agent

import (
	"maps"
	"sync"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/events"
)

const (
	maxEvents              = 4096             // capacity of the feed, in events; the oldest are discarded
	quotaExhaustedInterval = 10 * time.Second // minimum interval between two events for the same tenant's exhausted quota
	maxCrashedEndpoints    = 4096             // number of crashed endpoints whose states are retained; the oldest are forgotten
)

// eventRecorder records changes observed by a core process as events, for tools. It implements eventfeed.Source. Sidecars have a nil
// recorder, whose record methods have no effect.
type eventRecorder struct {
	mu             sync.Mutex
	feed           *events.Feed
	added          chan struct{}                // closed and replaced whenever an event is added
	endpointStates map[string]discovery.State   // last observed states, by endpoint ID; of the crashed ones at most maxCrashedEndpoints
	crashed        []string                     // IDs of endpoints in the order of their crashes; some may have been restored since
	members        map[uint64]membership.Member // last recorded members, by incarnation
	quotaExhausted map[string]time.Duration     // time of the last event of an exhausted quota, by tenant name; see forgetQuotas
	nextForget     time.Duration                // time of the next call of forgetQuotas
}

// newEventRecorder returns a recorder whose cursors contain the incarnation of this process.
func newEventRecorder(incarnation uint64) *eventRecorder {
	return &eventRecorder{
		feed:           events.NewFeed(incarnation, maxEvents),
		added:          make(chan struct{}),
		endpointStates: map[string]discovery.State{},
		members:        map[uint64]membership.Member{},
		quotaExhausted: map[string]time.Duration{},
	}
}

// After implements eventfeed.Source. The channel is closed when the next event is added; the error is always nil.
func (r *eventRecorder) After(c events.Cursor, limit int, f events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, next := r.feed.After(c, limit, f)
	return found, next, r.added, nil
}

// add adds an event to the feed with the current wall-clock time, and wakes readers that wait for the next event.
func (r *eventRecorder) add(e events.Event) {
	e.Time = time.Now().UTC().Format(time.RFC3339Nano)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feed.Add(e)
	close(r.added)
	r.added = make(chan struct{})
}

// endpointEventKinds maps each endpoint state to the kind of event that records a change to that state.
var endpointEventKinds = map[discovery.State]string{
	discovery.Serving:      events.EndpointServing,
	discovery.Draining:     events.EndpointDraining,
	discovery.Crashed:      events.EndpointCrashed,
	discovery.Deregistered: events.EndpointGone,
}

// recordEndpoints records an event for each endpoint whose state has changed since the last call. An endpoint that is first observed as
// crashed or deregistered is not recorded.
func (r *eventRecorder) recordEndpoints(endpoints []discovery.Endpoint) {
	if r == nil {
		return
	}
	for _, e := range endpoints {
		if r.updateEndpointState(&e) {
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

// updateEndpointState stores an endpoint's state, and reports whether an event is to be recorded for it.
func (r *eventRecorder) updateEndpointState(e *discovery.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.endpointStates[e.ID]
	if e.State == discovery.Deregistered {
		delete(r.endpointStates, e.ID)
	} else {
		r.endpointStates[e.ID] = e.State
	}
	if e.State == discovery.Crashed && last != discovery.Crashed {
		r.boundCrashed(e.ID)
	}
	if known {
		return last != e.State
	}
	return e.State < discovery.Crashed
}

// boundCrashed appends the ID of an endpoint that has crashed, and forgets the oldest ones above maxCrashedEndpoints. If a forgotten
// endpoint is deregistered later, no event is recorded for that.
func (r *eventRecorder) boundCrashed(id string) {
	r.crashed = append(r.crashed, id)
	if len(r.crashed) <= maxCrashedEndpoints {
		return
	}
	oldest := r.crashed[0]
	r.crashed = r.crashed[1:]
	if r.endpointStates[oldest] == discovery.Crashed {
		delete(r.endpointStates, oldest)
	}
}

// recordMembers records an event for each member that has joined or departed since the last call.
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

// recordMissing records an event of the given kind for each member that is in the set in but not in the set notIn. Both sets are keyed by
// incarnation.
func (r *eventRecorder) recordMissing(kind string, in, notIn map[uint64]membership.Member) {
	for incarnation, m := range in {
		if _, ok := notIn[incarnation]; !ok {
			r.add(events.Event{Kind: kind, Node: m.Address, Zone: m.Zone, Service: m.Service})
		}
	}
}

// recordQuotaExhausted records that a tenant's quota is exhausted, at most once per quotaExhaustedInterval.
func (r *eventRecorder) recordQuotaExhausted(now time.Duration, tenant string) {
	if r != nil && r.beginQuotaInterval(now, tenant) {
		r.add(events.Event{Kind: events.QuotaExhausted, Tenant: tenant})
	}
}

// beginQuotaInterval starts a new quotaExhaustedInterval for a tenant, and reports true, if the previous one has ended or there was
// none.
func (r *eventRecorder) beginQuotaInterval(now time.Duration, tenant string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.quotaExhausted[tenant]
	if ok && now-last < quotaExhaustedInterval {
		return false
	}
	if now >= r.nextForget {
		r.forgetQuotas(now)
	}
	r.quotaExhausted[tenant] = now
	return true
}

// forgetQuotas forgets the tenants whose quotaExhaustedInterval has ended. So only the tenants of the last two intervals are retained.
func (r *eventRecorder) forgetQuotas(now time.Duration) {
	r.nextForget = now + quotaExhaustedInterval
	maps.DeleteFunc(r.quotaExhausted, func(_ string, last time.Duration) bool { return now-last >= quotaExhaustedInterval })
}

// recordConfiguration records that this process has applied a version of the configuration.
func (r *eventRecorder) recordConfiguration(version configuration.Version) {
	if r != nil {
		r.add(events.Event{Kind: events.ConfigurationApplied, Version: version.String()})
	}
}

// recordRoleAcquired records that this process has acquired a singleton role. node is the internal address of this process; detail names
// the role and its fencing token.
func (r *eventRecorder) recordRoleAcquired(node, detail string) {
	if r != nil {
		r.add(events.Event{Kind: events.RoleAcquired, Node: node, Detail: detail})
	}
}

// recordRoleLost records that this process has lost or released a singleton role. node is the internal address of this process; detail
// names the role.
func (r *eventRecorder) recordRoleLost(node, detail string) {
	if r != nil {
		r.add(events.Event{Kind: events.RoleLost, Node: node, Detail: detail})
	}
}
