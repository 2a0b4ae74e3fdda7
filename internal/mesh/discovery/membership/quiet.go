package membership

import (
	"slices"
	"time"
)

// While there is no news, neighbours compare digests of the lives that they know, and send nothing else. A process that agrees
// with a member of a zone takes that zone's members for alive: each of them is watched by a few others over connections that are
// kept, and one that loses such a connection asks other members, and then spreads the end as news.

// replacedMargin is added to the heartbeat of a life when the life that replaced it at its address has sent a message itself.
const replacedMargin = 1 << 20

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

// noteNews notes news at one of the view's times; the first news after a while is sent at once.
func (v *View) noteNews(now time.Duration, what *time.Duration) {
	if v.calm(now) || what == &v.news && now-v.news > v.bounds.Pace && now-v.paced > v.bounds.Pace/4 {
		v.next = min(v.next, now)
	}
	*what = now
}

// calm reports whether there has been no news for a while.
func (v *View) calm(now time.Duration) bool {
	return v.quiet.agreed != 0 && now-v.quiet.agreed < v.bounds.Drop && now-max(v.news, v.quiet.differed) >= v.bounds.Settle &&
		!slices.ContainsFunc(v.all, func(e *entry) bool { return e.state == missed })
}

// pace is the time between two shuffles; it grows with the time since the last news.
func (v *View) pace(now time.Duration) time.Duration {
	if !v.calm(now) {
		return v.bounds.Pace
	}
	return max(v.bounds.Pace, min(v.bounds.Slow, (now-max(v.news, v.quiet.differed))/4))
}

// first is the member to shuffle with first: while calm, watched members in turn with all others.
func (v *View) first(now time.Duration) *entry {
	if v.calm(now) {
		v.derive()
		if v.quiet.turn++; v.quiet.turn%2 == 0 && len(v.quiet.watched) > 0 {
			return v.quiet.watched[v.quiet.turn/2%len(v.quiet.watched)]
		}
	}
	return v.neighbour(fresh)
}

// derive works out what depends on who is there.
func (v *View) derive() {
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

// invalidate has what depends on the members worked out anew.
func (v *View) invalidate() {
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
	v.derive()
	return v.quiet.own, v.quiet.all
}

// seen is when a member was last known to be alive, by its heartbeat or by agreement in its zone.
func (v *View) seen(e *entry) time.Duration {
	if at, ok := v.quiet.confirmed[e.Zone]; ok && e.state != missed {
		return max(e.seen, at)
	}
	return e.seen
}

// ages are of the zones in order; at 255 it is not known.
func (v *View) ages(now time.Duration) []byte {
	v.derive()
	out := make([]byte, len(v.quiet.zones))
	for i, zone := range v.quiet.zones {
		out[i] = 255
		if at, ok := v.quiet.confirmed[zone]; ok {
			out[i] = byte(min(255, (now-at+499*time.Millisecond)/(500*time.Millisecond)))
		}
	}
	return out
}

// compare reports whether a neighbour knows the same lives; these are then taken for alive.
func (v *View) compare(now time.Duration, s *Shuffle) bool {
	own, all := v.digests()
	if s.All != all || s.From.Zone == v.self.Zone && s.Own != own {
		if e := v.members[s.From.Life]; e != nil && s.Reply && v.calm(now) {
			e.asked = -time.Hour // what was sent was brief: it is told next what it lacks
		}
		v.noteNews(now, &v.quiet.differed)
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

// doubt takes note that another member can't reach a life: the life is asked, and its answer is news for that member.
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
		e.timesSent = 0
	case e.doubt < d.Heartbeat:
		e.doubt, e.doubted, e.awaited = d.Heartbeat, true, true
	}
	if w := v.members[who.Life]; w != nil {
		w.asked = -time.Hour
	}
}

// possibleHeartbeats is more than a lost member can have raised its heartbeat by, unheard of here, before it was lost: members
// that heard so take its end too. If it is alive, it raises its heartbeat above that as soon as it hears of its end.
func (v *View) possibleHeartbeats(e *entry) uint64 {
	return uint64(8 * max(e.since-e.seen, 0) / v.bounds.Pace)
}
