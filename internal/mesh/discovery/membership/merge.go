package membership

import (
	"slices"
	"time"

	"quincegap/internal/structures/rendezvous"
)

// Take merges a shuffle. There is a reply to one that is not itself a reply; changed reports whether Members would differ in more
// than heartbeats.
func (v *View) Take(now time.Duration, s *Shuffle) (reply *Shuffle, changed bool) {
	known := v.members[s.From.Life] != nil
	changed = v.mergeMember(now, s.From, true)
	for i := range s.Gone {
		changed = v.mergeEnd(now, s.Gone[i]) || changed
	}
	for i := range s.Members {
		changed = v.mergeMember(now, s.Members[i], false) || changed
	}
	for i := range s.Doubts {
		v.doubt(now, &s.From, &s.Doubts[i])
	}
	if s.Anew && !s.Reply {
		v.self.Heartbeat++
	}
	agrees := v.compare(now, s)
	if !s.Reply && s.From.Life != v.self.Life {
		reply = v.shuffle(now, s.From.Zone, !known && s.From.Heartbeat < 8, agrees)
		reply.Reply = true
	}
	if d, ok := v.endedLives[s.From.Life]; ok && v.members[s.From.Life] == nil { // it is told, and raises its heartbeat above that
		g := Gone{Life: s.From.Life, Address: s.From.Address, Heartbeat: d.heartbeat}
		if reply != nil {
			reply.Gone = append(reply.Gone, g)
		} else if len(v.contradicted) < v.bounds.Told {
			v.contradicted = append(v.contradicted, g)
		}
	}
	return reply, changed
}

// mergeMember merges a member's record, sent by itself (direct) or by another member.
func (v *View) mergeMember(now time.Duration, m Member, direct bool) (changed bool) {
	age := max(m.Age, 0)
	if direct {
		age = 0
	}
	if m.Life == 0 || m.Life == v.self.Life || m.Address == "" || m.Address == v.self.Address || age >= v.patience(&m) {
		return false
	}
	m.Age = 0
	seen := now - age
	if d, dead := v.endedLives[m.Life]; dead && (m.Heartbeat <= d.heartbeat || d.replaced && !direct && seen < d.at+v.bounds.Drop) {
		return false
	}
	if e := v.members[m.Life]; e != nil {
		return v.update(now, seen, e, m, direct)
	}
	if old := v.at[m.Address]; old != nil {
		// Ages arrive too low by the time under way, so that a life that ended may seem a little newer.
		if !direct && seen < old.seen+v.bounds.Pace {
			return false
		}
		v.replace(now, old, direct)
	} else if !v.room(&m) {
		return false
	}
	v.insert(now, seen, m)
	return true
}

// update merges a record of a member that is known.
func (v *View) update(now, seen time.Duration, e *entry, m Member, direct bool) (changed bool) {
	switch {
	case m.Heartbeat < e.Heartbeat:
		return false
	case m.Heartbeat == e.Heartbeat && direct:
		e.seen = now
		return false
	case m.Heartbeat == e.Heartbeat:
		e.seen = min(e.seen, seen)
		return false
	case e.Address != m.Address:
		return false // a life has one address
	}
	if changed = !alike(e.Member, m); changed {
		v.invalidate()
	}
	if e.awaited && e.doubt < m.Heartbeat {
		e.awaited, e.timesSent = false, 0
		v.noteNews(now, &v.news)
	}
	e.Member, e.seen = m, max(e.seen, seen)
	e.shift(now, fresh)
	return changed
}

// replace drops a life because another one is at its address.
func (v *View) replace(now time.Duration, old *entry, direct bool) {
	v.remove(old)
	d := ended{heartbeat: old.Heartbeat, address: old.Address, replaced: true}
	if direct {
		d.heartbeat += replacedMargin
	}
	v.rememberEnd(now, old.Life, d)
}

// insert adds a new member.
func (v *View) insert(now, seen time.Duration, m Member) {
	v.forgetEnd(m.Life)
	v.arrived++
	v.noteNews(now, &v.news)
	asked := -time.Hour + time.Duration(v.rng.IntN(int(time.Minute))) // long ago, in random order
	e := &entry{Member: m, mix: rendezvous.Mix(m.Life), seen: seen, order: v.arrived, asked: asked}
	v.members[m.Life], v.at[m.Address] = e, e
	i, _ := slices.BinarySearchFunc(v.all, m.Life, byLife)
	v.all = slices.Insert(v.all, i, e)
	v.invalidate()
	i, _ = slices.BinarySearchFunc(v.ring, e, before)
	v.ring = slices.Insert(v.ring, i, e)
	v.Place(m.Zone, m.Region)
	v.former = slices.DeleteFunc(v.former, func(f former) bool { return f.address == m.Address })
}

// room reports whether there is room for a new member; in another zone the last one by before gives way to one that precedes it.
func (v *View) room(m *Member) bool {
	n, last := 0, (*entry)(nil)
	for _, e := range v.all {
		if e.Role == m.Role && (m.Role == Core || e.Zone == m.Zone) {
			n++
			if last == nil || before(last, e) < 0 {
				last = e
			}
		}
	}
	switch {
	case m.Role == Core:
		return n < v.bounds.Cores
	case m.Zone == v.self.Zone:
		return n < v.bounds.Own
	case n < v.bounds.Other:
		return true
	case before(&entry{Member: *m, mix: rendezvous.Mix(m.Life)}, last) > 0:
		return false
	}
	v.remove(last)
	return true
}

// mergeEnd merges the end of a life.
func (v *View) mergeEnd(now time.Duration, g Gone) bool {
	if g.Life == v.self.Life {
		if v.self.Heartbeat <= g.Heartbeat {
			v.self.Heartbeat = g.Heartbeat + 1
			v.noteNews(now, &v.news)
		}
		return false
	}
	e := v.members[g.Life]
	if e != nil && e.Heartbeat > g.Heartbeat {
		if e.doubt < g.Heartbeat && e.state == fresh { // either the end is old news or the heartbeat is
			e.doubt, e.doubted, e.awaited = g.Heartbeat, true, false
		}
		return false
	}
	v.rememberEnd(now, g.Life, ended{heartbeat: g.Heartbeat, address: g.Address})
	if e != nil {
		v.drop(now, e)
		v.ended = now
		v.noteNews(now, &v.news)
	}
	return e != nil
}

func (v *View) rememberEnd(now time.Duration, life uint64, d ended) {
	old, known := v.endedLives[life]
	if !known {
		v.endedOrder = append(v.endedOrder, life)
		if len(v.endedOrder) > v.bounds.Dead {
			delete(v.endedLives, v.endedOrder[0])
			v.endedOrder = slices.Delete(v.endedOrder, 0, 1)
		}
		d.at = now
	} else {
		d.at, d.timesSent = old.at, old.timesSent
		if d.heartbeat > old.heartbeat {
			d.at = now
		}
		d.heartbeat, d.replaced = max(d.heartbeat, old.heartbeat), d.replaced || old.replaced
	}
	v.endedLives[life] = d
}

func (v *View) forgetEnd(life uint64) {
	delete(v.endedLives, life)
	if i := slices.Index(v.endedOrder, life); i >= 0 {
		v.endedOrder = slices.Delete(v.endedOrder, i, i+1)
	}
}
