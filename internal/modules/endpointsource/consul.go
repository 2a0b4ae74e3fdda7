package endpointsource

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// This file handles answers of Consul, and decides whether to believe that endpoints are gone which an answer lacks.

// maxLost is how many endpoints an answer may lack without being doubted, whatever share of all they are.
const maxLost = 2

// HandleConsulAnswer handles an answer of Consul. It returns the list for the balancer, false for none.
func (m *Merger) HandleConsulAnswer(now time.Duration, answer ConsulAnswer) (List, bool) {
	if len(answer.ConfirmedMissing) > 0 {
		return m.handleConfirmedMissing(now, answer.ConfirmedMissing)
	}
	first := !m.consulAnswered
	if first && len(answer.Changed) == 0 && m.settings.Mode == ModeConsul {
		return List{}, false // an empty first answer is ignored: the last known list stays
	}
	m.allDirty = m.allDirty || first || m.consulExpired
	m.consulAnswered = true
	m.consulAnsweredAt = now
	m.consulExpired = false
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

// applyConsulAnswer applies the entries of an answer.
func (m *Merger) applyConsulAnswer(now time.Duration, answer *ConsulAnswer, first bool) {
	usable := m.filterUsable("consul", answer.Changed)
	if len(usable) < len(answer.Changed) {
		m.dropUnusable(answer.Changed)
	}
	for _, e := range usable {
		m.applyConsulEntry(now, e, first, answer.UnixMS)
	}
}

// missingFromFirst returns which of the known endpoints Consul's first answer lacks, and how many are known: by the last known list, or
// by the service that was followed before.
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
			m.drop(uid, entry) // Consul has it under another uid
		default:
			missing = append(missing, uid)
		}
	}
	return missing, known
}

// applyMissing handles the endpoints that an answer lacks, of so many that were known: they are dropped, or marked as missing if the
// answer is doubted.
func (m *Merger) applyMissing(now time.Duration, missing []string, known int, untrusted bool) {
	if len(missing) == 0 {
		return
	}
	// Those that earlier answers lacked count as well, so that a list that shrinks in steps is doubted too.
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
			entry.missing = true
			entry.missingSince = now
			m.missing[uid] = entry
			m.dirty[uid] = entry
		}
	}
}

// tooMany reports whether an answer lacks so many of the known endpoints that it is doubted.
func (m *Merger) tooMany(lost, known int) bool {
	largeShare := float64(lost) >= m.settings.ShrinkThreshold*float64(max(1, known))
	all := known > 0 && lost >= known
	return lost > maxLost && largeShare || all
}

// handleConfirmedMissing drops missing endpoints that the catalogue lacks as well. If no other endpoint would be left, neither the
// catalogue nor time confirms anything, because a Consul that has lost its data would end all service. Only attempts that cannot
// connect do then, for one endpoint after another.
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

// confirmByTime drops an endpoint that has been missing for Settings.ConfirmAfter, if Consul has answered since.
func (m *Merger) confirmByTime(now time.Duration, uid string, entry *sourceEntry) {
	// Without an answer since, Consul may not respond any more, which confirms nothing.
	if m.consulAnsweredAt > entry.missingSince && m.consulHasOthers() {
		m.drop(uid, entry)
	} else {
		entry.missingSince = now
	}
}

// consulHasOthers reports whether endpoints would be left without the missing ones.
func (m *Merger) consulHasOthers() bool {
	if m.settings.Mode != ModeConsul {
		return true // the endpoints are those of the platform's list
	}
	for _, entry := range m.entries {
		if entry.consul != nil && !entry.missing {
			return true
		}
	}
	return false
}

// dropUnusable drops the endpoints whose new entry in Consul cannot be used: the entry before is out of date.
func (m *Merger) dropUnusable(changed []Endpoint) {
	for _, e := range changed {
		if entry := m.entries[e.UID]; entry != nil && !m.usable(&e) {
			m.drop(e.UID, entry)
		}
	}
}

