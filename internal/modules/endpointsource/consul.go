package endpointsource

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// This file handles answers of Consul. It decides whether endpoints that an answer lacks are dropped at once or only after a
// confirmation.

// maxTrustedMissing is the number of endpoints that an answer may lack without a confirmation, whatever share of the known endpoints
// they are, unless they are all of them.
const maxTrustedMissing = 2

// HandleConsulAnswer handles an answer of Consul. It returns the list for the balancer, and false if nothing has to be published.
func (m *Merger) HandleConsulAnswer(now time.Duration, answer ConsulAnswer) (List, bool) {
	if len(answer.ConfirmedMissing) > 0 {
		return m.handleConfirmedMissing(now, answer.ConfirmedMissing)
	}
	first := !m.consulAnswered
	if first && len(answer.Changed) == 0 && m.settings.Mode == ModeConsul {
		return List{}, false // an empty first answer is ignored: the last known list stays in use
	}
	m.allDirty = m.allDirty || first || m.consulExpired
	m.consulAnswered = true
	m.consulAnsweredAt = now
	m.consulExpired = false
	m.applyConsulAnswer(now, &answer, first)
	missing, known := answer.Missing, answer.KnownBefore
	if first {
		missing, known = m.missingFromFirstAnswer(&answer)
	}
	m.applyMissing(now, missing, known, answer.Untrusted)
	if m.PassesThrough() {
		m.recordPassedThrough(now)
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
		m.dropUnusableEntries(answer.Changed)
	}
	for _, e := range usable {
		m.applyConsulEntry(now, e, first, answer.UnixMS)
	}
}

// missingFromFirstAnswer returns the uids of known endpoints that Consul's first answer lacks, and the number of known endpoints. Known
// endpoints are those in the last known list, or in Consul's answers for the service that was followed before.
func (m *Merger) missingFromFirstAnswer(answer *ConsulAnswer) (missing []string, known int) {
	listed := make(map[string]bool, len(answer.Changed))
	for _, e := range answer.Changed {
		listed[e.UID] = true
	}
	isListed := func(entry *endpointEntry) bool { return listed[entry.uid] }
	missing = answer.Missing
	for uid, entry := range m.entries {
		if entry.consul == nil && (entry.published == nil || m.settings.Mode != ModeConsul) {
			continue
		}
		known++
		switch {
		case listed[uid]:
		case entry.published != nil && slices.ContainsFunc(m.byAddress[entry.published.Address], isListed):
			m.dropConsulEntry(uid, entry) // Consul lists the endpoint under another uid
		default:
			missing = append(missing, uid)
		}
	}
	return missing, known
}

// applyMissing handles the endpoints that an answer lacks; known is the number of endpoints that were known before. The endpoints are
// dropped, or only marked as missing if the answer needs a confirmation.
func (m *Merger) applyMissing(now time.Duration, missing []string, known int, untrusted bool) {
	if len(missing) == 0 {
		return
	}
	// Endpoints that earlier answers lacked count as well, so that a list that shrinks in steps needs a confirmation too.
	missing = slices.AppendSeq(slices.Clone(missing), maps.Keys(m.missing))
	slices.Sort(missing)
	missing = slices.Compact(missing)
	needsConfirmation := untrusted || m.tooManyMissing(len(missing), known)
	if needsConfirmation {
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
		case !needsConfirmation:
			m.dropConsulEntry(uid, entry)
		case !entry.missing:
			entry.missing = true
			entry.missingSince = now
			m.missing[uid] = entry
			m.dirty[uid] = entry
		}
	}
}

// tooManyMissing reports whether an answer lacks so many of the known endpoints that it needs a confirmation.
func (m *Merger) tooManyMissing(missing, known int) bool {
	largeShare := float64(missing) >= m.settings.ShrinkThreshold*float64(max(1, known))
	all := known > 0 && missing >= known
	return missing > maxTrustedMissing && largeShare || all
}

// handleConfirmedMissing drops missing endpoints that the catalogue lacks as well. If no other endpoint would be left, neither the
// catalogue nor time confirms a removal, because a Consul that has lost its data would otherwise end all service. In that case only an
// attempt that cannot connect confirms the removal of its endpoint.
func (m *Merger) handleConfirmedMissing(now time.Duration, uids []string) (List, bool) {
	if !m.endpointsWouldRemain() {
		return List{}, false
	}
	for _, uid := range uids {
		if entry := m.missing[uid]; entry != nil {
			m.dropConsulEntry(uid, entry)
		}
	}
	if m.PassesThrough() {
		m.recordPassedThrough(now)
		return List{}, false
	}
	return m.publish(now, balancer.ListDelta)
}

// confirmByTime drops an endpoint that has been missing for Settings.ConfirmAfter, if Consul has answered in that time. Otherwise the
// time starts again.
func (m *Merger) confirmByTime(now time.Duration, uid string, entry *endpointEntry) {
	// Without a later answer Consul may be unreachable, which does not confirm a removal.
	if m.consulAnsweredAt > entry.missingSince && m.endpointsWouldRemain() {
		m.dropConsulEntry(uid, entry)
	} else {
		entry.missingSince = now
	}
}

