package endpointsource

import (
	"fmt"
	"time"

	"quincegap/internal/balancer"
)

// This file takes in what the platform says.

// HandlePlatformList takes a list of the platform's that is to count. It returns what the balancer is to be given, false for
// nothing. In the modes that pass lists on it is the same list.
func (m *Merger) HandlePlatformList(now time.Duration, list List) (List, bool) {
	if list.Kind == balancer.ListCached && m.consulAnswered {
		return List{}, false // there is a better one
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

// applyPlatformList takes in what a list says of each endpoint.
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

// publishPlatform notes what the balancer is given by a list that is passed on.
func (m *Merger) publishPlatform(now time.Duration) {
	m.logDifferences()
	for uid, entry := range m.dirty {
		switch {
		case entry.platform == nil && entry.published != nil:
			entry.published, entry.since, entry.reason = nil, now, "the platform lists it no more"
		case entry.platform != nil && (entry.published == nil || !sameVerdict(entry.published, entry.platform)):
			published := *entry.platform
			entry.published, entry.since, entry.reason = &published, now, "the platform says so"
		}
		m.forget(uid, entry)
	}
	clear(m.dirty)
	m.published = true
}

// publishKnownPlatform publishes what is known of the platform's lists, as the mode turns to passing them on.
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
		return List{}, false // nothing of the platform's is known: what serves goes on until its next list
	}
	m.publishPlatform(now)
	m.version = list.Version
	return list, true
}

// logDifferences logs, for a rehearsal, where Consul would say otherwise than the platform does.
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

// difference is where Consul says otherwise than the platform does; empty for nowhere.
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
