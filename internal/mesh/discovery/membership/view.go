package membership

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"gingerlead/internal/structures/rendezvous"
)

// entry is a live member as it is known here.
type entry struct {
	Member
	seen  time.Duration // when its beat was new, by the ages told
	asked time.Duration // when it was last shuffled with
	state state
	since time.Duration // of the state
	told  int           // how often

	doubt   uint64 // highest beat up to which another took it for lost
	doubted bool   // it is to be asked for one
	awaited bool   // by that other
	order   uint64 // of arrival
	mix     uint64 // of its life
}

// state of an entry: it changes in shift alone.
type state uint8

const (
	fresh     state = iota
	suspected       // its beat has not advanced for long
	missed          // a connection to it broke
)

func (e *entry) shift(now time.Duration, to state) {
	if e.state != to {
		e.state, e.since = to, now
	}
}

// ended is a life that was dropped. One that another life at its address replaced comes back only by its own
// word, or if it beats long after.
type ended struct {
	beat     uint64
	address  string
	replaced bool
	at       time.Duration
	told     int
}

// View is what one process knows of the others.
type View struct {
	bounds  Bounds
	rng     *rand.Rand
	self    Member
	all     []*entry // by life
	members map[uint64]*entry
	at      map[string]*entry
	ring    []*entry // all and this process, in the order of before
	ranked  []*entry // that can be homes, nil when they are to be found anew
	dead    map[uint64]ended
	deadAge []uint64 // lives in dead, the oldest first
	risen   []Gone   // lives that spoke after their end was told
	former  []former // dropped members, the newest last
	seeds   []string
	regions map[string]string // of each zone ever heard of
	joined  bool              // seeds were asked
	next    time.Duration     // pace
	paced   time.Duration     // the last time
	far     time.Duration     // the next try of a seed or of any former member
	rejoin  time.Duration     // the next try of one that was dropped of late
	last    time.Duration     // tick
	woken   time.Duration     // ages are judged from here
	ticked  bool
	arrived uint64
	news    time.Duration // last arrival or end
	ended   time.Duration // last end
	quiet   quiet
}

// New makes the view of a process that knows nobody.
func New(self Member, bounds Bounds, rng *rand.Rand) *View {
	v := &View{bounds: bounds.Filled(), rng: rng, self: self, members: map[uint64]*entry{}, at: map[string]*entry{},
		dead: map[uint64]ended{}, regions: map[string]string{}, quiet: newQuiet(), ended: -time.Hour}
	v.self.Heartbeat = max(v.self.Heartbeat, 1)
	v.ring = []*entry{{Member: v.self, mix: rendezvous.Mix(self.Life)}}
	v.Place(self.Zone, self.Region)
	return v
}

// Place says which region a zone is in.
func (v *View) Place(zone, region string) {
	if len(v.regions) < 1024 && region != "" {
		v.regions[zone] = region
	}
}

// Self is this process as others are told of it.
func (v *View) Self() Member { return v.self }

// Seeds names the seeds as the settings have them now.
func (v *View) Seeds(_ time.Duration, addrs []string) {
	if !slices.Equal(v.seeds, addrs) {
		v.seeds, v.joined = slices.Clone(addrs), false
	}
}

// Next is when Tick has something to do.
func (v *View) Next() time.Duration { return v.next }

// Tick gives whom to shuffle with now, and what to send them. It may be called at any time.
func (v *View) Tick(now time.Duration) (to []string, s *Shuffle) {
	if !v.ticked || now-v.last > v.bounds.Wake {
		v.wake(now)
	}
	v.ticked, v.last = true, now
	v.expire(now)
	var first *entry
	if now >= v.next {
		v.next = now + v.vary(v.pace(now))
		v.paced = now
		v.self.Heartbeat++
		if first = v.first(now); first != nil {
			to = v.ask(now, to, first)
		}
		for range v.hurry(now) {
			if e := v.neighbour(fresh); e != nil {
				to = v.ask(now, to, e)
			}
		}
		if e := v.neighbour(suspected); e != nil { // after a cut these lead to the other part
			to = v.ask(now, to, e)
		}
		switch {
		case !v.joined:
			to, v.joined, v.far = append(to, v.others(v.seeds)...), true, now+v.vary(v.bounds.Far)
		case len(v.members) < v.bounds.Small && len(v.seeds) > 0:
			to = append(to, v.others([]string{v.seeds[v.rng.IntN(len(v.seeds))]})...)
		}
		to = append(to, v.tryFar(now)...)
	}
	to = append(to, v.tryFormer(now)...)
	for i := range v.risen {
		to = append(to, v.risen[i].Address)
	}
	anew := false
	for _, e := range v.all { // what broke is asked again and again
		if e.state == missed && now-e.asked >= v.bounds.Pace/2 || e.doubted {
			to = v.ask(now, to, e)
			e.doubted, anew = false, true
		}
	}
	if len(to) == 0 {
		return nil, nil
	}
	zone := v.self.Zone
	if first != nil {
		zone = first.Zone
	}
	slices.Sort(to)
	s = v.shuffle(now, zone, false, v.calm(now))
	s.Anew, s.Gone, v.risen = anew, append(s.Gone, v.risen...), nil
	return slices.Compact(to), s
}

