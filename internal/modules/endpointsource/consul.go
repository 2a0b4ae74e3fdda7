package endpointsource

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// This file takes in what Consul says, and judges what its answers lack.

// maxLost is how many endpoints an answer may lack without being doubted for that share of them.
const maxLost = 2

// HandleConsulAnswer takes an answer of Consul's. It returns what the balancer is to be given, false for nothing.
func (m *Merger) HandleConsulAnswer(now time.Duration, answer ConsulAnswer) (List, bool) {
	if len(answer.ConfirmedMissing) > 0 {
		return m.handleConfirmedMissing(now, answer.ConfirmedMissing)
	}
	first := !m.consulAnswered
	if first && len(answer.Changed) == 0 && m.settings.Mode == ModeConsul {
		return List{}, false // a first answer without anybody says nothing: what is known goes on
	}
	m.allDirty = m.allDirty || first || m.consulExpired
	m.consulAnswered, m.consulAnsweredAt, m.consulExpired = true, now, false
	m.applyConsulAnswer(now, &answer, first)
	missing, known := answer.Missing, answer.KnownBefore
	if first {
		missing, known = m.missingFromFirst(&answer)
	}
	m.applyMissing(now, missing, known, answer.Untrusted)
	if m.PassesThrough() {
		m.publishPlatform(now)
		return List{}, false
	}
	if first && m.settings.Mode == ModeConsul {
		return m.publish(now, balancer.ListFull)
	}
	return m.publish(now, balancer.ListDelta)
}

// applyConsulAnswer takes in what an answer says of each endpoint.
func (m *Merger) applyConsulAnswer(now time.Duration, answer *ConsulAnswer, first bool) {
	usable := m.filterUsable("consul", answer.Changed)
	if len(usable) < len(answer.Changed) {
		m.dropUnusable(answer.Changed)
	}
	for _, e := range usable {
		m.applyConsulEntry(now, e, first, answer.UnixMS)
	}
}

// missingFromFirst is what Consul's first answer lacks of what is known, by the last known list or by what Consul was asked
// before, and how many that are.
func (m *Merger) missingFromFirst(answer *ConsulAnswer) (missing []string, known int) {
	listed := make(map[string]bool, len(answer.Changed))
	for _, e := range answer.Changed {
		listed[e.UID] = true
	}
	isListed := func(entry *sourceEntry) bool { return listed[entry.uid] }
	missing = answer.Missing
	for uid, entry := range m.entries {
		if entry.consul == nil && (entry.published == nil || m.settings.Mode != ModeConsul) {
			continue
		}
		known++
		switch {
		case listed[uid]:
		case entry.published != nil && slices.ContainsFunc(m.byAddress[entry.published.Address], isListed):
			m.drop(uid, entry) // Consul has it by another name
		default:
			missing = append(missing, uid)
		}
	}
	return missing, known
}

// applyMissing takes in what an answer lacks of so many that were known: it is believed, or doubted.
func (m *Merger) applyMissing(now time.Duration, missing []string, known int, untrusted bool) {
	if len(missing) == 0 {
		return
	}
	// What it lacked before and lacks still counts with what it lacks now: a list that melts away in steps.
	missing = slices.AppendSeq(slices.Clone(missing), maps.Keys(m.missing))
	slices.Sort(missing)
	missing = slices.Compact(missing)
	doubted := untrusted || m.tooMany(len(missing), known)
	if doubted {
		reason := "too many at once"
		if untrusted {
			reason = "its server may not know"
		}
		m.logf("consul: an answer lacks %d of %d endpoints; not believed yet: %s", len(missing), max(known, len(missing)), reason)
	}
	for _, uid := range missing {
		entry := m.entries[uid]
		switch {
		case entry == nil:
		case !doubted:
			m.drop(uid, entry)
		case !entry.missing:
			entry.missing, entry.missingSince = true, now
			m.missing[uid], m.dirty[uid] = entry, entry
		}
	}
}

// tooMany reports whether an answer lacks more endpoints, of those known before, than are believed to be gone at once.
func (m *Merger) tooMany(lost, known int) bool {
	largeShare := float64(lost) >= m.settings.ShrinkThreshold*float64(max(1, known))
	all := known > 0 && lost >= known
	return lost > maxLost && largeShare || all
}

// handleConfirmedMissing takes in that the catalogue, too, lacks endpoints that health lacks. Where nothing would be left, neither
// it nor time is believed: a Consul that has lost its data would end all service. What the attempts find out settles it then, one
// endpoint after another.
func (m *Merger) handleConfirmedMissing(now time.Duration, gone []string) (List, bool) {
	if !m.consulHasOthers() {
		return List{}, false
	}
	for _, uid := range gone {
		if entry := m.missing[uid]; entry != nil {
			m.drop(uid, entry)
		}
	}
	if m.PassesThrough() {
		m.publishPlatform(now)
		return List{}, false
	}
	return m.publish(now, balancer.ListDelta)
}

// confirmByTime believes that an endpoint is gone which Consul has lacked for long, if it still says so.
func (m *Merger) confirmByTime(now time.Duration, uid string, entry *sourceEntry) {
	// Answers may have stopped coming: only one that came since counts as saying so still.
	if m.consulAnsweredAt > entry.missingSince && m.consulHasOthers() {
		m.drop(uid, entry)
	} else {
		entry.missingSince = now
	}
}

// consulHasOthers reports whether Consul has any endpoint but those that it lacks.
func (m *Merger) consulHasOthers() bool {
	if m.settings.Mode != ModeConsul {
		return true // the platform's list is the set
	}
	for _, entry := range m.entries {
		if entry.consul != nil && !entry.missing {
			return true
		}
	}
	return false
}

