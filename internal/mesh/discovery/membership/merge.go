package membership

import "time"

// newcomerHeartbeats is the heartbeat below which an unknown sender counts as just started. An unknown sender with a higher heartbeat has
// been running for longer, for example in another partition.
const newcomerHeartbeats = 8

// Receive merges a shuffle into the view. It returns the reply, which is nil if the shuffle is itself a reply or comes from this process,
// and reports whether anything but heartbeats has changed in the set of members.
func (v *View) Receive(now time.Duration, shuffle *Shuffle) (reply *Shuffle, changed bool) {
	senderKnown := v.table.byIncarnation[shuffle.From.Incarnation] != nil
	changed = v.mergeRecords(now, shuffle)
	for i := range shuffle.Unreachable {
		v.mergeSuspicion(&shuffle.From, &shuffle.Unreachable[i])
	}
	if shuffle.RaiseHeartbeat && !shuffle.Reply {
		v.self.Heartbeat++
	}
	agrees := v.compareDigests(now, shuffle)
	if !shuffle.Reply && shuffle.From.Incarnation != v.self.Incarnation {
		newcomer := !senderKnown && shuffle.From.Heartbeat < newcomerHeartbeats
		reply = v.newShuffle(now, shuffle.From.Zone, newcomer, agrees)
		reply.Reply = true
	}
	v.reportReappeared(&shuffle.From, reply)
	return reply, changed
}

// mergeRecords merges the sender, the tombstones and the members of a shuffle, in this order, so that a shuffle can't add a member whose
// end it reports. It reports whether anything but heartbeats has changed.
func (v *View) mergeRecords(now time.Duration, shuffle *Shuffle) (changed bool) {
	changed = v.mergeMember(now, shuffle.From, true)
	for _, t := range shuffle.Tombstones {
		changed = v.mergeTombstone(now, t) || changed
	}
	for i := range shuffle.Members {
		changed = v.mergeMember(now, shuffle.Members[i], false) || changed
	}
	return changed
}

// mergeMember merges the record of a member. direct means that the member itself has sent the record. It reports whether anything but the
// heartbeat has changed.
func (v *View) mergeMember(now time.Duration, record Member, direct bool) (changed bool) {
	age := max(record.HeartbeatAge, 0)
	if direct {
		age = 0
	}
	if !v.identifiesPeer(&record) || age >= v.failureTimeout(&record) {
		return false
	}
	record.HeartbeatAge = 0
	seen := now - age
	if v.tombstones.contradicts(&record, seen, direct, v.config.FailureTimeout) {
		return false
	}
	if e := v.table.byIncarnation[record.Incarnation]; e != nil {
		return v.updateMember(now, seen, e, record, direct)
	}
	if old := v.table.byAddress[record.Address]; old != nil {
		// An age doesn't include the transit time of the message, so an incarnation that ended may seem slightly newer than the running one.
		if !direct && seen < old.lastSeen+v.config.GossipInterval {
			return false
		}
		sameLimit := old.Zone == record.Zone && old.Role == record.Role
		if !sameLimit && !v.ensureCapacity(&record) {
			return false
		}
		v.replaceMember(now, old, direct)
	} else if !v.ensureCapacity(&record) {
		return false
	}
	v.addMember(now, seen, record)
	return true
}

// identifiesPeer reports whether a record is valid, and identifies a member that is neither this process nor at its address.
func (v *View) identifiesPeer(m *Member) bool {
	return m.isValid() && m.Incarnation != v.self.Incarnation && m.Address != v.self.Address
}

// updateMember merges a record into the entry of its member. It reports whether anything but the heartbeat has changed.
func (v *View) updateMember(now, seen time.Duration, known *entry, record Member, direct bool) (changed bool) {
	switch {
	case record.Heartbeat < known.Heartbeat:
		return false
	case record.Heartbeat == known.Heartbeat && direct:
		known.lastSeen = now
		return false
	case record.Heartbeat == known.Heartbeat:
		known.lastSeen = min(known.lastSeen, seen)
		return false
	case known.Address != record.Address || known.Zone != record.Zone || known.Role != record.Role:
		return false // an incarnation never changes them
	}
	if changed = !sameRecord(&known.Member, &record); changed {
		v.invalidate()
	}
	if known.dispute.answerAwaited && known.dispute.heartbeat < record.Heartbeat {
		known.dispute.answerAwaited = false
		known.transmits = 0
		v.noteUpdate(now)
	}
	known.Member = record
	known.lastSeen = max(known.lastSeen, seen)
	known.transition(now, alive)
	return changed
}

// replaceMember removes a member because a newer incarnation has its address, and adds a tombstone of it. direct means that the newer
// incarnation itself has sent a message.
func (v *View) replaceMember(now time.Duration, old *entry, direct bool) {
	v.remove(old)
	heartbeat := old.Heartbeat
	if direct {
		heartbeat += replacedHeartbeatMargin
	}
	v.tombstones.add(now, old.Incarnation, tombstoneEntry{heartbeat: heartbeat, address: old.Address, replaced: true})
}

// addMember adds a new member. Its lastContacted is a random time in the minute after longAgo, so that new members are contacted before
// others, and in random order.
func (v *View) addMember(now, seen time.Duration, m Member) {
	v.tombstones.remove(m.Incarnation)
	v.noteUpdate(now)
	e := newEntry(m)
	e.lastSeen = seen
	e.lastContacted = longAgo + time.Duration(v.rng.IntN(int(time.Minute)))
	v.table.insert(e)
	v.invalidate()
	v.SetRegion(m.Zone, m.Region)
	v.departed.remove(m.Address)
}

// ensureCapacity reports whether the view has room for a new member. In another zone a new member that precedes the last one by
// compareHash replaces that one, so that all views hold the same members of the zone.
func (v *View) ensureCapacity(m *Member) bool {
	count, last := v.membersUnderSameLimit(m)
	switch {
	case m.Role == RoleCore:
		return count < v.config.MaxCoreMembers
	case m.Zone == v.self.Zone:
		return count < v.config.MaxLocalMembers
	case count == 0:
		return v.zoneCount() < maxZones
	case count < v.config.MaxMembersPerRemoteZone:
		return true
	case compareHash(newEntry(*m), last) > 0:
		return false
	}
	v.remove(last)
	return true
}

// zoneCount returns the number of zones that have members.
func (v *View) zoneCount() int {
	zones := map[string]bool{}
	for _, e := range v.table.entries {
		zones[e.Zone] = true
	}
	return len(zones)
}

// membersUnderSameLimit returns the number of members to which the same limit applies as to m, and the last of them by compareHash.
func (v *View) membersUnderSameLimit(m *Member) (count int, last *entry) {
	for _, e := range v.table.entries {
		if e.Role != m.Role || m.Role != RoleCore && e.Zone != m.Zone {
			continue
		}
		count++
		if last == nil || compareHash(last, e) < 0 {
			last = e
		}
	}
	return count, last
}
