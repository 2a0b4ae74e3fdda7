package membership

import (
	"slices"
	"time"
)

// startupHeartbeats is the heartbeat up to which a process has just started, and asks more peers.
const startupHeartbeats = 4

// Tick returns the addresses to send a shuffle to now, in order, and the shuffle; without any, both are nil. It may be called at any
// time, and is to be called at NextTick, after other calls on the view, and at least every second.
func (v *View) Tick(now time.Duration) (to []string, s *Shuffle) {
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
	s = v.newShuffle(now, zone, false, v.isQuiet(now))
	s.RaiseHeartbeat = raiseHeartbeat
	s.Tombstones = append(s.Tombstones, v.reappeared...)
	v.reappeared = nil
	return slices.Compact(to), s
}

// beginExchange returns the peers of a regular shuffle, and the zone of the first.
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
	if e := v.leastRecentPeer(suspected); e != nil { // after a partition these lead to its other side
		to = v.contact(now, to, e)
	}
	to = append(to, v.contactSeeds(now)...)
	return append(to, v.reconnectAny(now)...), zone
}

// contact adds a member's address to those that a shuffle goes to.
func (v *View) contact(now time.Duration, to []string, e *entry) []string {
	e.lastContacted = now
	return append(to, e.Address)
}

// contactUnreachable adds the unreachable members, again and again, and those that another member can't reach; these are to raise
// their heartbeats.
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

// firstPeer is the member to shuffle with first: while the view is quiet, monitored members in turn with all others.
func (v *View) firstPeer(now time.Duration) *entry {
	if v.isQuiet(now) {
		v.refreshAgreement()
		if monitored := v.agreement.nextMonitored(); monitored != nil {
			return monitored
		}
	}
	return v.leastRecentPeer(alive)
}

// extraPeers is how many more peers are asked while there are updates, or when this process has just started.
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

// leastRecentPeer is the member in a state that was contacted least recently. With many members it is mostly one of the own zone.
func (v *View) leastRecentPeer(in state) *entry {
	if len(v.table.entries) > v.config.MaxMembersPerShuffle && v.rng.IntN(4) > 0 {
		ofOwnZone := func(e *entry) bool { return e.state == in && e.Zone == v.self.Zone }
		if e := v.leastRecent(ofOwnZone); e != nil {
			return e
		}
	}
	return v.leastRecent(func(e *entry) bool { return e.state == in })
}

// leastRecent is the member that was contacted least recently of those that among holds for, or nil.
func (v *View) leastRecent(among func(*entry) bool) (best *entry) {
	for _, e := range v.table.entries {
		if among(e) && (best == nil || e.lastContacted < best.lastContacted) {
			best = e
		}
	}
	return best
}