// endpointsWouldRemain reports whether any endpoint would be left if all missing ones were dropped.
func (m *Merger) endpointsWouldRemain() bool {
	if m.settings.Mode != ModeConsul {
		return true // the platform's list determines the endpoints
	}
	for _, entry := range m.entries {
		if entry.consul != nil && !entry.missing {
			return true
		}
	}
	return false
}

// dropUnusableEntries drops the endpoints whose new entry in Consul cannot be used, because their previous entry is out of date.
func (m *Merger) dropUnusableEntries(changed []Endpoint) {
	for _, e := range changed {
		if entry := m.entries[e.UID]; entry != nil && !m.usable(&e) {
			m.dropConsulEntry(e.UID, entry)
		}
	}
}

// dropConsulEntry removes Consul's entry of an endpoint.
func (m *Merger) dropConsulEntry(uid string, entry *endpointEntry) {
	if entry.consul != nil {
		m.removeFromAddress(entry)
	}
	entry.consul = nil
	entry.missing = false
	entry.unhealthy = false
	entry.holdDownUntil = 0
	delete(m.missing, uid)
	delete(m.heldDown, uid)
	m.dirty[uid] = entry
}

// addToAddress adds an entry to those at an address, and marks all of them for evaluation.
func (m *Merger) addToAddress(entry *endpointEntry, address string) {
	m.byAddress[address] = append(m.byAddress[address], entry)
	m.markAddressDirty(address)
}

// removeFromAddress removes an entry from those at its address, and marks all of them for evaluation.
func (m *Merger) removeFromAddress(entry *endpointEntry) {
	address := entry.consul.Address
	m.markAddressDirty(address) // another entry may now be the latest at this address
	left := slices.DeleteFunc(m.byAddress[address], func(other *endpointEntry) bool { return other == entry })
	m.byAddress[address] = left
	if len(left) == 0 {
		delete(m.byAddress, address)
	}
}

// markAddressDirty marks all entries at an address for evaluation.
func (m *Merger) markAddressDirty(address string) {
	for _, entry := range m.byAddress[address] {
		m.dirty[entry.uid] = entry
	}
}

// applyConsulEntry applies Consul's entry of one endpoint. If first is set, the entry is from Consul's first answer, in which no new
// endpoint counts as recently started. unixMS is the time of day in Unix milliseconds.
func (m *Merger) applyConsulEntry(now time.Duration, reported Endpoint, first bool, unixMS int64) {
	entry := m.markDirty(reported.UID)
	entry.missing = false
	delete(m.missing, reported.UID)
	if entry.consul != nil {
		m.removeFromAddress(entry)
	}
	m.addToAddress(entry, reported.Address)
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

// looksRestarted reports whether an endpoint without a known start time seems to have started recently: it is new, has another address
// or another registration, or has recovered after being critical for Settings.RestartThreshold.
func (m *Merger) looksRestarted(now time.Duration, entry *endpointEntry, e *Endpoint, first bool) bool {
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

// holdDownFlapping handles the recovery of a failed check. After more than Settings.FreeRecoveries recoveries within
// Settings.FlapWindow, each further recovery is held down, twice as long as the one before.
func (m *Merger) holdDownFlapping(now time.Duration, entry *endpointEntry) {
	outside := func(at time.Duration) bool { return now-at > m.settings.FlapWindow }
	entry.recoveries = slices.DeleteFunc(append(entry.recoveries, now), outside)
	free := m.settings.FreeRecoveries
	if len(entry.recoveries) <= free {
		entry.holdDown = 0
		return
	}
	last := len(entry.recoveries) - free - 1
	entry.recoveries = entry.recoveries[last:] // older recoveries have no effect, and the list must not grow
	entry.holdDown = min(cmp.Or(2*entry.holdDown, m.settings.InitialHoldDown), m.settings.MaxHoldDown)
	entry.holdDownUntil = now + entry.holdDown
	m.heldDown[entry.uid] = entry
}

// HandleConnectFailure handles an attempt that could not connect to an endpoint. If the endpoint is missing, this confirms its removal.
// It returns the list for the balancer, and false if nothing has to be published.
func (m *Merger) HandleConnectFailure(now time.Duration, uid string) (List, bool) {
	entry := m.entries[uid]
	if entry == nil || !entry.missing || m.PassesThrough() {
		return List{}, false
	}
	m.dropConsulEntry(uid, entry)
	return m.publish(now, balancer.ListDelta)
}

// HasUnconfirmed reports whether endpoints are missing whose removal HandleConnectFailure could confirm.
func (m *Merger) HasUnconfirmed() bool { return len(m.missing) > 0 }

// HandleConsulUnchanged handles an answer of Consul without a change, which restarts Settings.ConsulTTL. It returns the list for the
// balancer, and false if nothing has to be published.
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
