package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxPriorityTransmits is how often the record of a member, or a tombstone, is sent as an update, which is before all others. It is twice
// the number of gossip intervals in which shuffles and their replies spread an update to a few hundred members.
const maxPriorityTransmits = 8

// newShuffle returns a shuffle for a peer of a zone. newcomer means that the peer has just joined. A brief shuffle carries only updates,
// for a peer that knows the other members.
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

// selectMembers selects as many members as a shuffle carries, which depend on the zone of the peer:
//   - A peer of the own zone is sent members of that zone for at least half of the shuffle.
//   - A peer of another zone is sent mostly those members of the own zone that views of other zones hold, and some members of its own zone:
//     parts of a zone that have lost each other find each other again that way.
//   - A peer of another zone that has just joined is sent mostly members of its own zone.
func (v *View) selectMembers(all []*entry, zone string, newcomer bool) []*entry {
	own, theirs, rest := v.splitByZone(all, zone)
	if zone != v.self.Zone {
		own = v.thoseKeptElsewhere(own)
	}
	limit := v.config.MaxMembersPerShuffle
	firstShare := limit * 3 / 4
	if zone == v.self.Zone && len(own) <= 2*limit {
		firstShare = limit / 2 // a larger zone needs the larger share, as its heartbeats would become too old
	}
	first, second := own, theirs
	if newcomer {
		first, second = theirs, own
	}
	// The part of the shuffle that one group can't fill goes to the others.
	count := min(max(firstShare, limit-len(second)-len(rest)), len(first))
	out := prioritize(first, count)
	left := limit - len(out)
	count = min(max(left/2, left-len(rest)), len(second))
	out = append(out, prioritize(second, count)...)
	left = limit - len(out)
	return append(out, prioritize(rest, min(left, len(rest)))...)
}

// splitByZone splits entries, in their order, into those of the own zone, those of a peer's zone, if that is another one, and the rest.
func (v *View) splitByZone(all []*entry, zone string) (own, theirs, rest []*entry) {
	for _, e := range all {
		switch e.Zone {
		case v.self.Zone:
			own = append(own, e)
		case zone:
			theirs = append(theirs, e)
		default:
			rest = append(rest, e)
		}
	}
	return own, theirs, rest
}

// thoseKeptElsewhere returns the members of the own zone that views of other zones hold, and a few more in case some of these are unknown
// there, in random order.
func (v *View) thoseKeptElsewhere(own []*entry) []*entry {
	kept := v.config.MaxMembersPerRemoteZone + v.config.MaxMembersPerRemoteZone/8
	if len(own) <= kept {
		return own
	}
	slices.SortFunc(own, compareHash)
	own = own[:kept]
	v.shuffleEntries(own)
	return own
}

// prioritize selects count members of a list that is in random order: first updates, those that were sent least often before others. Half
// of the remaining ones are the next in the list, and half those with the newest heartbeats.
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
