package membership

import (
	"slices"
	"time"
)

// heartbeatMarginFactor is the ratio of heartbeatMargin to the number of heartbeats that a member is expected to have raised.
const heartbeatMarginFactor = 8

// ConnectionLost makes the member at an address unreachable, as a connection to it broke or its pings weren't answered. It departs after
// DisconnectGrace unless its heartbeat advances.
func (v *View) ConnectionLost(now time.Duration, address string) {
	e := v.table.byAddress[address]
	if e == nil || e.state == unreachable {
		return
	}
	e.transition(now, unreachable)
	e.lastContacted = now - v.config.GossipInterval // it is contacted at the next Tick
	v.noteDifference(now)
}

// unreachableMembers returns the suspicions that a shuffle carries.
func (v *View) unreachableMembers() []Suspicion {
	var out []Suspicion
	for _, e := range v.table.entries {
		if e.state == unreachable && len(out) < v.config.MaxTombstonesPerShuffle {
			out = append(out, Suspicion{Incarnation: e.Incarnation, Address: e.Address, Heartbeat: e.Heartbeat})
		}
	}
	return out
}

// hasUnreachable reports whether any member is unreachable.
func (v *View) hasUnreachable() bool {
	return slices.ContainsFunc(v.table.entries, func(e *entry) bool { return e.state == unreachable })
}

// mergeSuspicion merges a report that the sender can't reach a member. If this process doesn't know of a newer heartbeat of the member, it
// asks the member for one. The newer heartbeat is then an update, which the sender is sent next.
func (v *View) mergeSuspicion(sender *Member, suspicion *Suspicion) {
	if suspicion.Incarnation == v.self.Incarnation {
		v.self.Heartbeat = max(v.self.Heartbeat, suspicion.Heartbeat+1)
		return
	}
	e := v.table.byIncarnation[suspicion.Incarnation]
	if e == nil || e.state == unreachable {
		return
	}
	switch {
	case e.Heartbeat > suspicion.Heartbeat:
		e.transmits = 0 // the sender lacks the heartbeat that is known here, so it is sent as an update
	case e.dispute.heartbeat < suspicion.Heartbeat:
		e.dispute = dispute{heartbeat: suspicion.Heartbeat, probeDue: true, answerAwaited: true}
	}
	if from := v.table.byIncarnation[sender.Incarnation]; from != nil {
		from.lastContacted = longAgo
	}
}

// expireMembers removes members that have been unreachable for DisconnectGrace or whose heartbeats have reached the failure time-out, and
// makes those suspected whose heartbeats have reached the suspicion time-out.
func (v *View) expireMembers(now time.Duration) {
	for i := len(v.table.entries) - 1; i >= 0; i-- { // from the end, as members are removed on the way
		member := v.table.entries[i]
		if member.state == unreachable {
			if now-member.stateSince >= v.config.DisconnectGrace {
				v.departUnreachable(now, member)
			}
			continue
		}
		age := now - max(v.lastKnownAlive(member), v.schedule.resumedAt)
		timeout := v.failureTimeout(&member.Member)
		switch {
		case age >= timeout:
			v.departTimedOut(now, member)
		case age >= timeout*v.config.SuspicionTimeout/v.config.FailureTimeout:
			member.transition(now, suspected)
		default:
			member.transition(now, alive) // also a suspected one, if the members of its zone agree (lastKnownAlive)
		}
	}
}

// departUnreachable removes a member to which a connection broke, and spreads a tombstone of it.
func (v *View) departUnreachable(now time.Duration, e *entry) {
	v.depart(now, e)
	v.tombstones.add(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat + v.heartbeatMargin(e), address: e.Address})
	v.schedule.lastRemoval = now
	v.noteUpdate(now)
}

// departTimedOut removes a member whose heartbeat is too old. Peers are notified by a tombstone if the member is of the own zone and the
// view is large; in a small one the heartbeat reaches the time-out at all peers.
func (v *View) departTimedOut(now time.Duration, e *entry) {
	v.depart(now, e)
	if e.Zone == v.self.Zone && v.isLarge() {
		v.tombstones.add(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat, address: e.Address})
	}
}

// heartbeatMargin returns the number that is added to the heartbeat in the tombstone of an unreachable member. Between lastSeen and the
// break of the connection the member may have raised its heartbeat without this process noticing, usually by one in a gossip interval,
// and peers may know the higher heartbeat. The tombstone is to hold for them, too, so the margin is 8 times that. A member that still
// runs is not harmed by a large margin: it refutes the tombstone by a heartbeat above it.
func (v *View) heartbeatMargin(e *entry) uint64 {
	return uint64(heartbeatMarginFactor * max(e.stateSince-e.lastSeen, 0) / v.config.GossipInterval)
}

// lastKnownAlive returns the time at which a member was last known to be alive, by its heartbeat or by agreement in its zone.
func (v *View) lastKnownAlive(e *entry) time.Duration {
	if at, ok := v.agreement.zoneAgreedAt[e.Zone]; ok && e.state != unreachable {
		return max(e.lastSeen, at)
	}
	return e.lastSeen
}

// failureTimeout returns the age of its heartbeat at which a member departs.
func (v *View) failureTimeout(m *Member) time.Duration {
	if m.Zone != v.self.Zone && (v.isLarge() || v.agreement.lastAgreed != 0) {
		return v.config.RemoteFailureTimeout
	}
	return v.config.FailureTimeout
}

// isLarge reports whether there are more members than two shuffles carry.
func (v *View) isLarge() bool { return len(v.table.entries) > 2*v.config.MaxMembersPerShuffle }

// restartTimeouts makes all time-outs start anew, as this process may have been frozen. The ages of heartbeats in shuffles are not
// affected.
func (v *View) restartTimeouts(now time.Duration) {
	v.schedule.resumedAt = now
	for _, e := range v.table.entries {
		if e.state != alive {
			e.stateSince = now
		}
	}
}
