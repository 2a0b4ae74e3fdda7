package membership

import (
	"slices"
	"time"
)

// While nothing happens, neighbours compare digests of the lives that they know, and say no more. Who agrees with a member of
// a zone takes that zone's members for alive: they are watched by some others each, by connections that are kept, and whoever
// loses one asks around and then tells its end as news.

// surely is added to the beat of a life that the one after it, by its own word, has ended.
const surely = 1 << 20

// quiet is what a view knows of agreement.
type quiet struct {
	agreed    time.Duration            // last time a neighbour's digests were the own ones; 0 for never
	differed  time.Duration            // last time they were not, or a connection broke
	confirmed map[string]time.Duration // when a zone's members were last known to agree, by zone
	known     bool                     // what follows is as the members are now
	own, all  uint64
	zones     []string
	watched   []*entry
	turn      int
	changes   uint64
}

func newQuiet() quiet { return quiet{confirmed: map[string]time.Duration{}, differed: -time.Hour} }

// stir notes news at a time of the view; the first after a while goes out at once.
func (v *View) stir(now time.Duration, what *time.Duration) {
	if v.calm(now) || what == &v.news && now-v.news > v.bounds.Pace && now-v.paced > v.bounds.Pace/4 {
		v.next = min(v.next, now)
	}
	*what = now
}

// calm tells whether there was nothing to tell for a while.
func (v *View) calm(now time.Duration) bool {
	return v.quiet.agreed != 0 && now-v.quiet.agreed < v.bounds.Drop && now-max(v.news, v.quiet.differed) >= v.bounds.Settle &&
		!slices.ContainsFunc(v.all, func(e *entry) bool { return e.state == missed })
}

// pace slows down as the last news lies back.
func (v *View) pace(now time.Duration) time.Duration {
	if !v.calm(now) {
		return v.bounds.Pace
	}
	return max(v.bounds.Pace, min(v.bounds.Slow, (now-max(v.news, v.quiet.differed))/4))
}

// first is whom to ask first: in calm, those that are watched in turn with all others.
func (v *View) first(now time.Duration) *entry {
	if v.calm(now) {
		v.learn()
		if v.quiet.turn++; v.quiet.turn%2 == 0 && len(v.quiet.watched) > 0 {
			return v.quiet.watched[v.quiet.turn/2%len(v.quiet.watched)]
		}
	}
	return v.neighbour(fresh)
}

// learn works out what depends on who is there.
func (v *View) learn() {
	q := &v.quiet
	if q.known {
		return
	}
	q.known, q.own, q.all, q.zones, q.watched = true, 0, 0, q.zones[:0], nil
	zone, all, zones := []*entry{}, v.candidates(), map[string]bool{}
	for _, e := range all {
		if e.Role != Core {
			q.all += e.mix
		}
	}
	for _, e := range v.ring {
		if e.Role == Core {
			q.all += e.mix
		}
		if e.Zone == v.self.Zone {
			q.own += e.mix
			zone = append(zone, e)
		}
		if !zones[e.Zone] {
			zones[e.Zone] = true
			q.zones = append(q.zones, e.Zone)
		}
	}
	slices.Sort(q.zones)
	v.watch(zone)
	v.watch(all)
}

// shifted has what depends on the members worked out anew.
func (v *View) shifted() {
	v.ranked, v.quiet.known = nil, false
	v.quiet.changes++
}

// watch takes those that follow this process in a ring.
func (v *View) watch(ring []*entry) {
	i := slices.IndexFunc(ring, func(e *entry) bool { return e.Life == v.self.Life })
	for n := 1; i >= 0 && n <= min(v.bounds.Watch, len(ring)-1); n++ {
		if e := ring[(i+n)%len(ring)]; !slices.Contains(v.quiet.watched, e) {
			v.quiet.watched = append(v.quiet.watched, e)
		}
	}
}

// digests are sums over lives: of the own zone, and of those that every view is to hold.
func (v *View) digests() (own, all uint64) {
	v.learn()
	return v.quiet.own, v.quiet.all
}

// seen is when a member was last known to be alive, by its beat or by agreement in its zone.
func (v *View) seen(e *entry) time.Duration {
	if at, ok := v.quiet.confirmed[e.Zone]; ok && e.state != missed {
		return max(e.seen, at)
	}
	return e.seen
}

// ages are of the zones in order; at 255 it is not known.
func (v *View) ages(now time.Duration) []byte {
	v.learn()
	out := make([]byte, len(v.quiet.zones))
	for i, zone := range v.quiet.zones {
		out[i] = 255
		if at, ok := v.quiet.confirmed[zone]; ok {
			out[i] = byte(min(255, (now-at+499*time.Millisecond)/(500*time.Millisecond)))
		}
	}
	return out
}

// compare tells whether a neighbour knows the same lives, which are then taken for alive.
func (v *View) compare(now time.Duration, s *Shuffle) bool {
	own, all := v.digests()
	if s.All != all || s.From.Zone == v.self.Zone && s.Own != own {
		if e := v.members[s.From.Life]; e != nil && s.Reply && v.calm(now) {
			e.asked = -time.Hour // what was sent was brief: it is told next what it lacks
		}
		v.stir(now, &v.quiet.differed)
		return false
	}
	q := &v.quiet
	q.agreed = now
	for i, zone := range q.zones {
		at, ok := q.confirmed[zone]
		switch {
		case zone == s.From.Zone:
			q.confirmed[zone] = now
		case zone != v.self.Zone && len(s.Ages) == len(q.zones) && s.Ages[i] < 255:
			if told := now - time.Duration(s.Ages[i])*500*time.Millisecond; !ok || told > at {
				q.confirmed[zone] = told
			}
		}
	}
	return true
}

// doubts are those that this process can't reach.
func (v *View) doubts() (out []Gone) {
	for _, e := range v.all {
		if e.state == missed && len(out) < v.bounds.Told {
			out = append(out, Gone{Life: e.Life, Address: e.Address, Heartbeat: e.Heartbeat})
		}
	}
	return out
}

// doubt hears that another can't reach a life: it is asked, and what it says is news for that one.
func (v *View) doubt(_ time.Duration, who *Member, d *Gone) {
	if d.Life == v.self.Life {
		v.self.Heartbeat = max(v.self.Heartbeat, d.Heartbeat+1)
		return
	}
	e := v.members[d.Life]
	if e == nil || e.state == missed {
		return
	}
	switch {
	case e.Heartbeat > d.Heartbeat:
		e.told = 0
	case e.doubt < d.Heartbeat:
		e.doubt, e.doubted, e.awaited = d.Heartbeat, true, true
	}
	if w := v.members[who.Life]; w != nil {
		w.asked = -time.Hour
	}
}

// beats is more often than one that was lost may have beaten, unheard of here, before: who heard so believes its end as well.
// If it lives, it beats beyond that as soon as it hears of it.
func (v *View) beats(e *entry) uint64 { return uint64(8 * max(e.since-e.seen, 0) / v.bounds.Pace) }
