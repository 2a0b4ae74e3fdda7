package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file applies updates of the endpoint list, and decides when lists are fetched.

const (
	fetchIntervalShare   = 0.5  // of ResubscribeInterval (or SlowStartWindow): mean time between fetches after broken connections
	maxConcurrentFetches = 16.0 // fetches by all instances in that time, on average
	watchSpreadShare     = 0.05 // of ResubscribeInterval: bound of the random delay of the first subscription; it doubles with each failure
)

// HandleEndpoints handles an update of the endpoint list.
func (b *Balancer) HandleEndpoints(now time.Duration, list EndpointList) {
	if list.Kind == ListFailed {
		b.scheduleWatch()
		return
	}
	if list.Kind != ListDelta {
		for _, ep := range b.listed {
			ep.listed = false
		}
	}
	if !b.quotas.started {
		b.quotas.start(now, b.settings.Tenants, b.quotaDivisor)
	}
	for _, entry := range list.Entries {
		b.applyEntry(now, list.Version, entry)
	}
	b.syncList(now, list)
	b.exhausted.reset()
	switch {
	case list.Kind == ListCached && b.settings.MustSubscribe:
		b.scheduleWatch()
	case list.Kind != ListCached:
		b.watchBackoff = 0
	}
	b.dispatch(now)
	b.armTick()
}

// applyEntry applies one entry of a list.
func (b *Balancer) applyEntry(now time.Duration, version uint64, entry ListEntry) {
	ep := b.endpointsByID[entry.Endpoint]
	if ep == nil {
		ep = &endpoint{id: entry.Endpoint, availability: draining}
		b.endpointsByID[entry.Endpoint] = ep
		b.added = append(b.added, ep)
	}
	moved := !ep.matches(entry)
	restarted := entry.StartedAt > ep.startedAt
	ep.zone = entry.Zone
	ep.cell = entry.Cell
	ep.kind = max(entry.MachineKind, 0)
	ep.listedWeight = max(entry.Weight, 0)
	ep.listed = entry.State != EndpointRemoved
	ep.listVersion = version
	ep.startedAt = max(ep.startedAt, entry.StartedAt)
	b.index.countWeight(ep)
	switch {
	case entry.State != EndpointReady:
		b.startDraining(now, ep)
	case restarted && now-entry.StartedAt < b.settings.SlowStartWindow:
		ep.errorRate = 0
		ep.penalties = nil
		b.startSlowStart(now, ep, entry.StartedAt)
	case restarted, ep.availability == draining:
		b.clearEjection(ep)
		ep.availability = available
		b.reindex(now, ep)
	case moved:
		b.reindex(now, ep)
	}
}

// syncList updates the list of endpoints after the entries of an update have been applied, and forgets endpoints that were
// removed. Requests with attempts in flight keep a reference to their endpoint.
func (b *Balancer) syncList(now time.Duration, list EndpointList) {
	if list.Kind == ListDelta && len(list.Entries) <= maxScanned {
		b.syncNamed(now, list.Entries)
	} else {
		b.syncAll(now)
	}
	clear(b.added) // so that the buffer keeps no endpoint reachable
	b.added = b.added[:0]
	if differ := b.index.weightsDiffer(); differ != b.weights.useListed {
		b.weights.useListed = differ
		b.updateWeights(now)
	}
}

// syncNamed updates the list by the few endpoints that an update names. The list stays in order of the ids.
func (b *Balancer) syncNamed(now time.Duration, entries []ListEntry) {
	for _, entry := range entries {
		ep := b.endpointsByID[entry.Endpoint]
		switch {
		case ep == nil: // named twice, and already forgotten
		case ep.listed:
			b.listed = insertSorted(b.listed, ep)
		default:
			b.listed = removeSorted(b.listed, ep)
			b.forget(now, ep)
		}
	}
}

// syncAll updates the list by all known endpoints.
func (b *Balancer) syncAll(now time.Duration) {
	b.listed = append(b.listed, b.added...)
	b.listed = slices.DeleteFunc(b.listed, func(ep *endpoint) bool {
		if !ep.listed {
			b.forget(now, ep)
		}
		return !ep.listed
	})
	if len(b.added) > 0 {
		slices.SortFunc(b.listed, compareIDs)
	}
}

// forget removes an endpoint that is no longer listed.
func (b *Balancer) forget(now time.Duration, ep *endpoint) {
	b.index.countWeight(ep)
	b.startDraining(now, ep)
	delete(b.endpointsByID, ep.id)
}

// scheduleWatch subscribes to the list after a random delay, so that instances do not subscribe at the same time. The bound of
// the delay doubles with each failure.
func (b *Balancer) scheduleWatch() {
	if !b.settings.MustSubscribe {
		return
	}
	first := max(seconds(watchSpreadShare*b.settings.ResubscribeInterval.Seconds()), b.tickInterval)
	b.watchBackoff = min(max(2*b.watchBackoff, first), max(b.settings.ResubscribeInterval, first))
	b.host.SetTimer(timerWatch, seconds(b.watchBackoff.Seconds()*b.rng.Float64()))
}

// fetchPaced fetches the list after a broken connection, at a limited rate. A failure may concern many instances at once, and
// they share one discovery service: of more than maxConcurrentFetches instances, that many fetch on average, chosen at random.
// The others get the change with the next update of the list.
func (b *Balancer) fetchPaced(now time.Duration) {
	if now < b.nextFetchAt {
		return
	}
	interval := cmp.Or(b.settings.ResubscribeInterval, max(b.settings.SlowStartWindow, b.rateWindow))
	b.nextFetchAt = now + b.jitter(seconds(fetchIntervalShare*interval.Seconds()))
	if n := b.quotaDivisor; n <= maxConcurrentFetches || b.rng.Float64()*n < maxConcurrentFetches {
		b.host.FetchEndpoints()
	}
}
