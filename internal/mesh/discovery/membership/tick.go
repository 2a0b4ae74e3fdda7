package membership

import (
	"slices"
	"time"
)

// Tick gives the addresses to shuffle with now, and the message for them. It may be called at any time.
func (v *View) Tick(now time.Duration) (to []string, s *Shuffle) {
	if !v.ticked || now-v.lastTick > v.config.FreezeThreshold {
		v.restartTimeouts(now)
	}
	v.ticked, v.lastTick = true, now
	v.expireMembers(now)
	zone := v.self.Zone
	if now >= v.nextGossip {
		to, zone = v.beginExchange(now)
	}
	to = append(to, v.reconnectRecent(now)...)
	for i := range v.reappeared {
		to = append(to, v.reappeared[i].Address)
	}
	to, raise := v.contactUnreachable(now, to)
	if len(to) == 0 {
		return nil, nil
	}
	slices.Sort(to)
	s = v.newShuffle(now, zone, false, v.isQuiet(now))
	s.RaiseHeartbeat, s.Tombstones, v.reappeared = raise, append(s.Tombstones, v.reappeared...), nil
	return slices.Compact(to), s
}

// beginExchange gives the neighbours of a regular shuffle, and the zone of the first.
func (v *View) beginExchange(now time.Duration) (to []string, zone string) {
	v.nextGossip, v.lastGossip = now+v.jitter(v.gossipInterval(now)), now
	v.self.Heartbeat++
	zone = v.self.Zone
	if first := v.firstPeer(now); first != nil {
		to, zone = v.contact(now, to, first), first.Zone
	}
	for range v.extraPeers(now) {
		if e := v.leastRecentPeer(alive); e != nil {
			to = v.contact(now, to, e)
		}
	}
	if e := v.leastRecentPeer(suspected); e != nil { // after a cut these lead to the other part
		to = v.contact(now, to, e)
	}
	to = append(to, v.contactSeeds(now)...)
	return append(to, v.reconnectAny(now)...), zone
}

// contactSeeds gives all seeds at the start, and one while few members are known.
func (v *View) contactSeeds(now time.Duration) []string {
	switch {
	case !v.seedsContacted:
		v.seedsContacted, v.nextReconnect = true, now+v.jitter(v.config.ReconnectInterval)
		return v.withoutSelf(v.seeds)
	case len(v.byIncarnation) < v.config.BootstrapThreshold && len(v.seeds) > 0:
		return v.withoutSelf([]string{v.seeds[v.rng.IntN(len(v.seeds))]})
	}
	return nil
}

// contactUnreachable adds the members to which a connection broke, again and again, and those that another member can't reach; these
// are to raise their heartbeats.
func (v *View) contactUnreachable(now time.Duration, to []string) (all []string, raise bool) {
	for _, e := range v.entries {
		if e.state == unreachable && now-e.lastContacted >= v.config.GossipInterval/2 || e.probeDue {
			to = v.contact(now, to, e)
			e.probeDue, raise = false, true
		}
	}
	return to, raise
}

func (v *View) contact(now time.Duration, to []string, e *entry) []string {
	e.lastContacted = now
	return append(to, e.Address)
}

func (v *View) withoutSelf(addrs []string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == v.self.Address })
}

// restartTimeouts has all ages count from now, as this process may have been frozen; the ages that it sends to others stay as they are.
func (v *View) restartTimeouts(now time.Duration) {
	v.resumedAt = now
	for _, e := range v.entries {
		if e.state != alive {
			e.stateSince = now
		}
	}
}

func (v *View) expireMembers(now time.Duration) {
	for i := len(v.entries) - 1; i >= 0; i-- {
		e := v.entries[i]
		age := now - max(v.lastKnownAlive(e), v.resumedAt)
		switch {
		case e.state == unreachable && now-e.stateSince >= v.config.DisconnectGrace:
			v.depart(now, e)
			v.addTombstone(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat + v.heartbeatMargin(e), address: e.Address})
			v.lastRemoval = now
			v.noteUpdate(now, &v.lastUpdate)
		case e.state == unreachable:
		case age >= v.failureTimeout(&e.Member):
			v.depart(now, e)
			if e.Zone == v.self.Zone && v.isLarge() { // else each member finds out by itself
				v.addTombstone(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat, address: e.Address})
			}
		case age >= v.failureTimeout(&e.Member)*v.config.SuspicionTimeout/v.config.FailureTimeout:
			e.transition(now, suspected)
		default:
			e.transition(now, alive) // its zone's members agree on it
		}
	}
}

// isLarge reports whether there are more members than a shuffle carries twice.
func (v *View) isLarge() bool { return len(v.entries) > 2*v.config.MaxMembersPerShuffle }

// failureTimeout is the age at which a member is dropped.
func (v *View) failureTimeout(m *Member) time.Duration {
	if m.Zone != v.self.Zone && (v.isLarge() || v.agreement.lastAgreed != 0) {
		return v.config.RemoteFailureTimeout
	}
	return v.config.FailureTimeout
}

// extraPeers is how many more neighbours are asked while there is news: members that are new or gone, or the own start.
func (v *View) extraPeers(now time.Duration) int {
	switch {
	case v.self.Heartbeat <= 4:
		return 2
	case now-v.lastRemoval < 2*v.config.GossipInterval:
		return 3
	case now-v.lastUpdate < 3*v.config.GossipInterval:
		return 1
	}
	return 0
}

// leastRecentPeer is the member in a state that was asked least recently; with many members mostly one of the own zone.
func (v *View) leastRecentPeer(in state) (best *entry) {
	near := len(v.entries) > v.config.MaxMembersPerShuffle && v.rng.IntN(4) > 0
	for _, only := range []bool{near, false} {
		for _, e := range v.entries {
			if e.state == in && (!only || e.Zone == v.self.Zone) && (best == nil || e.lastContacted < best.lastContacted) {
				best = e
			}
		}
		if best != nil {
			break
		}
	}
	return best
}
