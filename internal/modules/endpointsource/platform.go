package endpointsource

import (
	"fmt"
	"time"

	"quincegap/internal/balancer"
)

// This file handles lists of the platform.

// HandlePlatformList handles a list of the platform that VersionFilter has accepted. It returns the list for the balancer, false for
// none. In the modes that pass lists through, it is the same list.
func (m *Merger) HandlePlatformList(now time.Duration, list List) (List, bool) {
	if list.Kind == balancer.ListCached && m.consulAnswered {
		return List{}, false // Consul's list is more recent
	}
	list.Endpoints = m.filterUsable("discovery", list.Endpoints)
	m.applyPlatformList(list)
	if m.PassesThrough() {
		m.publishPlatform(now)
		m.version = max(m.version, list.Version)
		return list, true
	}
	if m.settings.Mode == ModeConsul && list.Kind != balancer.ListCached {
		return List{}, false
	}
	return m.publish(now, list.Kind)
}

// applyPlatformList applies the entries of a list.
func (m *Merger) applyPlatformList(list List) {
	listed := map[string]bool{}
	for _, e := range list.Endpoints {
		listed[e.UID] = true
		entry := m.touch(e.UID)
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

// publishPlatform updates what is published after a list of the platform is passed through.
func (m *Merger) publishPlatform(now time.Duration) {
	m.logDifferences()
	for uid, entry := range m.dirty {
		switch {
		case entry.platform == nil && entry.published != nil:
			entry.published = nil
			entry.since = now
			entry.reason = "the platform lists it no more"
		case entry.platform != nil && (entry.published == nil || !sameVerdict(entry.published, entry.platform)):
			published := *entry.platform
			entry.published = &published
			entry.since = now
			entry.reason = "the platform says so"
		}
		m.forget(uid, entry)
	}
	clear(m.dirty)
	m.published = true
}

// publishKnownPlatform returns the platform's entries as one list, for a change to a mode that passes lists through.
func (m *Merger) publishKnownPlatform(now time.Duration) (List, bool) {
	list := List{Kind: balancer.ListFull, Version: m.version + 1}
	for _, uid := range sortedUIDs(m.entries) {
		entry := m.entries[uid]
		if entry.platform != nil {
			list.Endpoints = append(list.Endpoints, *entry.platform)
		}
		m.dirty[uid] = entry
	}
	if len(list.Endpoints) == 0 {
		return List{}, false // no list of the platform is known: the present list stays until the next one
	}
	m.publishPlatform(now)
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

// difference describes the difference between the entries of Consul and of the platform; empty for none.
func (s *sourceEntry) difference() string {
	switch {
	case s.platform != nil && s.consul == nil:
		return "only the platform lists it"
	case s.platform == nil && s.consul != nil:
		return "only consul lists it"
	case s.platform == nil:
		return ""
	case s.platform.State != s.consul.State:
		return fmt.Sprintf("the platform has it %s, consul %s %s", StateName(s.platform.State), StateName(s.consul.State), s.consul.Reason)
	case s.platform.Address != s.consul.Address:
		return fmt.Sprintf("the platform has it at %s, consul at %s", s.platform.Address, s.consul.Address)
	}
	return ""
}
