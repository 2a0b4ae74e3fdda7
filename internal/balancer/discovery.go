package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file follows the endpoint list, and decides when lists are asked for.

const (
	fetchIntervalShare   = 0.5  // of ResubscribeInterval (or SlowStartWindow): the pace of fetches after broken connections
	maxConcurrentFetches = 16.0 // of these, by all instances in that time
	watchSpreadShare     = 0.05 // of ResubscribeInterval: spread of the first subscription; it doubles with each failure
)

// HandleEndpoints takes an update of the endpoint list.
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

// applyEntry takes one line of a list.
func (b *Balancer) applyEntry(now time.Duration, version uint64, entry ListEntry) {
	ep := b.endpointsByID[entry.Endpoint]
	if ep == nil {
		ep = &endpoint{id: entry.Endpoint, availability: draining}
		b.endpointsByID[entry.Endpoint] = ep
		b.added = append(b.added, ep)
	}
	moved := !ep.matches(entry)
	restarted := entry.StartedAt > ep.startedAt
	ep.zone, ep.cell, ep.kind = entry.Zone, entry.Cell, max(entry.MachineKind, 0)
	ep.listedWeight, ep.listed = max(entry.Weight, 0), entry.State != EndpointRemoved
	ep.listVersion = version
	ep.startedAt = max(ep.startedAt, entry.StartedAt)
	b.index.countWeight(ep)
	switch {
	case entry.State != EndpointReady:
		b.startDraining(now, ep)
	case restarted && now-entry.StartedAt < b.settings.SlowStartWindow:
		ep.errorRate, ep.penalties = 0, nil
		b.startSlowStart(now, ep, entry.StartedAt)
	case restarted, ep.availability == draining:
		b.clearEjection(ep)
		ep.availability = available
		b.reindex(now, ep)
	case moved:
		b.reindex(now, ep)
	}
}

// syncList brings the list in line with the endpoints that an update named, and forgets those that are gone; those with attempts
// in flight are held on to by these.
func (b *Balancer) syncList(now time.Duration, list EndpointList) {
	if list.Kind == ListDelta && len(list.Entries) <= maxScanned {
		b.syncNamed(now, list.Entries)
	} else {
		b.syncAll(now)
	}
	clear(b.added) // let go of them
	b.added = b.added[:0]
	if differ := b.index.weightsDiffer(); differ != b.weights.useListed {
		b.weights.useListed = differ
		b.updateWeights(now)
	}
}

// syncNamed syncs the list with a few endpoints, in the order of their ids.
func (b *Balancer) syncNamed(now time.Duration, entries []ListEntry) {
	for _, entry := range entries {
		ep := b.endpointsByID[entry.Endpoint]
		switch {
		case ep == nil: // named twice, and gone
		case ep.listed:
			b.listed = insertSorted(b.listed, ep)
		default:
			b.listed = removeSorted(b.listed, ep)
			b.forget(now, ep)
		}
	}
}

// syncAll syncs the list with all endpoints.
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

// forget drops an endpoint that is listed no more.
func (b *Balancer) forget(now time.Duration, ep *endpoint) {
	b.index.countWeight(ep)
	b.startDraining(now, ep)
	delete(b.endpointsByID, ep.id)
}

// scheduleWatch subscribes after a backoff that doubles with each failure, spread so that not all ask at once.
func (b *Balancer) scheduleWatch() {
	if !b.settings.MustSubscribe {
		return
	}
	first := max(seconds(watchSpreadShare*b.settings.ResubscribeInterval.Seconds()), b.tickInterval)
	b.watchBackoff = min(max(2*b.watchBackoff, first), max(b.settings.ResubscribeInterval, first))
	b.host.SetTimer(timerWatch, seconds(b.watchBackoff.Seconds()*b.rng.Float64()))
}

// fetchPaced asks for a fresh list after a broken connection, at a pace. What breaks breaks for many instances at once, and
// discovery is one service for all: of more than maxConcurrentFetches so many ask on average, by lot. The others hear of it as of
// any change.
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
