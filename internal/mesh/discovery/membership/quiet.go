package membership

import (
	"slices"
	"time"
)

// While there is no news, neighbours compare digests of the lives that they know, and send nothing else. A process that agrees
// with a member of a zone takes that zone's members for alive: each of them is watched by a few others over connections that are
// kept, and one that loses such a connection asks other members, and then spreads the end as news.

// replacedHeartbeatMargin is added to the heartbeat of a life when the life that replaced it at its address has sent a message itself.
const replacedHeartbeatMargin = 1 << 20

// agreement is what a view knows of agreement.
type agreement struct {
	lastAgreed               time.Duration            // last time a neighbour's digests were the own ones; 0 for never
	lastDiffered             time.Duration            // last time they were not, or a connection broke
	zoneAgreedAt             map[string]time.Duration // when a zone's members were last known to agree, by zone
	current                  bool                     // what follows is as the members are now
	zoneDigest, sharedDigest uint64
	zones                    []string
	monitored                []*entry
	monitorTurn              int
	changeCount              uint64
}

func newAgreement() agreement {
	return agreement{zoneAgreedAt: map[string]time.Duration{}, lastDiffered: -time.Hour}
}

// noteUpdate notes news at one of the view's times; the first news after a while is sent at once.
func (v *View) noteUpdate(now time.Duration, what *time.Duration) {
	if v.isQuiet(now) || what == &v.lastUpdate && now-v.lastUpdate > v.config.GossipInterval && now-v.lastGossip > v.config.GossipInterval/4 {
		v.nextGossip = min(v.nextGossip, now)
	}
	*what = now
}

// isQuiet reports whether there has been no news for a while.
func (v *View) isQuiet(now time.Duration) bool {
	return v.agreement.lastAgreed != 0 && now-v.agreement.lastAgreed < v.config.FailureTimeout && now-max(v.lastUpdate, v.agreement.lastDiffered) >= v.config.QuietAfter &&
		!slices.ContainsFunc(v.entries, func(e *entry) bool { return e.state == unreachable })
}

// gossipInterval is the time between two shuffles; it grows with the time since the last news.
func (v *View) gossipInterval(now time.Duration) time.Duration {
	if !v.isQuiet(now) {
		return v.config.GossipInterval
	}
	return max(v.config.GossipInterval, min(v.config.QuietGossipInterval, (now-max(v.lastUpdate, v.agreement.lastDiffered))/4))
}

// firstPeer is the member to shuffle with first: while calm, watched members in turn with all others.
func (v *View) firstPeer(now time.Duration) *entry {
	if v.isQuiet(now) {
		v.refreshAgreement()
		if v.agreement.monitorTurn++; v.agreement.monitorTurn%2 == 0 && len(v.agreement.monitored) > 0 {
			return v.agreement.monitored[v.agreement.monitorTurn/2%len(v.agreement.monitored)]
		}
	}
	return v.leastRecentPeer(alive)
}

// refreshAgreement works out what depends on who is there.
func (v *View) refreshAgreement() {
	q := &v.agreement
	if q.current {
		return
	}
	q.current, q.zoneDigest, q.sharedDigest, q.zones, q.monitored = true, 0, 0, q.zones[:0], nil
	zone, all, zones := []*entry{}, v.eligibleOwners(), map[string]bool{}
	for _, e := range all {
		if e.Role != RoleCore {
			q.sharedDigest += e.hash
		}
	}
	for _, e := range v.hashOrder {
		if e.Role == RoleCore {
			q.sharedDigest += e.hash
		}
		if e.Zone == v.self.Zone {
			q.zoneDigest += e.hash
			zone = append(zone, e)
		}
		if !zones[e.Zone] {
			zones[e.Zone] = true
			q.zones = append(q.zones, e.Zone)
		}
	}
	slices.Sort(q.zones)
	v.addMonitored(zone)
	v.addMonitored(all)
}

// invalidate has what depends on the members worked out anew.
func (v *View) invalidate() {
	v.eligible, v.agreement.current = nil, false
	v.agreement.changeCount++
}

