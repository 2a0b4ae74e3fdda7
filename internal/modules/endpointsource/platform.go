package endpointsource

import (
	"fmt"
	"time"

	"quincegap/internal/balancer"
)

// This file handles lists of the platform.

// HandlePlatformList handles a list of the platform that VersionFilter has accepted. It returns the list for the balancer, and false if
// nothing has to be published. In the modes that pass lists through, the result is the list without its unusable entries.
func (m *Merger) HandlePlatformList(now time.Duration, list List) (List, bool) {
	if list.Kind == balancer.ListCached && m.consulAnswered {
		return List{}, false // Consul's list is more recent
	}
	list.Endpoints = m.filterUsable("discovery", list.Endpoints)
	m.applyPlatformList(list)
	if m.PassesThrough() {
		m.recordPassedThrough(now)
		m.version = max(m.version, list.Version)
		return list, true
	}
	if m.settings.Mode == ModeConsul && list.Kind != balancer.ListCached {
		return List{}, false
	}
	return m.publish(now, list.Kind)
}

// applyPlatformList applies the entries of a platform list.
func (m *Merger) applyPlatformList(list List) {
	listed := map[string]bool{}
	for _, e := range list.Endpoints {
		listed[e.UID] = true
		entry := m.markDirty(e.UID)
		if e.State == balancer.EndpointRemoved {
			entry.platform = nil
		} else {
			entry.platform = &e
		}
	}
	if list.Kind == balancer.ListDelta {
		return
	}
	for uid, entry := range m.entries {
		if !listed[uid] {
			entry.platform = nil
			m.dirty[uid] = entry
		}
	}
}

// recordPassedThrough updates the published entries in a mode that passes the platform's lists through.
func (m *Merger) recordPassedThrough(now time.Duration) {
	m.logDifferences()
	for uid, entry := range m.dirty {
		switch {
		case entry.platform == nil && entry.published != nil:
			entry.published = nil
			entry.changedAt = now
			entry.reason = "the platform lists it no more"
		case entry.platform != nil && (entry.published == nil || !samePublished(entry.published, entry.platform)):
			published := *entry.platform
			entry.published = &published
			entry.changedAt = now
			entry.reason = "the platform says so"
		}
		m.deleteIfUnused(uid, entry)
	}
	clear(m.dirty)
	m.published = true
}

// publishPlatformEntries returns all entries of the platform as one full list, for a change to a mode that passes lists through. The
// result is false if there are none.
func (m *Merger) publishPlatformEntries(now time.Duration) (List, bool) {
	list := List{Kind: balancer.ListFull, Version: m.version + 1}
	for _, uid := range sortedUIDs(m.entries) {
		entry := m.entries[uid]
		if entry.platform != nil {
			list.Endpoints = append(list.Endpoints, *entry.platform)
		}
		m.dirty[uid] = entry
	}
	if len(list.Endpoints) == 0 {
		return List{}, false // the platform has no known entries: the current list stays in use until the next one
	}
	m.recordPassedThrough(now)
	m.version = list.Version
	return list, true
}

// logDifferences logs, in ModeRehearsal, the differences between the entries of Consul and of the platform.
func (m *Merger) logDifferences() {
	if m.settings.Mode != ModeRehearsal || !m.consulAnswered {
		return
	}
	entries := m.dirty
	if m.allDirty {
		entries, m.allDirty = m.entries, false
	}
	for _, uid := range sortedUIDs(entries) {
		difference := entries[uid].difference()
		if difference == m.differences[uid] {
			continue
		}
		if difference == "" {
			delete(m.differences, uid)
			m.logf("rehearsal: %s: both agree again", uid)
			continue
		}
		m.differences[uid] = difference
		m.logf("rehearsal: %s: %s", uid, difference)
	}
}

// difference describes the difference between the entries of Consul and of the platform; it is empty if there is none.
func (e *endpointEntry) difference() string {
	switch {
	case e.platform != nil && e.consul == nil:
		return "only the platform lists it"
	case e.platform == nil && e.consul != nil:
		return "only consul lists it"
	case e.platform == nil:
		return ""
	case e.platform.State != e.consul.State:
		return fmt.Sprintf("the platform has it %s, consul %s %s", StateName(e.platform.State), StateName(e.consul.State), e.consul.Reason)
	case e.platform.Address != e.consul.Address:
		return fmt.Sprintf("the platform has it at %s, consul at %s", e.platform.Address, e.consul.Address)
	}
	return ""
}
