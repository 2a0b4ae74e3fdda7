package membership

import (
	"cmp"
	"slices"
	"time"
)

// newShuffle makes a message for a neighbour of a zone. unknown tells that the neighbour has just joined; a brief message carries
// only news, for neighbours that know the rest.
func (v *View) newShuffle(now time.Duration, zone string, unknown, brief bool) *Shuffle {
	s := &Shuffle{From: v.self, AgreementAges: v.agreementAges(now), Unreachable: v.unreachableMembers()}
	s.ZoneDigest, s.SharedDigest = v.digests()
	all := slices.Clone(v.entries)
	if brief {
		all = slices.DeleteFunc(all, func(e *entry) bool { return e.transmits >= maxPriorityTransmits })
	}
	v.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) > v.config.MaxMembersPerShuffle {
		all = v.selectMembers(all, zone, unknown)
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

// selectMembers takes as many members as a shuffle carries. A neighbour in the own zone gets members of that zone for half of it or
// more. One of another zone gets mostly those of the own zone that other zones keep, and some of its own zone, lest that zone
// fall into parts which other zones know of; a neighbour that has just joined gets mostly members of its zone.
func (v *View) selectMembers(all []*entry, zone string, unknown bool) []*entry {
	var own, theirs, rest []*entry
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
	want, kept := v.config.MaxMembersPerShuffle, v.config.MaxMembersPerRemoteZone+v.config.MaxMembersPerRemoteZone/8
	if zone != v.self.Zone && len(own) > kept {
		slices.SortFunc(own, compareHash)
		own = own[:kept]
		v.rng.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	}
	first, second, third := own, theirs, rest
	if unknown {
		first, second = theirs, own
	}
	share := want * 3 / 4
	if zone == v.self.Zone && len(own) <= 2*want {
		share = want / 2 // a large zone needs more, to be fresh
	}
	out := prioritize(first, min(max(share, want-len(second)-len(third)), len(first)))
	out = append(out, prioritize(second, min(max((want-len(out))/2, want-len(out)-len(third)), len(second)))...)
	return append(out, prioritize(third, min(want-len(out), len(third)))...)
}

// maxPriorityTransmits is how often a member or an end is sent before all else: twice the rounds that news takes through a few hundred
// members by shuffles and their replies.
const maxPriorityTransmits = 8

// prioritize takes n of a list in random order: first those that were sent least while they are news; of the rest one half as they
// lie, and the other half by the newest heartbeats.
func prioritize(from []*entry, n int) []*entry {
	slices.SortStableFunc(from, func(a, b *entry) int {
		return cmp.Compare(min(a.transmits, maxPriorityTransmits), min(b.transmits, maxPriorityTransmits))
	})
	news := 0
	for news < n && from[news].transmits < maxPriorityTransmits {
		news++
	}
	half := from[news+(n-news)/2:]
	slices.SortFunc(half, func(a, b *entry) int { return cmp.Compare(b.lastSeen, a.lastSeen) })
	return from[:n]
}

// selectTombstones takes the ends that were sent least.
func (v *View) selectTombstones(now time.Duration, brief bool) (out []Tombstone) {
	lives := slices.DeleteFunc(slices.Clone(v.tombstoneOrder), func(life uint64) bool {
		return now-v.tombstones[life].recordedAt >= 2*v.config.FailureTimeout || brief && v.tombstones[life].transmits >= maxPriorityTransmits
	})
	slices.SortStableFunc(lives, func(a, b uint64) int { return cmp.Compare(v.tombstones[a].transmits, v.tombstones[b].transmits) })
	for _, life := range lives[:min(len(lives), v.config.MaxTombstonesPerShuffle)] {
		d := v.tombstones[life]
		d.transmits++
		v.tombstones[life] = d
		out = append(out, Tombstone{Incarnation: life, Address: d.address, Heartbeat: d.heartbeat})
	}
	return out
}
