package endpointsource

import (
	"cmp"
	"time"

	"quincegap/internal/balancer"
)

// This file computes the lists for the balancer.

// publish evaluates the dirty entries, or all if necessary, and returns the list for the balancer, false for none.
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
		m.countReady(entry)
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
		changed := m.updateVerdict(now, entry, ignoresChecks)
		switch {
		case entry.published != nil && (full || changed):
			list.Endpoints = append(list.Endpoints, *entry.published)
		case entry.published == nil && changed && !full:
			removed := *before
			removed.State = balancer.EndpointRemoved
			list.Endpoints = append(list.Endpoints, removed)
		}
		m.forget(uid, entry)
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

// checksIgnored returns whether an entry is to be listed as ready in spite of its checks. That is so for entries against which there
// is only a check, while no endpoint is ready: otherwise checks alone could end all service. Endpoints that are merely held down are
// preferred to those whose check is critical.
func (m *Merger) checksIgnored() func(*sourceEntry) bool {
	if !m.noneReady {
		return func(*sourceEntry) bool { return false }
	}
	for _, entry := range m.heldDown {
		if m.onlyCritical(entry) {
			return func(entry *sourceEntry) bool { return entry.holdDownUntil > 0 && m.onlyCritical(entry) }
		}
	}
	return m.onlyCritical
}

// updateVerdict evaluates an entry, and reports whether the verdict is another one for the balancer. ignoresChecks reports whether an
// entry is listed as ready in spite of its checks.
func (m *Merger) updateVerdict(now time.Duration, entry *sourceEntry, ignoresChecks func(*sourceEntry) bool) (changed bool) {
	verdict, reason := m.evaluate(entry)
	if verdict != nil && ignoresChecks(entry) {
		verdict.State, verdict.Weight = balancer.EndpointReady, cmp.Or(max(0, verdict.Weight), 1)
		reason = "no endpoint is ready, so checks alone are not believed (" + reason + ")"
	}
	changed = (verdict == nil) != (entry.published == nil) ||
		verdict != nil && entry.published != nil && !sameVerdict(verdict, entry.published)
	if changed {
		entry.since = now
	}
	entry.published, entry.reason = verdict, reason
	return changed
}

// countReady evaluates an entry by itself and updates readyCount.
func (m *Merger) countReady(entry *sourceEntry) {
	verdict, _ := m.evaluate(entry)
	ready := verdict != nil && verdict.State == balancer.EndpointReady
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
