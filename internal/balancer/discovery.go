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
func (b *Balancer) HandleEndpoints(now time.Duration, l EndpointList) {
	if l.Kind == ListFailed {
		b.scheduleWatch()
		return
	}
	if l.Kind != ListDelta {
		for _, e := range b.listed {
			e.listed = false
		}
	}
	if !b.quotas.started {
		b.quotas.start(now, b.settings.Tenants, b.quotaDivisor)
	}
	for _, entry := range l.Entries {
		b.applyEntry(now, l.Version, entry)
	}
	b.syncList(now, l)
	b.exhausted.reset()
	switch {
	case l.Kind == ListCached && b.settings.MustSubscribe:
		b.scheduleWatch()
	case l.Kind != ListCached:
		b.watchBackoff = 0
	}
	b.dispatch(now)
	b.armTick()
}

// applyEntry takes one line of a list.
func (b *Balancer) applyEntry(now time.Duration, version uint64, entry ListEntry) {
	e := b.endpointsByID[entry.Endpoint]
	if e == nil {
		e = &endpoint{id: entry.Endpoint, availability: draining}
		b.endpointsByID[entry.Endpoint] = e
		b.added = append(b.added, e)
	}
	moved := !e.matches(entry)
	restarted := entry.StartedAt > e.startedAt
	e.zone, e.cell, e.kind = entry.Zone, entry.Cell, max(entry.MachineKind, 0)
	e.listedWeight, e.listed = max(entry.Weight, 0), entry.State != EndpointRemoved
	e.listVersion = version
	e.startedAt = max(e.startedAt, entry.StartedAt)
	b.index.countWeight(e)
	switch {
	case entry.State != EndpointReady:
		b.startDraining(now, e)
	case restarted && now-entry.StartedAt < b.settings.SlowStartWindow:
		e.errorRate, e.penalties = 0, nil
		b.startSlowStart(now, e, entry.StartedAt)
	case restarted, e.availability == draining:
		b.clearEjection(e)
		e.availability = available
		b.reindex(now, e)
	case moved:
		b.reindex(now, e)
	}
}

// syncList brings the list in line with the endpoints that an update named, and forgets those that are gone; those with attempts
// in flight are held on to by these.
func (b *Balancer) syncList(now time.Duration, l EndpointList) {
	if l.Kind == ListDelta && len(l.Entries) <= maxScanned {
		b.syncNamed(now, l.Entries)
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
		e := b.endpointsByID[entry.Endpoint]
		switch {
		case e == nil: // named twice, and gone
		case e.listed:
			b.listed = insertSorted(b.listed, e)
		default:
			b.listed = removeSorted(b.listed, e)
			b.forget(now, e)
		}
	}
}

// syncAll syncs the list with all endpoints.
func (b *Balancer) syncAll(now time.Duration) {
	b.listed = append(b.listed, b.added...)
	b.listed = slices.DeleteFunc(b.listed, func(e *endpoint) bool {
		if !e.listed {
			b.forget(now, e)
		}
		return !e.listed
	})
	if len(b.added) > 0 {
		slices.SortFunc(b.listed, compareIDs)
	}
}

// forget drops an endpoint that is listed no more.
func (b *Balancer) forget(now time.Duration, e *endpoint) {
	b.index.countWeight(e)
	b.startDraining(now, e)
	delete(b.endpointsByID, e.id)
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
