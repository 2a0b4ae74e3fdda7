package membership

import (
	"cmp"
	"slices"
	"time"
)

// shuffle makes a message for a neighbour of a zone. unknown tells that the neighbour has just joined; a brief message carries
// only news, for neighbours that know the rest.
func (v *View) shuffle(now time.Duration, zone string, unknown, brief bool) *Shuffle {
	s := &Shuffle{From: v.self, Ages: v.ages(now), Doubts: v.doubts()}
	s.Own, s.All = v.digests()
	all := slices.Clone(v.all)
	if brief {
		all = slices.DeleteFunc(all, func(e *entry) bool { return e.timesSent >= newsTold })
	}
	v.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) > v.bounds.Carry {
		all = v.choose(all, zone, unknown)
	}
	for _, e := range all {
		m := e.Member
		m.Age = max(now-v.seen(e), 0)
		if m.Age < v.patience(&m) {
			s.Members = append(s.Members, m)
			e.timesSent++
		}
	}
	s.Gone = v.gone(now, brief)
	return s
}

// choose takes as many members as a shuffle carries. A neighbour in the own zone gets members of that zone for half of it or
// more. One of another zone gets mostly those of the own zone that other zones keep, and some of its own zone, lest that zone
// fall into parts which other zones know of; a neighbour that has just joined gets mostly members of its zone.
func (v *View) choose(all []*entry, zone string, unknown bool) []*entry {
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
	want, kept := v.bounds.Carry, v.bounds.Other+v.bounds.Other/8
	if zone != v.self.Zone && len(own) > kept {
		slices.SortFunc(own, before)
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
	out := newest(first, min(max(share, want-len(second)-len(third)), len(first)))
	out = append(out, newest(second, min(max((want-len(out))/2, want-len(out)-len(third)), len(second)))...)
	return append(out, newest(third, min(want-len(out), len(third)))...)
}

// newsTold is how often a member or an end is sent before all else: twice the rounds that news takes through a few hundred
// members by shuffles and their replies.
const newsTold = 8

// newest takes n of a list in random order: first those that were sent least while they are news; of the rest one half as they
// lie, and the other half by the newest heartbeats.
func newest(from []*entry, n int) []*entry {
	slices.SortStableFunc(from, func(a, b *entry) int { return cmp.Compare(min(a.timesSent, newsTold), min(b.timesSent, newsTold)) })
	news := 0
	for news < n && from[news].timesSent < newsTold {
		news++
	}
	half := from[news+(n-news)/2:]
	slices.SortFunc(half, func(a, b *entry) int { return cmp.Compare(b.seen, a.seen) })
	return from[:n]
}

// gone takes the ends that were sent least.
func (v *View) gone(now time.Duration, brief bool) (out []Gone) {
	lives := slices.DeleteFunc(slices.Clone(v.endedOrder), func(life uint64) bool {
		return now-v.endedLives[life].at >= 2*v.bounds.Drop || brief && v.endedLives[life].timesSent >= newsTold
	})
	slices.SortStableFunc(lives, func(a, b uint64) int { return cmp.Compare(v.endedLives[a].timesSent, v.endedLives[b].timesSent) })
	for _, life := range lives[:min(len(lives), v.bounds.Told)] {
		d := v.endedLives[life]
		d.timesSent++
		v.endedLives[life] = d
		out = append(out, Gone{Life: life, Address: d.address, Heartbeat: d.heartbeat})
	}
	return out
}