func (v *View) ask(now time.Duration, to []string, e *entry) []string {
	e.asked = now
	return append(to, e.Address)
}

func (v *View) others(addrs []string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == v.self.Address })
}

// wake starts all ages anew, for the judgement here; the ages that are told stay what they are.
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
			v.bury(now, e.Life, ended{beat: e.Heartbeat + v.beats(e), address: e.Address})
			v.ended = now
			v.stir(now, &v.news)
		case e.state == missed:
		case age >= v.patience(&e.Member):
			v.drop(now, e)
			if e.Zone == v.self.Zone && v.many() { // else each finds out by itself
				v.bury(now, e.Life, ended{beat: e.Heartbeat, address: e.Address})
			}
		case age >= v.patience(&e.Member)*v.bounds.Suspect/v.bounds.Drop:
			e.shift(now, suspected)
		default:
			e.shift(now, fresh) // its zone agrees
		}
	}
}

// many tells whether there are more members than a shuffle carries twice.
func (v *View) many() bool { return len(v.all) > 2*v.bounds.Carry }

// patience is the age at which a member is dropped.
func (v *View) patience(m *Member) time.Duration {
	if m.Zone != v.self.Zone && (v.many() || v.quiet.agreed != 0) {
		return v.bounds.DropFar
	}
	return v.bounds.Drop
}

func (v *View) remove(e *entry) {
	delete(v.members, e.Life)
	v.shifted()
	if i, ok := slices.BinarySearchFunc(v.all, e.Life, byLife); ok {
		v.all = slices.Delete(v.all, i, i+1)
	}
	if i, ok := slices.BinarySearchFunc(v.ring, e, before); ok {
		v.ring = slices.Delete(v.ring, i, i+1)
	}
	if v.at[e.Address] == e {
		delete(v.at, e.Address)
	}
}

func byLife(e *entry, life uint64) int { return cmp.Compare(e.Life, life) }

func (v *View) bury(now time.Duration, life uint64, d ended) {
	old, known := v.dead[life]
	if !known {
		v.deadAge = append(v.deadAge, life)
		if len(v.deadAge) > v.bounds.Dead {
			delete(v.dead, v.deadAge[0])
			v.deadAge = slices.Delete(v.deadAge, 0, 1)
		}
		d.at = now
	} else {
		d.at, d.told = old.at, old.told
		if d.beat > old.beat {
			d.at = now
		}
		d.beat, d.replaced = max(d.beat, old.beat), d.replaced || old.replaced
	}
	v.dead[life] = d
}

func (v *View) unbury(life uint64) {
	delete(v.dead, life)
	if i := slices.Index(v.deadAge, life); i >= 0 {
		v.deadAge = slices.Delete(v.deadAge, i, i+1)
	}
}

// hurry is how many more neighbours are asked: some while there are new members, and more at the own start.
func (v *View) hurry(now time.Duration) int {
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

// neighbour is the one in a state that was least recently asked; with many members mostly one of the own zone.
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

// shuffle makes a message for a neighbour of a zone.
// What is brief carries only news, for those who know the rest.
func (v *View) shuffle(now time.Duration, zone string, unknown, brief bool) *Shuffle {
	s := &Shuffle{From: v.self, Ages: v.ages(now), Doubts: v.doubts()}
	s.Own, s.All = v.digests()
	all := slices.Clone(v.all)
	if brief {
		all = slices.DeleteFunc(all, func(e *entry) bool { return e.told >= newsTold })
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
			e.told++
		}
	}
	s.Gone = v.gone(now, brief)
	return s
}

// choose takes as many as a shuffle carries, half of each kind those whose beats are newest. For a neighbour in the own zone
// half or more are members of that zone; for another one mostly those of the own zone that others keep, and some of its own, lest
// a zone falls into parts that others know; for one that is new here mostly those of its zone.
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

// before orders the members of a zone at random, but for all alike: the first ones are those that other zones keep, and its
// homes. The roles have no part in it, so that it is the same where some of a role are not known.
func before(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.mix, b.mix), cmp.Compare(a.Life, b.Life))
}

