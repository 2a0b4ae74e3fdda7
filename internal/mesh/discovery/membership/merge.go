package membership

import "time"

// newcomerHeartbeats is the heartbeat below which a sender that isn't known has just started, rather than come back.
const newcomerHeartbeats = 8

// Receive merges a shuffle. There is a reply to one that isn't itself a reply; changed reports whether Members would differ in more
// than heartbeats.
func (v *View) Receive(now time.Duration, s *Shuffle) (reply *Shuffle, changed bool) {
	senderKnown := v.table.byIncarnation[s.From.Incarnation] != nil
	changed = v.mergeRecords(now, s)
	for i := range s.Unreachable {
		v.mergeSuspicion(&s.From, &s.Unreachable[i])
	}
	if s.RaiseHeartbeat && !s.Reply {
		v.self.Heartbeat++
	}
	agrees := v.compareDigests(now, s)
	if !s.Reply && s.From.Incarnation != v.self.Incarnation {
		newcomer := !senderKnown && s.From.Heartbeat < newcomerHeartbeats
		reply = v.newShuffle(now, s.From.Zone, newcomer, agrees)
		reply.Reply = true
	}
	v.reportReappeared(&s.From, reply)
	return reply, changed
}

// mergeRecords merges the sender, the tombstones and the members of a shuffle, in this order: a member whose end is reported isn't
// taken from the same shuffle.
func (v *View) mergeRecords(now time.Duration, s *Shuffle) (changed bool) {
	changed = v.mergeMember(now, s.From, true)
	for _, t := range s.Tombstones {
		changed = v.mergeTombstone(now, t) || changed
	}
	for i := range s.Members {
		changed = v.mergeMember(now, s.Members[i], false) || changed
	}
	return changed
}

// mergeMember merges a member's record, sent by itself (direct) or by another member.
func (v *View) mergeMember(now time.Duration, m Member, direct bool) (changed bool) {
	age := max(m.HeartbeatAge, 0)
	if direct {
		age = 0
	}
	if !v.isForeign(&m) || age >= v.failureTimeout(&m) {
		return false
	}
	m.HeartbeatAge = 0
	seen := now - age
	if v.tombstones.contradicts(&m, seen, direct, v.config.FailureTimeout) {
		return false
	}
	if e := v.table.byIncarnation[m.Incarnation]; e != nil {
		return v.updateMember(now, seen, e, m, direct)
	}
	if old := v.table.byAddress[m.Address]; old != nil {
		// Ages arrive too low by the time on the way, so that an incarnation that ended may seem a little newer.
		if !direct && seen < old.lastSeen+v.config.GossipInterval {
			return false
		}
		v.replaceMember(now, old, direct)
	} else if !v.ensureCapacity(&m) {
		return false
	}
	v.addMember(now, seen, m)
	return true
}

// isForeign reports whether a record is complete, and of another process than this one.
func (v *View) isForeign(m *Member) bool {
	return m.Incarnation != 0 && m.Address != "" && m.Incarnation != v.self.Incarnation && m.Address != v.self.Address
}

// updateMember merges a record of a member that is known. It reports whether more than the heartbeat changed.
func (v *View) updateMember(now, seen time.Duration, e *entry, m Member, direct bool) (changed bool) {
	switch {
	case m.Heartbeat < e.Heartbeat:
		return false
	case m.Heartbeat == e.Heartbeat && direct:
		e.lastSeen = now
		return false
	case m.Heartbeat == e.Heartbeat:
		e.lastSeen = min(e.lastSeen, seen)
		return false
	case e.Address != m.Address:
		return false // an incarnation has one address
	}
	if changed = !sameRecord(&e.Member, &m); changed {
		v.invalidate()
	}
	if e.dispute.answerAwaited && e.dispute.heartbeat < m.Heartbeat {
		e.dispute.answerAwaited = false
		e.transmits = 0
		v.noteUpdate(now)
	}
	e.Member = m
	e.lastSeen = max(e.lastSeen, seen)
	e.transition(now, alive)
	return changed
}

// replaceMember removes a member because another incarnation is at its address, which has sent a message itself if direct.
func (v *View) replaceMember(now time.Duration, old *entry, direct bool) {
	v.remove(old)
	heartbeat := old.Heartbeat
	if direct {
		heartbeat += replacedHeartbeatMargin
	}
	v.tombstones.add(now, old.Incarnation, tombstoneEntry{heartbeat: heartbeat, address: old.Address, replaced: true})
}

// addMember adds a member that isn't known, as one that was contacted long ago: new members come first, in random order.
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

// ensureCapacity reports whether there is capacity for a new member. In another zone the last one by compareHash gives way to one that
// precedes it, so that all views keep the same ones.
func (v *View) ensureCapacity(m *Member) bool {
	count, last := v.membersAlike(m)
	switch {
	case m.Role == RoleCore:
		return count < v.config.MaxCoreMembers
	case m.Zone == v.self.Zone:
		return count < v.config.MaxLocalMembers
	case count < v.config.MaxMembersPerRemoteZone:
		return true
	case compareHash(newEntry(*m), last) > 0:
		return false
	}
	v.remove(last)
	return true
}

// membersAlike counts the members that share a limit with one, and returns the last of them by compareHash.
func (v *View) membersAlike(m *Member) (count int, last *entry) {
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