// drop removes the entry of an endpoint in Consul.
func (m *Merger) drop(uid string, entry *sourceEntry) {
	if entry.consul != nil {
		m.leaveAddress(entry)
	}
	entry.consul = nil
	entry.missing = false
	entry.unhealthy = false
	entry.holdDownUntil = 0
	delete(m.missing, uid)
	delete(m.heldDown, uid)
	m.dirty[uid] = entry
}

// joinAddress adds an entry to those at an address, all of which are evaluated again.
func (m *Merger) joinAddress(entry *sourceEntry, address string) {
	m.byAddress[address] = append(m.byAddress[address], entry)
	m.touchAddress(address)
}

// leaveAddress removes an entry from those at its address, all of which are evaluated again.
func (m *Merger) leaveAddress(entry *sourceEntry) {
	address := entry.consul.Address
	m.touchAddress(address) // another one may be the latest there now
	left := slices.DeleteFunc(m.byAddress[address], func(other *sourceEntry) bool { return other == entry })
	m.byAddress[address] = left
	if len(left) == 0 {
		delete(m.byAddress, address)
	}
}

// touchAddress has all entries at an address evaluated again.
func (m *Merger) touchAddress(address string) {
	for _, entry := range m.byAddress[address] {
		m.dirty[entry.uid] = entry
	}
}

// applyConsulEntry applies Consul's entry of one endpoint; first tells a first answer, by which no endpoint counts as started lately.
// unixMS is the time of day.
func (m *Merger) applyConsulEntry(now time.Duration, reported Endpoint, first bool, unixMS int64) {
	entry := m.touch(reported.UID)
	entry.missing = false
	delete(m.missing, reported.UID)
	if entry.consul != nil {
		m.leaveAddress(entry)
	}
	m.joinAddress(entry, reported.Address)
	unhealthy := reported.State != balancer.EndpointReady
	switch {
	case unhealthy && !entry.unhealthy:
		entry.unhealthySince = now
		entry.holdDownUntil = 0
		delete(m.heldDown, reported.UID)
	case !unhealthy && entry.unhealthy:
		m.holdDownFlapping(now, entry)
	}
	if reported.StartUnknown {
		if m.looksRestarted(now, entry, &reported, first) {
			entry.startedMS = unixMS
		}
		reported.StartedMS = entry.startedMS
	}
	entry.unhealthy = unhealthy
	entry.consul = &reported
}

// looksRestarted reports whether an endpoint whose start is not known seems to have started: it is new, has another address or another
// registration, or was critical for Settings.RestartThreshold.
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

// holdDownFlapping handles the recovery of a failed check. Beyond Settings.FreeRecoveries within Settings.FlapWindow each recovery is
// held down, twice as long as the one before.
func (m *Merger) holdDownFlapping(now time.Duration, entry *sourceEntry) {
	outside := func(at time.Duration) bool { return now-at > m.settings.FlapWindow }
	entry.recoveries = slices.DeleteFunc(append(entry.recoveries, now), outside)
	free := m.settings.FreeRecoveries
	if len(entry.recoveries) <= free {
		entry.holdDown = 0
		return
	}
	last := len(entry.recoveries) - free - 1
	entry.recoveries = entry.recoveries[last:] // older ones do not matter, and the list must not grow
	entry.holdDown = min(cmp.Or(2*entry.holdDown, m.settings.InitialHoldDown), m.settings.MaxHoldDown)
	entry.holdDownUntil = now + entry.holdDown
	m.heldDown[entry.uid] = entry
}

// HandleConnectFailure handles that an attempt could not connect to an endpoint, which confirms that a missing one is gone. It returns
// the list for the balancer, false for none.
func (m *Merger) HandleConnectFailure(now time.Duration, uid string) (List, bool) {
	entry := m.entries[uid]
	if entry == nil || !entry.missing || m.PassesThrough() {
		return List{}, false
	}
	m.drop(uid, entry)
	return m.publish(now, balancer.ListDelta)
}

// HasUnconfirmed reports whether endpoints are missing, so that HandleConnectFailure may confirm it.
func (m *Merger) HasUnconfirmed() bool { return len(m.missing) > 0 }

// HandleConsulUnchanged handles an answer of Consul without a change, which renews Settings.ConsulTTL. It returns the list for the
// balancer, false for none.
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
