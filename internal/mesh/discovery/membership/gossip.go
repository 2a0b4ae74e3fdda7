package membership

import (
	"slices"
	"time"
)

// startupHeartbeats is the heartbeat up to which a process counts as just started, and sends its shuffles to more peers.
const startupHeartbeats = 4

// Tick advances the view to a time. It returns a shuffle that is to be sent now, and the addresses to send it to, sorted; both are nil if
// none is due. It may be called at any time, and is to be called at NextTick, after other calls on the view, and at least every second.
func (v *View) Tick(now time.Duration) (to []string, shuffle *Shuffle) {
	if !v.schedule.started || now-v.schedule.lastTick > v.config.FreezeThreshold {
		v.restartTimeouts(now)
	}
	v.schedule.started = true
	v.schedule.lastTick = now
	v.expireMembers(now)

	zone := v.self.Zone
	if now >= v.schedule.nextGossip {
		to, zone = v.beginExchange(now)
	}
	to = append(to, v.reconnectRecent(now)...)
	for i := range v.reappeared {
		to = append(to, v.reappeared[i].Address)
	}
	to, raiseHeartbeat := v.contactUnreachable(now, to)
	if len(to) == 0 {
		return nil, nil
	}
	slices.Sort(to)
	shuffle = v.newShuffle(now, zone, false, v.isQuiet(now))
	shuffle.RaiseHeartbeat = raiseHeartbeat
	shuffle.Tombstones = append(shuffle.Tombstones, v.reappeared...)
	v.reappeared = nil
	return slices.Compact(to), shuffle
}

// beginExchange returns the addresses that a regular shuffle goes to, and the zone of the first peer among them.
func (v *View) beginExchange(now time.Duration) (to []string, zone string) {
	v.schedule.nextGossip = now + v.jitter(v.gossipInterval(now))
	v.schedule.lastGossip = now
	v.self.Heartbeat++
	zone = v.self.Zone
	if first := v.firstPeer(now); first != nil {
		to = v.contact(now, to, first)
		zone = first.Zone
	}
	for range v.extraPeers(now) {
		if e := v.leastRecentPeer(alive); e != nil {
			to = v.contact(now, to, e)
		}
	}
	if e := v.leastRecentPeer(suspected); e != nil { // it may be reachable again after a partition
		to = v.contact(now, to, e)
	}
	to = append(to, v.contactSeeds(now)...)
	return append(to, v.reconnectAny(now)...), zone
}

// contact appends the address of a member that is sent a shuffle now.
func (v *View) contact(now time.Duration, to []string, e *entry) []string {
	e.lastContacted = now
	return append(to, e.Address)
}

// contactUnreachable appends the unreachable members, every half GossipInterval, and those that another process reports as unreachable or
// ended. If there are any, the shuffle asks its receivers to raise their heartbeats.
func (v *View) contactUnreachable(now time.Duration, to []string) (all []string, raiseHeartbeat bool) {
	for _, e := range v.table.entries {
		retry := e.state == unreachable && now-e.lastContacted >= v.config.GossipInterval/2
		if retry || e.dispute.probeDue {
			to = v.contact(now, to, e)
			e.dispute.probeDue = false
			raiseHeartbeat = true
		}
	}
	return to, raiseHeartbeat
}

// firstPeer returns the first peer of a regular shuffle: while the view is quiet a monitored member every other time, else the alive
// member that was contacted least recently.
func (v *View) firstPeer(now time.Duration) *entry {
	if v.isQuiet(now) {
		v.refreshAgreement()
		if monitored := v.agreement.nextMonitored(); monitored != nil {
			return monitored
		}
	}
	return v.leastRecentPeer(alive)
}

// extraPeers returns the number of further peers of a regular shuffle: there are some after the start and while there are updates.
func (v *View) extraPeers(now time.Duration) int {
	switch {
	case v.self.Heartbeat <= startupHeartbeats:
		return 2
	case now-v.schedule.lastRemoval < 2*v.config.GossipInterval:
		return 3
	case now-v.schedule.lastUpdate < 3*v.config.GossipInterval:
		return 1
	}
	return 0
}

// leastRecentPeer returns the member in a state that was contacted least recently, or nil. With many members it is mostly one of the own
// zone.
func (v *View) leastRecentPeer(in state) *entry {
	if len(v.table.entries) > v.config.MaxMembersPerShuffle && v.rng.IntN(4) > 0 {
		ofOwnZone := func(e *entry) bool { return e.state == in && e.Zone == v.self.Zone }
		if e := v.leastRecent(ofOwnZone); e != nil {
			return e
		}
	}
	return v.leastRecent(func(e *entry) bool { return e.state == in })
}

// leastRecent returns the member that was contacted least recently, of those for which among is true, or nil.
func (v *View) leastRecent(among func(*entry) bool) (best *entry) {
	for _, e := range v.table.entries {
		if among(e) && (best == nil || e.lastContacted < best.lastContacted) {
			best = e
		}
	}
	return best
}
