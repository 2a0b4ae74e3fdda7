package endpointsource

import (
	"cmp"
	"time"

	"quincegap/internal/balancer"
)

// This file computes the lists for the balancer.

// publish evaluates the dirty entries, or all if necessary, and returns the list for the balancer. The result is false if nothing has to
// be published.
func (m *Merger) publish(now time.Duration, kind balancer.ListKind) (List, bool) {
	m.fromCache = kind == balancer.ListCached || m.fromCache && !m.consulAnswered && m.settings.Mode == ModeConsul
	if !m.published && kind == balancer.ListDelta {
		kind = balancer.ListFull
	}
	full := kind != balancer.ListDelta
	entries := m.dirty
	if full || m.allDirty {
		entries = m.entries
	}
	for _, entry := range entries {
		m.updateReadyCount(entry)
	}
	if m.noneReady || m.readyCount == 0 {
		entries = m.entries
	}
	m.noneReady = m.readyCount == 0
	ignoresChecks := m.checksIgnored()
	list := List{Kind: kind, Version: m.version + 1}
	for _, uid := range sortedUIDs(entries) {
		entry := m.entries[uid]
		if entry == nil {
			continue
		}
		before := entry.published
		changed := m.updatePublished(now, entry, ignoresChecks)
		switch {
		case entry.published != nil && (full || changed):
			list.Endpoints = append(list.Endpoints, *entry.published)
		case entry.published == nil && changed && !full:
			removed := *before
			removed.State = balancer.EndpointRemoved
			list.Endpoints = append(list.Endpoints, removed)
		}
		m.deleteIfUnused(uid, entry)
	}
	clear(m.dirty)
	m.allDirty = false
	if !full && len(list.Endpoints) == 0 {
		return List{}, false
	}
	m.published = true
	m.version++
	return list, true
}

// checksIgnored returns a function that reports whether an entry is to be listed as ready in spite of its checks. While no endpoint is
// ready, this applies to entries that only a check keeps from being ready: otherwise checks alone could end all service. If any of them
// are merely held down, it applies only to these, and not to endpoints with a critical check.
func (m *Merger) checksIgnored() func(*endpointEntry) bool {
	if !m.noneReady {
		return func(*endpointEntry) bool { return false }
	}
	for _, entry := range m.heldDown {
		if m.readyWithoutChecks(entry) {
			return func(entry *endpointEntry) bool { return entry.holdDownUntil > 0 && m.readyWithoutChecks(entry) }
		}
	}
	return m.readyWithoutChecks
}

// updatePublished evaluates an entry, stores the result in its field published, and reports whether it has changed for the balancer.
// ignoresChecks reports whether an entry is listed as ready in spite of its checks.
func (m *Merger) updatePublished(now time.Duration, entry *endpointEntry, ignoresChecks func(*endpointEntry) bool) (changed bool) {
	result, reason := m.evaluate(entry)
	if result != nil && ignoresChecks(entry) {
		result.State, result.Weight = balancer.EndpointReady, cmp.Or(max(0, result.Weight), 1)
		reason = "no endpoint is ready, so checks alone are not believed (" + reason + ")"
	}
	changed = (result == nil) != (entry.published == nil) ||
		result != nil && entry.published != nil && !samePublished(result, entry.published)
	if changed {
		entry.changedAt = now
	}
	entry.published, entry.reason = result, reason
	return changed
}

// updateReadyCount evaluates an entry regardless of the other endpoints, and updates its field ready and readyCount.
func (m *Merger) updateReadyCount(entry *endpointEntry) {
	result, _ := m.evaluate(entry)
	ready := result != nil && result.State == balancer.EndpointReady
	if ready == entry.ready {
		return
	}
	entry.ready = ready
	if ready {
		m.readyCount++
	} else {
		m.readyCount--
	}
}
