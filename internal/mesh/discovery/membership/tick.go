package membership

import (
	"slices"
	"time"
)

// Tick gives the addresses to shuffle with now, and the message for them. It may be called at any time.
func (v *View) Tick(now time.Duration) (to []string, s *Shuffle) {
	if !v.ticked || now-v.last > v.bounds.Wake {
		v.wake(now)
	}
	v.ticked, v.last = true, now
	v.expire(now)
	zone := v.self.Zone
	if now >= v.next {
		to, zone = v.begin(now)
	}
	to = append(to, v.tryFormer(now)...)
	for i := range v.contradicted {
		to = append(to, v.contradicted[i].Address)
	}
	to, raise := v.askUnreached(now, to)
	if len(to) == 0 {
		return nil, nil
	}
	slices.Sort(to)
	s = v.shuffle(now, zone, false, v.calm(now))
	s.Anew, s.Gone, v.contradicted = raise, append(s.Gone, v.contradicted...), nil
	return slices.Compact(to), s
}

// begin gives the neighbours of a regular shuffle, and the zone of the first.
func (v *View) begin(now time.Duration) (to []string, zone string) {
	v.next, v.paced = now+v.vary(v.pace(now)), now
	v.self.Heartbeat++
	zone = v.self.Zone
	if first := v.first(now); first != nil {
		to, zone = v.ask(now, to, first), first.Zone
	}
	for range v.extraNeighbours(now) {
		if e := v.neighbour(fresh); e != nil {
			to = v.ask(now, to, e)
		}
	}
	if e := v.neighbour(suspected); e != nil { // after a cut these lead to the other part
		to = v.ask(now, to, e)
	}
	to = append(to, v.askSeeds(now)...)
	return append(to, v.tryFar(now)...), zone
}

// askSeeds gives all seeds at the start, and one while few members are known.
func (v *View) askSeeds(now time.Duration) []string {
	switch {
	case !v.joined:
		v.joined, v.far = true, now+v.vary(v.bounds.Far)
		return v.others(v.seeds)
	case len(v.members) < v.bounds.Small && len(v.seeds) > 0:
		return v.others([]string{v.seeds[v.rng.IntN(len(v.seeds))]})
	}
	return nil
}

// askUnreached adds the members to which a connection broke, again and again, and those that another member can't reach; these
// are to raise their heartbeats.
func (v *View) askUnreached(now time.Duration, to []string) (all []string, raise bool) {
	for _, e := range v.all {
		if e.state == missed && now-e.asked >= v.bounds.Pace/2 || e.doubted {
			to = v.ask(now, to, e)
			e.doubted, raise = false, true
		}
	}
	return to, raise
}

func (v *View) ask(now time.Duration, to []string, e *entry) []string {
	e.asked = now
	return append(to, e.Address)
}

func (v *View) others(addrs []string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == v.self.Address })
}

// wake has all ages count from now, as this process may have been frozen; the ages that it sends to others stay as they are.
func (v *View) wake(now time.Duration) {
	v.woken = now
	for _, e := range v.all {
		if e.state != fresh {
			e.since = now
		}
	}
}

func (v *View) expire(now time.Duration) {
	for i := len(v.all) - 1; i >= 0; i-- {
		e := v.all[i]
		age := now - max(v.seen(e), v.woken)
		switch {
		case e.state == missed && now-e.since >= v.bounds.Grace:
			v.drop(now, e)
			v.rememberEnd(now, e.Life, ended{heartbeat: e.Heartbeat + v.possibleHeartbeats(e), address: e.Address})
			v.ended = now
			v.noteNews(now, &v.news)
		case e.state == missed:
		case age >= v.patience(&e.Member):
			v.drop(now, e)
			if e.Zone == v.self.Zone && v.many() { // else each member finds out by itself
				v.rememberEnd(now, e.Life, ended{heartbeat: e.Heartbeat, address: e.Address})
			}
		case age >= v.patience(&e.Member)*v.bounds.Suspect/v.bounds.Drop:
			e.shift(now, suspected)
		default:
			e.shift(now, fresh) // its zone's members agree on it
		}
	}
}

// many reports whether there are more members than a shuffle carries twice.
func (v *View) many() bool { return len(v.all) > 2*v.bounds.Carry }

// patience is the age at which a member is dropped.
func (v *View) patience(m *Member) time.Duration {
	if m.Zone != v.self.Zone && (v.many() || v.quiet.agreed != 0) {
		return v.bounds.DropFar
	}
	return v.bounds.Drop
}

// extraNeighbours is how many more neighbours are asked while there is news: members that are new or gone, or the own start.
func (v *View) extraNeighbours(now time.Duration) int {
	switch {
	case v.self.Heartbeat <= 4:
		return 2
	case now-v.ended < 2*v.bounds.Pace:
		return 3
	case now-v.news < 3*v.bounds.Pace:
		return 1
	}
	return 0
}

// neighbour is the member in a state that was asked least recently; with many members mostly one of the own zone.
func (v *View) neighbour(in state) (best *entry) {
	near := len(v.all) > v.bounds.Carry && v.rng.IntN(4) > 0
	for _, only := range []bool{near, false} {
		for _, e := range v.all {
			if e.state == in && (!only || e.Zone == v.self.Zone) && (best == nil || e.asked < best.asked) {
				best = e
			}
		}
		if best != nil {
			break
		}
	}
	return best
}
