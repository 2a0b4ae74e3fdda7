package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file applies updates of the endpoint list, and decides when lists are fetched.

const (
	fetchIntervalShare   = 0.5  // mean time between fetches after broken connections, as a share of the interval in fetchRateLimited
	maxConcurrentFetches = 16.0 // highest mean number of fetches by all instances together in the time between two fetches of one
	watchSpreadShare     = 0.05 // bound of the random delay of the first subscription, as a share of ResubscribeInterval
)

// HandleEndpoints handles an update of the endpoint list. After a failed fetch (ListFailed), the previous list stays in use.
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

// applyEntry applies one entry of an update to the state of its endpoint.
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

// syncList updates the sorted list of endpoints after the entries of an update have been applied, and deletes the state of
// endpoints that were removed. Requests with attempts in flight keep a reference to their endpoint.
func (b *Balancer) syncList(now time.Duration, list EndpointList) {
	if list.Kind == ListDelta && len(list.Entries) <= maxScanned {
		b.syncNamed(now, list.Entries)
	} else {
		b.syncAll(now)
	}
	clear(b.added) // the buffer must not prevent the garbage collection of endpoints
	b.added = b.added[:0]
	if differ := b.index.weightsDiffer(); differ != b.weights.useListed {
		b.weights.useListed = differ
		b.updateWeights(now)
	}
}

// syncNamed updates the list for the endpoints that an update names, which should be few. The list stays in order of the ids.
func (b *Balancer) syncNamed(now time.Duration, entries []ListEntry) {
	for _, entry := range entries {
		ep := b.endpointsByID[entry.Endpoint]
		switch {
		case ep == nil: // the update names the endpoint twice, and it has been removed already
		case ep.listed:
			b.listed = insertSorted(b.listed, ep)
		default:
			b.listed = removeSorted(b.listed, ep)
			b.removeEndpoint(now, ep)
		}
	}
}

// syncAll updates the list for all known endpoints.
func (b *Balancer) syncAll(now time.Duration) {
	b.listed = append(b.listed, b.added...)
	b.listed = slices.DeleteFunc(b.listed, func(ep *endpoint) bool {
		if !ep.listed {
			b.removeEndpoint(now, ep)
		}
		return !ep.listed
	})
	if len(b.added) > 0 {
		slices.SortFunc(b.listed, compareIDs)
	}
}

// removeEndpoint deletes the state of an endpoint that is no longer listed.
func (b *Balancer) removeEndpoint(now time.Duration, ep *endpoint) {
	b.index.countWeight(ep)
	b.startDraining(now, ep)
	delete(b.endpointsByID, ep.id)
}

// scheduleWatch schedules a subscription to the list after a random delay, so that instances do not subscribe at the same time.
// The bound of the delay doubles with each failure.
func (b *Balancer) scheduleWatch() {
	if !b.settings.MustSubscribe {
		return
	}
	first := max(seconds(watchSpreadShare*b.settings.ResubscribeInterval.Seconds()), b.tickInterval)
	b.watchBackoff = min(max(2*b.watchBackoff, first), max(b.settings.ResubscribeInterval, first))
	b.host.SetTimer(timerWatch, seconds(b.watchBackoff.Seconds()*b.rng.Float64()))
}

// fetchRateLimited fetches the list after a broken connection, at a limited rate. A failure may affect many instances at once,
// which share one discovery service. Of more than maxConcurrentFetches instances, that many fetch the list on average, chosen at
// random, and the others get the change with the next update of the list. The rate is based on ResubscribeInterval or,
// without one, on the longer of SlowStartWindow and the rate window.
func (b *Balancer) fetchRateLimited(now time.Duration) {
	if now < b.nextFetchAt {
		return
	}
	interval := cmp.Or(b.settings.ResubscribeInterval, max(b.settings.SlowStartWindow, b.rateWindow))
	b.nextFetchAt = now + b.jitter(seconds(fetchIntervalShare*interval.Seconds()))
	if n := b.quotaDivisor; n <= maxConcurrentFetches || b.rng.Float64()*n < maxConcurrentFetches {
		b.host.FetchEndpoints()
	}
}
