package membership

import (
	"slices"
	"time"

	"quincegap/internal/structures/rendezvous"
)

// Receive merges a shuffle. There is a reply to one that is not itself a reply; changed reports whether Members would differ in more
// than heartbeats.
func (v *View) Receive(now time.Duration, s *Shuffle) (reply *Shuffle, changed bool) {
	known := v.byIncarnation[s.From.Incarnation] != nil
	changed = v.mergeMember(now, s.From, true)
	for i := range s.Tombstones {
		changed = v.mergeTombstone(now, s.Tombstones[i]) || changed
	}
	for i := range s.Members {
		changed = v.mergeMember(now, s.Members[i], false) || changed
	}
	for i := range s.Unreachable {
		v.receiveSuspicion(now, &s.From, &s.Unreachable[i])
	}
	if s.RaiseHeartbeat && !s.Reply {
		v.self.Heartbeat++
	}
	agrees := v.compareDigests(now, s)
	if !s.Reply && s.From.Incarnation != v.self.Incarnation {
		reply = v.newShuffle(now, s.From.Zone, !known && s.From.Heartbeat < 8, agrees)
		reply.Reply = true
	}
	if d, ok := v.tombstones[s.From.Incarnation]; ok && v.byIncarnation[s.From.Incarnation] == nil { // it is told, and raises its heartbeat above that
		g := Tombstone{Incarnation: s.From.Incarnation, Address: s.From.Address, Heartbeat: d.heartbeat}
		if reply != nil {
			reply.Tombstones = append(reply.Tombstones, g)
		} else if len(v.reappeared) < v.config.MaxTombstonesPerShuffle {
			v.reappeared = append(v.reappeared, g)
		}
	}
	return reply, changed
}

// mergeMember merges a member's record, sent by itself (direct) or by another member.
func (v *View) mergeMember(now time.Duration, m Member, direct bool) (changed bool) {
	age := max(m.HeartbeatAge, 0)
	if direct {
		age = 0
	}
	if m.Incarnation == 0 || m.Incarnation == v.self.Incarnation || m.Address == "" || m.Address == v.self.Address || age >= v.failureTimeout(&m) {
		return false
	}
	m.HeartbeatAge = 0
	seen := now - age
	if d, dead := v.tombstones[m.Incarnation]; dead && (m.Heartbeat <= d.heartbeat || d.replaced && !direct && seen < d.recordedAt+v.config.FailureTimeout) {
		return false
	}
	if e := v.byIncarnation[m.Incarnation]; e != nil {
		return v.updateMember(now, seen, e, m, direct)
	}
	if old := v.byAddress[m.Address]; old != nil {
		// Ages arrive too low by the time under way, so that a life that ended may seem a little newer.
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

// updateMember merges a record of a member that is known.
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
		return false // a life has one address
	}
	if changed = !sameRecord(e.Member, m); changed {
		v.invalidate()
	}
	if e.answerAwaited && e.disputedHeartbeat < m.Heartbeat {
		e.answerAwaited, e.transmits = false, 0
		v.noteUpdate(now, &v.lastUpdate)
	}
	e.Member, e.lastSeen = m, max(e.lastSeen, seen)
	e.transition(now, alive)
	return changed
}

// replaceMember drops a life because another one is at its address.
func (v *View) replaceMember(now time.Duration, old *entry, direct bool) {
	v.remove(old)
	d := tombstoneEntry{heartbeat: old.Heartbeat, address: old.Address, replaced: true}
	if direct {
		d.heartbeat += replacedHeartbeatMargin
	}
	v.addTombstone(now, old.Incarnation, d)
}

// addMember adds a new member.
func (v *View) addMember(now, seen time.Duration, m Member) {
	v.deleteTombstone(m.Incarnation)
	v.arrivals++
	v.noteUpdate(now, &v.lastUpdate)
	asked := -time.Hour + time.Duration(v.rng.IntN(int(time.Minute))) // long ago, in random order
	e := &entry{Member: m, hash: rendezvous.Mix(m.Incarnation), lastSeen: seen, arrivalOrder: v.arrivals, lastContacted: asked}
	v.byIncarnation[m.Incarnation], v.byAddress[m.Address] = e, e
	i, _ := slices.BinarySearchFunc(v.entries, m.Incarnation, compareIncarnation)
	v.entries = slices.Insert(v.entries, i, e)
	v.invalidate()
	i, _ = slices.BinarySearchFunc(v.hashOrder, e, compareHash)
	v.hashOrder = slices.Insert(v.hashOrder, i, e)
	v.SetRegion(m.Zone, m.Region)
	v.departed = slices.DeleteFunc(v.departed, func(f departedMember) bool { return f.address == m.Address })
}

// ensureCapacity reports whether there is room for a new member; in another zone the last one by before gives way to one that precedes it.
func (v *View) ensureCapacity(m *Member) bool {
	n, last := 0, (*entry)(nil)
	for _, e := range v.entries {
		if e.Role == m.Role && (m.Role == RoleCore || e.Zone == m.Zone) {
			n++
			if last == nil || compareHash(last, e) < 0 {
				last = e
			}
		}
	}
	switch {
	case m.Role == RoleCore:
		return n < v.config.MaxCoreMembers
	case m.Zone == v.self.Zone:
		return n < v.config.MaxLocalMembers
	case n < v.config.MaxMembersPerRemoteZone:
		return true
	case compareHash(&entry{Member: *m, hash: rendezvous.Mix(m.Incarnation)}, last) > 0:
		return false
	}
	v.remove(last)
	return true
}

// mergeTombstone merges the end of a life.
func (v *View) mergeTombstone(now time.Duration, g Tombstone) bool {
	if g.Incarnation == v.self.Incarnation {
		if v.self.Heartbeat <= g.Heartbeat {
			v.self.Heartbeat = g.Heartbeat + 1
			v.noteUpdate(now, &v.lastUpdate)
		}
		return false
	}
	e := v.byIncarnation[g.Incarnation]
	if e != nil && e.Heartbeat > g.Heartbeat {
		if e.disputedHeartbeat < g.Heartbeat && e.state == alive { // either the end is old news or the heartbeat is
			e.disputedHeartbeat, e.probeDue, e.answerAwaited = g.Heartbeat, true, false
		}
		return false
	}
	v.addTombstone(now, g.Incarnation, tombstoneEntry{heartbeat: g.Heartbeat, address: g.Address})
	if e != nil {
		v.depart(now, e)
		v.lastRemoval = now
		v.noteUpdate(now, &v.lastUpdate)
	}
	return e != nil
}

func (v *View) addTombstone(now time.Duration, life uint64, d tombstoneEntry) {
	old, known := v.tombstones[life]
	if !known {
		v.tombstoneOrder = append(v.tombstoneOrder, life)
		if len(v.tombstoneOrder) > v.config.MaxTombstones {
			delete(v.tombstones, v.tombstoneOrder[0])
			v.tombstoneOrder = slices.Delete(v.tombstoneOrder, 0, 1)
		}
		d.recordedAt = now
	} else {
		d.recordedAt, d.transmits = old.recordedAt, old.transmits
		if d.heartbeat > old.heartbeat {
			d.recordedAt = now
		}
		d.heartbeat, d.replaced = max(d.heartbeat, old.heartbeat), d.replaced || old.replaced
	}
	v.tombstones[life] = d
}

func (v *View) deleteTombstone(life uint64) {
	delete(v.tombstones, life)
	if i := slices.Index(v.tombstoneOrder, life); i >= 0 {
		v.tombstoneOrder = slices.Delete(v.tombstoneOrder, i, i+1)
	}
}