// addMonitored takes those that follow this process in a ring.
func (v *View) addMonitored(ring []*entry) {
	i := slices.IndexFunc(ring, func(e *entry) bool { return e.Incarnation == v.self.Incarnation })
	for n := 1; i >= 0 && n <= min(v.config.MonitoredPeers, len(ring)-1); n++ {
		if e := ring[(i+n)%len(ring)]; !slices.Contains(v.agreement.monitored, e) {
			v.agreement.monitored = append(v.agreement.monitored, e)
		}
	}
}

// digests are sums over lives: of the own zone, and of those that every view is to hold.
func (v *View) digests() (own, all uint64) {
	v.refreshAgreement()
	return v.agreement.zoneDigest, v.agreement.sharedDigest
}

// lastSeen is when a member was last known to be alive, by its heartbeat or by agreement in its zone.
func (v *View) lastKnownAlive(e *entry) time.Duration {
	if at, ok := v.agreement.zoneAgreedAt[e.Zone]; ok && e.state != unreachable {
		return max(e.lastSeen, at)
	}
	return e.lastSeen
}

// agreementAges are of the zones in order; at 255 it is not known.
func (v *View) agreementAges(now time.Duration) []byte {
	v.refreshAgreement()
	out := make([]byte, len(v.agreement.zones))
	for i, zone := range v.agreement.zones {
		out[i] = 255
		if at, ok := v.agreement.zoneAgreedAt[zone]; ok {
			out[i] = byte(min(255, (now-at+499*time.Millisecond)/(500*time.Millisecond)))
		}
	}
	return out
}

// compareDigests reports whether a neighbour knows the same lives; these are then taken for alive.
func (v *View) compareDigests(now time.Duration, s *Shuffle) bool {
	own, all := v.digests()
	if s.SharedDigest != all || s.From.Zone == v.self.Zone && s.ZoneDigest != own {
		if e := v.byIncarnation[s.From.Incarnation]; e != nil && s.Reply && v.isQuiet(now) {
			e.lastContacted = -time.Hour // what was sent was brief: it is told next what it lacks
		}
		v.noteUpdate(now, &v.agreement.lastDiffered)
		return false
	}
	q := &v.agreement
	q.lastAgreed = now
	for i, zone := range q.zones {
		at, ok := q.zoneAgreedAt[zone]
		switch {
		case zone == s.From.Zone:
			q.zoneAgreedAt[zone] = now
		case zone != v.self.Zone && len(s.AgreementAges) == len(q.zones) && s.AgreementAges[i] < 255:
			if told := now - time.Duration(s.AgreementAges[i])*500*time.Millisecond; !ok || told > at {
				q.zoneAgreedAt[zone] = told
			}
		}
	}
	return true
}

// unreachableMembers are those that this process can't reach.
func (v *View) unreachableMembers() (out []Tombstone) {
	for _, e := range v.entries {
		if e.state == unreachable && len(out) < v.config.MaxTombstonesPerShuffle {
			out = append(out, Tombstone{Incarnation: e.Incarnation, Address: e.Address, Heartbeat: e.Heartbeat})
		}
	}
	return out
}

// disputedHeartbeat takes note that another member can't reach a life: the life is asked, and its answer is news for that member.
func (v *View) receiveSuspicion(_ time.Duration, who *Member, d *Tombstone) {
	if d.Incarnation == v.self.Incarnation {
		v.self.Heartbeat = max(v.self.Heartbeat, d.Heartbeat+1)
		return
	}
	e := v.byIncarnation[d.Incarnation]
	if e == nil || e.state == unreachable {
		return
	}
	switch {
	case e.Heartbeat > d.Heartbeat:
		e.transmits = 0
	case e.disputedHeartbeat < d.Heartbeat:
		e.disputedHeartbeat, e.probeDue, e.answerAwaited = d.Heartbeat, true, true
	}
	if w := v.byIncarnation[who.Incarnation]; w != nil {
		w.lastContacted = -time.Hour
	}
}

// heartbeatMargin is more than a lost member can have raised its heartbeat by, unheard of here, before it was lost: members
// that heard so take its end too. If it is alive, it raises its heartbeat above that as soon as it hears of its end.
func (v *View) heartbeatMargin(e *entry) uint64 {
	return uint64(8 * max(e.stateSince-e.lastSeen, 0) / v.config.GossipInterval)
}