// dropUnusable drops those that Consul has changed into what cannot be used: their old word is not true any more.
func (m *Merger) dropUnusable(changed []Endpoint) {
	for _, e := range changed {
		if entry := m.entries[e.UID]; entry != nil && !m.usable(&e) {
			m.drop(e.UID, entry)
		}
	}
}

// drop believes that Consul has an endpoint no more.
func (m *Merger) drop(uid string, entry *sourceEntry) {
	if entry.consul != nil {
		m.leaveAddress(entry)
	}
	entry.consul, entry.missing, entry.unhealthy, entry.holdDownUntil = nil, false, false, 0
	delete(m.missing, uid)
	delete(m.heldDown, uid)
	m.dirty[uid] = entry
}

// joinAddress puts an entry to those at an address, and has all of them looked at again.
func (m *Merger) joinAddress(entry *sourceEntry, address string) {
	m.byAddress[address] = append(m.byAddress[address], entry)
	m.touchAddress(address)
}

// leaveAddress takes an entry out of those at its address.
func (m *Merger) leaveAddress(entry *sourceEntry) {
	address := entry.consul.Address
	m.touchAddress(address) // another one may be the newest there now
	left := slices.DeleteFunc(m.byAddress[address], func(other *sourceEntry) bool { return other == entry })
	m.byAddress[address] = left
	if len(left) == 0 {
		delete(m.byAddress, address)
	}
}

func (m *Merger) touchAddress(address string) {
	for _, entry := range m.byAddress[address] {
		m.dirty[entry.uid] = entry
	}
}

// applyConsulEntry takes in what Consul says of one endpoint. A first answer says nothing of starts. unixMS is the time of day.
func (m *Merger) applyConsulEntry(now time.Duration, said Endpoint, first bool, unixMS int64) {
	entry := m.touch(said.UID)
	entry.missing = false
	delete(m.missing, said.UID)
	if entry.consul != nil {
		m.leaveAddress(entry)
	}
	m.joinAddress(entry, said.Address)
	unhealthy := said.State != balancer.EndpointReady
	switch {
	case unhealthy && !entry.unhealthy:
		entry.unhealthySince, entry.holdDownUntil = now, 0
		delete(m.heldDown, said.UID)
	case !unhealthy && entry.unhealthy:
		m.holdDownFlapping(now, entry)
	}
	if said.StartUnknown {
		if m.looksRestarted(now, entry, &said, first) {
			entry.startedMS = unixMS
		}
		said.StartedMS = entry.startedMS
	}
	entry.unhealthy = unhealthy
	entry.consul = &said
}

// looksRestarted reports whether an endpoint whose start is not known looks from outside as if it had started: it is new, at
// another address, registered anew, or was critical for long.
func (m *Merger) looksRestarted(now time.Duration, entry *sourceEntry, e *Endpoint, first bool) bool {
	before := entry.consul
	switch {
	case before == nil && !first:
		return true
	case before != nil && (before.Address != e.Address || before.RegistrationIndex != e.RegistrationIndex):
		return true
	}
	recovered := e.State == balancer.EndpointReady && entry.unhealthy
	return recovered && now-entry.unhealthySince >= m.settings.RestartThreshold
}

// holdDownFlapping weighs the recovery of a check that has failed: beyond some in a while, each waits twice as long as the one
// before.
func (m *Merger) holdDownFlapping(now time.Duration, entry *sourceEntry) {
	outside := func(at time.Duration) bool { return now-at > m.settings.FlapWindow }
	entry.recoveries = slices.DeleteFunc(append(entry.recoveries, now), outside)
	free := m.settings.FreeRecoveries
	if len(entry.recoveries) <= free {
		entry.holdDown = 0
		return
	}
	last := len(entry.recoveries) - free - 1
	entry.recoveries = entry.recoveries[last:] // more are of no use, and flapping must not make it grow
	entry.holdDown = min(cmp.Or(2*entry.holdDown, m.settings.InitialHoldDown), m.settings.MaxHoldDown)
	entry.holdDownUntil = now + entry.holdDown
	m.heldDown[entry.uid] = entry
}

// HandleConnectFailure takes in that an attempt at an endpoint could not connect: of one that Consul lacks it settles the doubt.
// It returns what the balancer is to be given, false for nothing.
func (m *Merger) HandleConnectFailure(now time.Duration, uid string) (List, bool) {
	entry := m.entries[uid]
	if entry == nil || !entry.missing || m.PassesThrough() {
		return List{}, false
	}
	m.drop(uid, entry)
	return m.publish(now, balancer.ListDelta)
}

// HasUnconfirmed reports whether something that Consul lacks is not believed, so that HandleConnectFailure may settle it.
func (m *Merger) HasUnconfirmed() bool { return len(m.missing) > 0 }

// HandleConsulUnchanged takes in that Consul has answered with nothing new: its word is fresh. It returns what the balancer is to
// be given, false for nothing.
func (m *Merger) HandleConsulUnchanged(now time.Duration) (List, bool) {
	if !m.consulAnswered {
		return m.HandleConsulAnswer(now, ConsulAnswer{})
	}
	m.consulAnsweredAt = now
	if !m.consulExpired {
		return List{}, false
	}
	m.consulExpired, m.allDirty = false, true
	if m.PassesThrough() {
		return List{}, false
	}
	return m.publish(now, balancer.ListDelta)
}
