package endpointsource

import (
	"cmp"
	"time"

	"quincegap/internal/balancer"
)

// This file brings what the balancer was given up to what holds now.

// publish returns what the balancer is to be given, false for nothing. It looks at what has changed alone, unless something has
// changed that concerns all.
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
	spared := m.sparedWhileNoneReady()
	list := List{Kind: kind, Version: m.version + 1}
	for _, uid := range sortedUIDs(entries) {
		entry := m.entries[uid]
		if entry == nil {
			continue
		}
		before := entry.published
		changed := m.updateVerdict(now, entry, spared)
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

// sparedWhileNoneReady decides which endpoints go on though a check stands against them. Checks alone would end all service where
// nobody is ready: go on then, and let the attempts find out. Those that are merely held down go before those that are critical.
func (m *Merger) sparedWhileNoneReady() func(*sourceEntry) bool {
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

// updateVerdict evaluates an entry anew, and reports whether the balancer has to learn of that.
func (m *Merger) updateVerdict(now time.Duration, entry *sourceEntry, spared func(*sourceEntry) bool) (changed bool) {
	verdict, reason := m.evaluate(entry)
	if verdict != nil && spared(entry) {
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

// countReady keeps the number of those that are ready up to date.
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