// newsTold is how often news is told before all else: twice the rounds that a rumour takes through a few hundred by asks and
// replies.
const newsTold = 8

// newest takes n, which lie at random: first those that were told least while they are news, then, half of the rest, those as
// they lie, then those with the newest beats.
func newest(from []*entry, n int) []*entry {
	slices.SortStableFunc(from, func(a, b *entry) int { return cmp.Compare(min(a.told, newsTold), min(b.told, newsTold)) })
	news := 0
	for news < n && from[news].told < newsTold {
		news++
	}
	half := from[news+(n-news)/2:]
	slices.SortFunc(half, func(a, b *entry) int { return cmp.Compare(b.seen, a.seen) })
	return from[:n]
}

// gone takes the ends that were told least.
func (v *View) gone(now time.Duration, brief bool) (out []Gone) {
	lives := slices.DeleteFunc(slices.Clone(v.deadAge), func(life uint64) bool {
		return now-v.dead[life].at >= 2*v.bounds.Drop || brief && v.dead[life].told >= newsTold
	})
	slices.SortStableFunc(lives, func(a, b uint64) int { return cmp.Compare(v.dead[a].told, v.dead[b].told) })
	for _, life := range lives[:min(len(lives), v.bounds.Told)] {
		d := v.dead[life]
		d.told++
		v.dead[life] = d
		out = append(out, Gone{Life: life, Address: d.address, Heartbeat: d.beat})
	}
	return out
}

// Take merges a shuffle. There is a reply to one that is not itself a reply; changed tells whether Members would differ in
// more than beats.
func (v *View) Take(now time.Duration, s *Shuffle) (reply *Shuffle, changed bool) {
	known := v.members[s.From.Life] != nil
	changed = v.hear(now, s.From, true)
	for i := range s.Gone {
		changed = v.told(now, s.Gone[i]) || changed
	}
	for i := range s.Members {
		changed = v.hear(now, s.Members[i], false) || changed
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
	if d, ok := v.dead[s.From.Life]; ok && v.members[s.From.Life] == nil { // it hears so, to beat beyond
		g := Gone{Life: s.From.Life, Address: s.From.Address, Heartbeat: d.beat}
		if reply != nil {
			reply.Gone = append(reply.Gone, g)
		} else if len(v.risen) < v.bounds.Told {
			v.risen = append(v.risen, g)
		}
	}
	return reply, changed
}

// told hears that a life ended.
func (v *View) told(now time.Duration, g Gone) bool {
	if g.Life == v.self.Life {
		if v.self.Heartbeat <= g.Heartbeat {
			v.self.Heartbeat = g.Heartbeat + 1
			v.stir(now, &v.news)
		}
		return false
	}
	e := v.members[g.Life]
	if e != nil && e.Heartbeat > g.Heartbeat {
		if e.doubt < g.Heartbeat && e.state == fresh { // one of the two has old news
			e.doubt, e.doubted, e.awaited = g.Heartbeat, true, false
		}
		return false
	}
	v.bury(now, g.Life, ended{beat: g.Heartbeat, address: g.Address})
	if e != nil {
		v.drop(now, e)
		v.ended = now
		v.stir(now, &v.news)
	}
	return e != nil
}

// hear merges a member's record, from itself or from another.
func (v *View) hear(now time.Duration, m Member, direct bool) (changed bool) {
	age := max(m.Age, 0)
	if direct {
		age = 0
	}
	if m.Life == 0 || m.Life == v.self.Life || m.Address == "" || m.Address == v.self.Address || age >= v.patience(&m) {
		return false
	}
	m.Age = 0
	seen := now - age
	if d, dead := v.dead[m.Life]; dead && (m.Heartbeat <= d.beat || d.replaced && !direct && seen < d.at+v.bounds.Drop) {
		return false
	}
	if e := v.members[m.Life]; e != nil {
		switch {
		case m.Heartbeat == e.Heartbeat && direct:
			e.seen = now
		case m.Heartbeat == e.Heartbeat:
			e.seen = min(e.seen, seen)
		case m.Heartbeat > e.Heartbeat:
			changed = !alike(e.Member, m)
			if e.Address != m.Address {
				return false // a life has one address
			}
			if changed {
				v.shifted()
			}
			if e.awaited && e.doubt < m.Heartbeat {
				e.awaited, e.told = false, 0
				v.stir(now, &v.news)
			}
			e.Member, e.seen = m, max(e.seen, seen)
			e.shift(now, fresh)
		}
		return changed
	}
	if o := v.at[m.Address]; o != nil {
		if !direct && seen < o.seen+v.bounds.Pace { // ages are told too low by the time on the way: a life that ended may seem newer
			return false
		}
		v.remove(o)
		d := ended{beat: o.Heartbeat, address: o.Address, replaced: true}
		if direct {
			d.beat += surely
		}
		v.bury(now, o.Life, d)
	} else if !v.room(&m) {
		return false
	}
	v.unbury(m.Life)
	v.arrived++
	v.stir(now, &v.news)
	e := &entry{Member: m, mix: rendezvous.Mix(m.Life), seen: seen, order: v.arrived, asked: -time.Hour + time.Duration(v.rng.IntN(int(time.Minute)))}
	v.members[m.Life], v.at[m.Address] = e, e
	i, _ := slices.BinarySearchFunc(v.all, m.Life, byLife)
	v.all = slices.Insert(v.all, i, e)
	v.shifted()
	i, _ = slices.BinarySearchFunc(v.ring, e, before)
	v.ring = slices.Insert(v.ring, i, e)
	v.Place(m.Zone, m.Region)
	v.former = slices.DeleteFunc(v.former, func(f former) bool { return f.address == m.Address })
	return true
}

// room tells whether there is room for a new member, and makes some among those of another zone for one that goes before them.
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

// Lost says that a connection to an address broke, or that its pings went unanswered.
func (v *View) Lost(now time.Duration, address string) {
	if e := v.at[address]; e != nil && e.state != missed {
		e.shift(now, missed)
		e.asked = now - v.bounds.Pace // so it is asked at the next tick
		v.stir(now, &v.quiet.differed)
	}
}

// Met says that a life was heard at an address directly.
func (v *View) Met(now time.Duration, address string, life uint64) {
	e := v.at[address]
	if e == nil || v.dead[life].replaced {
		return
	}
	if e.Life == life {
		e.seen = max(e.seen, now)
		e.shift(now, fresh)
		return
	}
	v.remove(e)
	v.bury(now, e.Life, ended{beat: e.Heartbeat, address: address, replaced: true})
}

// Members are the live ones, this one among them, by address.
func (v *View) Members() []Member {
	all := append(make([]Member, 0, 1+len(v.all)), v.self)
	for _, e := range v.all {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Life, b.Life))
	})
	return all
}

