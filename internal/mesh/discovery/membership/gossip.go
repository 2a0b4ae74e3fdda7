package membership

import (
	"slices"
	"time"
)

// startupHeartbeats is the heartbeat up to which a process counts as just started. Until then it sends its shuffles to more peers.
const startupHeartbeats = 4

// Tick advances the view to the given time. It returns a shuffle to send now, and the sorted addresses to send it to; both are nil if no
// shuffle is due. It may be called at any time. It must be called at NextTick, after other calls on the view, and at least every second.
func (v *View) Tick(now time.Duration) (to []string, shuffle *Shuffle) {
	if !v.schedule.started || now-v.schedule.lastTick > v.config.FreezeThreshold {
		v.restartTimeouts(now)
	}
	v.schedule.started = true
	v.schedule.lastTick = now
	v.expireMembers(now)

	zone := v.self.Zone
	if now >= v.schedule.nextGossip {
		to, zone = v.beginRegularShuffle(now)
	}
	to = append(to, v.reconnectRecent(now)...)
	for i := range v.reappearedTombstones {
		to = append(to, v.reappearedTombstones[i].Address)
	}
	to, raiseHeartbeat := v.contactUnreachable(now, to)
	if len(to) == 0 {
		return nil, nil
	}
	slices.Sort(to)
	shuffle = v.newShuffle(now, zone, false, v.isQuiet(now))
	shuffle.RaiseHeartbeat = raiseHeartbeat
	shuffle.Tombstones = append(shuffle.Tombstones, v.reappearedTombstones...)
	v.reappearedTombstones = nil
	return slices.Compact(to), shuffle
}

// beginRegularShuffle starts a regular shuffle: it raises the heartbeat of this process and schedules the next regular shuffle. It returns
// the addresses of the shuffle's receivers, and the zone of the first receiver.
func (v *View) beginRegularShuffle(now time.Duration) (to []string, zone string) {
	v.schedule.nextGossip = now + v.jitter(v.gossipInterval(now))
	v.schedule.lastGossip = now
	v.self.Heartbeat++
	zone = v.self.Zone
	if first := v.firstPeer(now); first != nil {
		to = v.contact(now, to, first)
		zone = first.Zone
	}
	for range v.extraPeers(now) {
		if e := v.nextPeer(alive); e != nil {
			to = v.contact(now, to, e)
		}
	}
	if e := v.nextPeer(suspected); e != nil { // the member may be reachable again after a partition
		to = v.contact(now, to, e)
	}
	to = append(to, v.contactSeeds(now)...)
	return append(to, v.reconnectAny(now)...), zone
}

// contact appends the address of a member to the receivers of a shuffle, and records that the member is contacted now.
func (v *View) contact(now time.Duration, to []string, e *entry) []string {
	e.lastContacted = now
	return append(to, e.Address)
}

// contactUnreachable appends the addresses of the unreachable members, every half GossipInterval, and of the members that another process
// reports as unreachable or ended. If it appends any, the shuffle must ask its receivers to raise their heartbeats.
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

// firstPeer returns the first peer of a regular shuffle, or nil if there is none. At every other call while the view is quiet, that is a
// monitored member; otherwise nextPeer selects an alive member.
func (v *View) firstPeer(now time.Duration) *entry {
	if v.isQuiet(now) {
		v.refreshAgreement()
		if monitored := v.agreement.nextMonitored(); monitored != nil {
			return monitored
		}
	}
	return v.nextPeer(alive)
}

// extraPeers returns the number of additional peers of a regular shuffle. It is above 0 after the start and while there are updates.
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

// nextPeer returns the least recently contacted member in a state, or nil if there is none. If there are more members than a shuffle
// carries, it prefers members of this process's zone in three of four random cases.
func (v *View) nextPeer(in state) *entry {
	if len(v.table.entries) > v.config.MaxMembersPerShuffle && v.rng.IntN(4) > 0 {
		ofOwnZone := func(e *entry) bool { return e.state == in && e.Zone == v.self.Zone }
		if e := v.leastRecentlyContacted(ofOwnZone); e != nil {
			return e
		}
	}
	return v.leastRecentlyContacted(func(e *entry) bool { return e.state == in })
}

// leastRecentlyContacted returns the least recently contacted member of those for which include returns true, or nil if there is none.
func (v *View) leastRecentlyContacted(include func(*entry) bool) (oldest *entry) {
	for _, e := range v.table.entries {
		if include(e) && (oldest == nil || e.lastContacted < oldest.lastContacted) {
			oldest = e
		}
	}
	return oldest
}
