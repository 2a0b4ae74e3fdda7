package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxPriorityTransmits is the number of times that the record of a member, or a tombstone, is sent as an update. Updates take precedence
// over other records. The number is twice that of the gossip intervals in which shuffles and their replies spread an update to a few
// hundred members.
const maxPriorityTransmits = 8

// newShuffle returns a shuffle for a peer in the given zone. newcomer means that the peer has just joined. A brief shuffle carries only
// updates, for a peer that already knows the other members.
func (v *View) newShuffle(now time.Duration, zone string, newcomer, brief bool) *Shuffle {
	shuffle := &Shuffle{From: v.self, AgreementAges: v.agreementAges(now), Unreachable: v.unreachableMembers()}
	shuffle.ZoneDigest, shuffle.SharedDigest = v.digests()
	all := slices.Clone(v.table.entries)
	if brief {
		all = slices.DeleteFunc(all, func(e *entry) bool { return e.transmits >= maxPriorityTransmits })
	}
	v.shuffleEntries(all)
	if len(all) > v.config.MaxMembersPerShuffle {
		all = v.selectMembers(all, zone, newcomer)
	}
	for _, e := range all {
		m := e.Member
		m.HeartbeatAge = max(now-v.lastKnownAlive(e), 0)
		if m.HeartbeatAge < v.failureTimeout(&m) {
			shuffle.Members = append(shuffle.Members, m)
			e.transmits++
		}
	}
	shuffle.Tombstones = v.selectTombstones(now, brief)
	return shuffle
}

// shuffleEntries puts entries into random order.
func (v *View) shuffleEntries(all []*entry) {
	v.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
}

// selectMembers selects up to MaxMembersPerShuffle members for a peer, depending on the peer's zone:
//   - If the peer is in this process's zone, at least half of the selected members are of that zone, if there are enough.
//   - If the peer is in another zone, most selected members are those of this process's zone that views of other zones hold, and some are
//     of the peer's zone, so that separated parts of that zone find each other again.
//   - If the peer is in another zone and has just joined, most selected members are of the peer's zone.
func (v *View) selectMembers(all []*entry, zone string, newcomer bool) []*entry {
	ownZone, peerZone, rest := v.splitByZone(all, zone)
	if zone != v.self.Zone {
		ownZone = v.membersHeldInOtherZones(ownZone)
	}
	limit := v.config.MaxMembersPerShuffle
	firstShare := limit * 3 / 4
	if zone == v.self.Zone && len(ownZone) <= 2*limit {
		firstShare = limit / 2 // in a larger zone, heartbeats would become too old with half of the shuffle
	}
	first, second := ownZone, peerZone
	if newcomer {
		first, second = peerZone, ownZone
	}
	// Capacity that one group can't fill is given to the other groups.
	count := min(max(firstShare, limit-len(second)-len(rest)), len(first))
	out := prioritize(first, count)
	remaining := limit - len(out)
	count = min(max(remaining/2, remaining-len(rest)), len(second))
	out = append(out, prioritize(second, count)...)
	remaining = limit - len(out)
	return append(out, prioritize(rest, min(remaining, len(rest)))...)
}

// splitByZone splits entries, in their order, into those of this process's zone, those of a peer's zone if it is a different one, and the
// rest.
func (v *View) splitByZone(all []*entry, zone string) (ownZone, peerZone, rest []*entry) {
	for _, e := range all {
		switch e.Zone {
		case v.self.Zone:
			ownZone = append(ownZone, e)
		case zone:
			peerZone = append(peerZone, e)
		default:
			rest = append(rest, e)
		}
	}
	return ownZone, peerZone, rest
}

// membersHeldInOtherZones returns the members of this process's zone that views of other zones hold, in random order. It includes an eighth
// more members, because views of other zones may lack some of the first ones.
func (v *View) membersHeldInOtherZones(own []*entry) []*entry {
	limit := v.config.MaxMembersPerRemoteZone + v.config.MaxMembersPerRemoteZone/8
	if len(own) <= limit {
		return own
	}
	slices.SortFunc(own, compareHash)
	own = own[:limit]
	v.shuffleEntries(own)
	return own
}

// prioritize selects count members of a list in random order. Updates come first, those that were sent least often before others. Of the
// remaining selection, half are the next members in the list, and half are those with the newest heartbeats. It reorders the list.
func prioritize(from []*entry, count int) []*entry {
	slices.SortStableFunc(from, func(a, b *entry) int {
		return cmp.Compare(min(a.transmits, maxPriorityTransmits), min(b.transmits, maxPriorityTransmits))
	})
	updates := 0
	for updates < count && from[updates].transmits < maxPriorityTransmits {
		updates++
	}
	byHeartbeat := from[updates+(count-updates)/2:]
	slices.SortFunc(byHeartbeat, func(a, b *entry) int { return cmp.Compare(b.lastSeen, a.lastSeen) })
	return from[:count]
}
