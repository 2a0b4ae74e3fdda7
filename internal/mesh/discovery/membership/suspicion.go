package membership

import (
	"slices"
	"time"
)

// heartbeatMarginFactor is the ratio of heartbeatMargin to the expected number of times that the member raised its heartbeat unnoticed.
const heartbeatMarginFactor = 8

// ConnectionLost makes the member at an address unreachable. It is called when a connection to the member breaks, or when the member
// doesn't answer pings. The member departs after DisconnectGrace unless its heartbeat advances.
func (v *View) ConnectionLost(now time.Duration, address string) {
	e := v.table.byAddress[address]
	if e == nil || e.state == unreachable {
		return
	}
	e.transition(now, unreachable)
	e.lastContacted = now - v.config.GossipInterval // makes the next Tick contact the member
	v.noteDifference(now)
}

// unreachableMembers returns the suspicions for a shuffle: one for each unreachable member, up to MaxTombstonesPerShuffle.
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

// mergeSuspicion merges a report that the sender can't reach a member. If this process doesn't know a newer heartbeat of the member than
// the sender, it asks the member for one. The newer heartbeat is sent as an update, and the sender is the next peer to receive it.
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
		e.transmits = 0 // the sender lacks the heartbeat known here, so the record becomes an update
	case e.dispute.heartbeat < suspicion.Heartbeat:
		e.dispute = dispute{heartbeat: suspicion.Heartbeat, probeDue: true, answerAwaited: true}
	}
	if from := v.table.byIncarnation[sender.Incarnation]; from != nil {
		from.lastContacted = longAgo
	}
}

// expireMembers removes members that have been unreachable for DisconnectGrace or whose heartbeats have reached the failure timeout.
// Members whose heartbeats have reached the suspicion timeout become suspected; others that aren't unreachable become alive.
func (v *View) expireMembers(now time.Duration) {
	for i := len(v.table.entries) - 1; i >= 0; i-- { // in reverse order, because the loop removes members
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
			member.transition(now, alive) // a suspected member also becomes alive if the members of its zone agree (lastKnownAlive)
		}
	}
}

// departUnreachable removes an unreachable member after DisconnectGrace, and adds a tombstone that notifies the peers.
func (v *View) departUnreachable(now time.Duration, e *entry) {
	v.depart(now, e)
	v.tombstones.add(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat + v.heartbeatMargin(e), address: e.Address})
	v.schedule.lastRemoval = now
	v.noteUpdate(now)
}

// departTimedOut removes a member whose heartbeat has reached the failure timeout. If the member is in this process's zone and the view
// is large, a tombstone notifies the peers; in a small view the heartbeat reaches the timeout at all peers anyway.
func (v *View) departTimedOut(now time.Duration, e *entry) {
	v.depart(now, e)
	if e.Zone == v.self.Zone && v.isLarge() {
		v.tombstones.add(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat, address: e.Address})
	}
}

// heartbeatMargin returns the number that is added to the heartbeat in the tombstone of an unreachable member. Between lastSeen and the
// break of the connection the member may have raised its heartbeat unnoticed by this process, usually by one in each gossip interval, and
// peers may know the higher heartbeat. The tombstone must cover that heartbeat too, so the margin is 8 times the expected number. A large
// margin doesn't harm a member that still runs, because the member refutes the tombstone with a heartbeat above it.
func (v *View) heartbeatMargin(e *entry) uint64 {
	return uint64(heartbeatMarginFactor * max(e.stateSince-e.lastSeen, 0) / v.config.GossipInterval)
}

// lastKnownAlive returns the time at which a member was last known to be alive: the time of its heartbeat or, unless the member is
// unreachable, of the last agreement in its zone, whichever is later.
func (v *View) lastKnownAlive(e *entry) time.Duration {
	if at, ok := v.agreement.zoneAgreedAt[e.Zone]; ok && e.state != unreachable {
		return max(e.lastSeen, at)
	}
	return e.lastSeen
}

// failureTimeout returns the age of a member's heartbeat at which the member departs.
func (v *View) failureTimeout(m *Member) time.Duration {
	if m.Zone != v.self.Zone && (v.isLarge() || v.agreement.lastAgreed != 0) {
		return v.config.RemoteFailureTimeout
	}
	return v.config.FailureTimeout
}

// isLarge reports whether the view has more members than two shuffles can carry.
func (v *View) isLarge() bool { return len(v.table.entries) > 2*v.config.MaxMembersPerShuffle }

// restartTimeouts restarts all timeouts, because this process may have been frozen. It doesn't affect the ages of heartbeats in shuffles.
func (v *View) restartTimeouts(now time.Duration) {
	v.schedule.resumedAt = now
	for _, e := range v.table.entries {
		if e.state != alive {
			e.stateSince = now
		}
	}
}