// At is the member at an IP address: the sidecar of an endpoint before others, then the one heard of last.
func (v *View) At(ip string) (Member, bool) {
	if host(v.self.Address) == ip && v.self.Role == Access {
		return v.self, true
	}
	var best *entry
	for _, e := range v.all {
		if host(e.Address) == ip && (best == nil || cmp.Or(cmp.Compare(best.Role, e.Role), cmp.Compare(e.order, best.order)) > 0) {
			best = e
		}
	}
	if best == nil {
		return v.self, host(v.self.Address) == ip
	}
	return best.Member, true
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// Homes are the first members of a zone, by rendezvous hash of service and life; if the zone has none, those of its region,
// and if that has none, of all. Of each zone only so many can be homes as other zones keep, the same ones in every view.
func (v *View) Homes(service, zone string, n int) []Member {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	item := rendezvous.Mix(h.Sum64())
	all := v.candidates()
	among := filter(all, func(e *entry) bool { return e.Zone == zone })
	if region := v.regions[zone]; len(among) == 0 && region != "" {
		among = filter(all, func(e *entry) bool { return e.Region == region })
	}
	if len(among) == 0 {
		among = slices.Clone(all)
	}
	score := func(e *entry) uint64 { return rendezvous.Mix(item ^ e.mix) }
	slices.SortFunc(among, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Life, b.Life))
	})
	var out []Member
	for _, e := range among[:min(n, len(among))] {
		out = append(out, e.Member)
	}
	return out
}

// candidates are those members that can be homes, whatever their beats.
func (v *View) candidates() []*entry {
	if v.ranked == nil {
		zones := map[string]int{}
		v.ranked = filter(v.ring, func(e *entry) bool {
			zones[e.Zone]++
			return zones[e.Zone] <= v.bounds.Other
		})
	}
	return v.ranked
}

func filter(all []*entry, keep func(*entry) bool) (out []*entry) {
	for _, e := range all {
		if keep(e) {
			out = append(out, e)
		}
	}
	return out
}

// Zones are those with live members, in order.
func (v *View) Zones() []string {
	v.learn()
	return slices.Clone(v.quiet.zones)
}

// Changes rises with each arrival, each end and each change of a record, so that what rests on the members need not be worked
// out again while it stays.
func (v *View) Changes() uint64 { return v.quiet.changes }
