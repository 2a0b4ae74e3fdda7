package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxPriorityTransmits is how often a member or a tombstone is sent before all else: twice the gossip intervals that an update takes
// through a few hundred members by shuffles and their replies.
const maxPriorityTransmits = 8

// newShuffle makes a message for a peer of a zone. newcomer says that the peer has just joined; a brief message carries only updates, for
// peers that know the rest.
func (v *View) newShuffle(now time.Duration, zone string, newcomer, brief bool) *Shuffle {
	s := &Shuffle{From: v.self, AgreementAges: v.agreementAges(now), Unreachable: v.unreachableMembers()}
	s.ZoneDigest, s.SharedDigest = v.digests()
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
			s.Members = append(s.Members, m)
			e.transmits++
		}
	}
	s.Tombstones = v.selectTombstones(now, brief)
	return s
}

func (v *View) shuffleEntries(all []*entry) {
	v.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
}

// selectMembers takes as many members as a shuffle carries. A peer in the own zone gets members of that zone for half of it or more.
// One of another zone gets mostly those of the own zone that other zones keep, and some of its own zone, lest that zone fall into
// partitions which other zones know of; a peer that has just joined gets mostly members of its zone.
func (v *View) selectMembers(all []*entry, zone string, newcomer bool) []*entry {
	own, theirs, rest := v.splitByZone(all, zone)
	if zone != v.self.Zone {
		own = v.thoseKeptElsewhere(own)
	}
	limit := v.config.MaxMembersPerShuffle
	firstShare := limit * 3 / 4
	if zone == v.self.Zone && len(own) <= 2*limit {
		firstShare = limit / 2 // a larger zone needs more, to be fresh
	}
	first, second := own, theirs
	if newcomer {
		first, second = theirs, own
	}
	// What one group can't fill goes to the others.
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

// thoseKeptElsewhere takes the members of the own zone that other zones keep, and a few more in case these lack some, in random order.
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

// prioritize takes count of a list in random order: first those that were sent least while they are updates; of the rest one half as
// they lie, and the other half by the newest heartbeats.
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
