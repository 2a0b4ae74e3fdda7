package membership

import (
	"slices"
	"time"
)

// ConnectionLost reports that a connection to an address broke, or that its pings went unanswered: the member there is unreachable, and
// departs after DisconnectGrace unless its heartbeat advances.
func (v *View) ConnectionLost(now time.Duration, address string) {
	e := v.table.byAddress[address]
	if e == nil || e.state == unreachable {
		return
	}
	e.transition(now, unreachable)
	e.lastContacted = now - v.config.GossipInterval // it is contacted at the next Tick
	v.noteDifference(now)
}

// unreachableMembers are the suspicions that a shuffle carries.
func (v *View) unreachableMembers() []Suspicion {
	var out []Suspicion
	for _, e := range v.table.entries {
		if e.state == unreachable && len(out) < v.config.MaxTombstonesPerShuffle {
			out = append(out, Suspicion{Incarnation: e.Incarnation, Address: e.Address, Heartbeat: e.Heartbeat})
		}
	}
	return out
}

func (v *View) hasUnreachable() bool {
	return slices.ContainsFunc(v.table.entries, func(e *entry) bool { return e.state == unreachable })
}

// mergeSuspicion takes note that a sender can't reach a member: that one is asked, and its answer is an update for the sender.
func (v *View) mergeSuspicion(sender *Member, s *Suspicion) {
	if s.Incarnation == v.self.Incarnation {
		v.self.Heartbeat = max(v.self.Heartbeat, s.Heartbeat+1)
		return
	}
	e := v.table.byIncarnation[s.Incarnation]
	if e == nil || e.state == unreachable {
		return
	}
	switch {
	case e.Heartbeat > s.Heartbeat:
		e.transmits = 0 // what the sender lacks is known here
	case e.dispute.heartbeat < s.Heartbeat:
		e.dispute = dispute{heartbeat: s.Heartbeat, probeDue: true, answerAwaited: true}
	}
	if from := v.table.byIncarnation[sender.Incarnation]; from != nil {
		from.lastContacted = longAgo
	}
}

// expireMembers has members depart that were unreachable or whose heartbeats are too old, and suspects those that are on the way there.
func (v *View) expireMembers(now time.Duration) {
	for i := len(v.table.entries) - 1; i >= 0; i-- { // from the end, as members are removed on the way
		e := v.table.entries[i]
		if e.state == unreachable {
			if now-e.stateSince >= v.config.DisconnectGrace {
				v.departUnreachable(now, e)
			}
			continue
		}
		age := now - max(v.lastKnownAlive(e), v.schedule.resumedAt)
		timeout := v.failureTimeout(&e.Member)
		switch {
		case age >= timeout:
			v.departTimedOut(now, e)
		case age >= timeout*v.config.SuspicionTimeout/v.config.FailureTimeout:
			e.transition(now, suspected)
		default:
			e.transition(now, alive) // its zone's members agree on it
		}
	}
}

// departUnreachable has a member depart to which a connection broke, and spreads a tombstone of it.
func (v *View) departUnreachable(now time.Duration, e *entry) {
	v.depart(now, e)
	v.tombstones.add(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat + v.heartbeatMargin(e), address: e.Address})
	v.schedule.lastRemoval = now
	v.noteUpdate(now)
}

// departTimedOut has a member depart whose heartbeat is too old. Others are notified only in a large view, as each finds out by itself
// otherwise.
func (v *View) departTimedOut(now time.Duration, e *entry) {
	v.depart(now, e)
	if e.Zone == v.self.Zone && v.isLarge() {
		v.tombstones.add(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat, address: e.Address})
	}
}

// heartbeatMargin is more than an unreachable member can have raised its heartbeat by, unknown here, before its connection broke:
// members that know of such a heartbeat take its tombstone too. If it is alive, it raises its heartbeat above that of the tombstone.
func (v *View) heartbeatMargin(e *entry) uint64 {
	return uint64(8 * max(e.stateSince-e.lastSeen, 0) / v.config.GossipInterval)
}

// lastKnownAlive is when a member was last known to be alive, by its heartbeat or by agreement in its zone.
func (v *View) lastKnownAlive(e *entry) time.Duration {
	if at, ok := v.agreement.zoneAgreedAt[e.Zone]; ok && e.state != unreachable {
		return max(e.lastSeen, at)
	}
	return e.lastSeen
}

// failureTimeout is the age of its heartbeat at which a member departs.
func (v *View) failureTimeout(m *Member) time.Duration {
	if m.Zone != v.self.Zone && (v.isLarge() || v.agreement.lastAgreed != 0) {
		return v.config.RemoteFailureTimeout
	}
	return v.config.FailureTimeout
}

// isLarge reports whether there are more members than two shuffles carry.
func (v *View) isLarge() bool { return len(v.table.entries) > 2*v.config.MaxMembersPerShuffle }

// restartTimeouts has all timeouts count from now, as this process may have been frozen. The ages that it sends to others stay as they
// are.
func (v *View) restartTimeouts(now time.Duration) {
	v.schedule.resumedAt = now
	for _, e := range v.table.entries {
		if e.state != alive {
			e.stateSince = now
		}
	}
}
