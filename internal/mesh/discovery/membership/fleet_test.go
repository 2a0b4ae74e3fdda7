package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/structures/rendezvous"
)

// fleet plays members in virtual time: messages take a millisecond, those to a dead or cut one are found lost a second later.
// Who asked another has a connection to it for half a minute, which is found broken at once if the process ended and its
// machine still answers (a restart), and by pings, three seconds later, if not.
type fleet struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Duration
	queue    events
	count    int
	nodes    map[string]*node
	order    []*node
	seeds    []string
	cut      func(a, b *node) bool
	cutAt    time.Duration
	messages int
	bytes    int
	across   int // bytes between zones
	changes  int
	took     func(from, to *node) // a shuffle has arrived
	sent     func(from *node, address string, data []byte)
}

type node struct {
	*View
	dead, frozen bool
	since        time.Duration // of either
	unread       []func()      // while it is frozen
	links        []*connection
}

type connection struct {
	to   *node
	used time.Duration
}

const (
	linkIdle   = 30 * time.Second
	linkSilent = 3 * time.Second
)

func (f *fleet) kill(n *node) { n.dead, n.since = true, f.now }

func (f *fleet) freeze(n *node) { n.frozen, n.since = true, f.now }

// link notes that a node asks another.
func (f *fleet) link(from, to *node) {
	i := slices.IndexFunc(from.links, func(l *connection) bool { return l.to == to })
	if i < 0 {
		i = len(from.links)
		from.links = append(from.links, &connection{to: to})
	}
	from.links[i].used = f.now
}

// unlink ends the connections that nobody uses, and those whose pings are not answered.
func (f *fleet) unlink(n *node) {
	n.links = slices.DeleteFunc(n.links, func(l *connection) bool {
		silent := l.to.dead || l.to.frozen
		since := l.to.since
		if !silent && f.cut(n, l.to) {
			silent, since = true, f.cutAt
		}
		if silent && f.now-since >= linkSilent {
			n.ConnectionLost(f.now, l.to.self.Address)
			return true
		}
		return f.now-l.used > linkIdle
	})
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(t testing.TB, seed uint64) *fleet {
	return &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*node{}, cut: func(_, _ *node) bool { return false }}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.count++
	heap.Push(&f.queue, event{f.now + d, f.count, do})
}

// run plays so long, and returns when done says so, with the time it took; done is asked each 100 ms.
func (f *fleet) run(most time.Duration, done func() bool) time.Duration {
	start := f.now
	for check := f.now; f.now < start+most; check += 100 * ms {
		for len(f.queue) > 0 && f.queue[0].at <= check {
			e := heap.Pop(&f.queue).(event)
			f.now = e.at
			e.do()
		}
		f.now = check
		if done != nil && done() {
			return f.now - start
		}
	}
	if done != nil {
		f.t.Errorf("not within %v", most)
	}
	return most
}

func (f *fleet) start(address, zone string, role Role) *node {
	m := member(f.rng.Uint64(), address, zone, 1)
	m.Role, m.Service, m.AppAddress = role, "service-"+address[len(address)-4:len(address)-3], address[:len(address)-1]+"8080"
	n := &node{View: New(m, Config{}, rand.New(rand.NewPCG(f.rng.Uint64(), 0)))}
	if old := f.nodes[address]; old != nil {
		old.dead, old.since = true, f.now-linkSilent
		f.order[slices.Index(f.order, old)] = n
	} else {
		f.order = append(f.order, n)
	}
	f.nodes[address] = n
	n.SetSeeds(f.now, f.seeds)
	f.after(time.Duration(f.rng.IntN(500))*ms, func() { f.tick(n) })
	return n
}

func (f *fleet) tick(n *node) {
	if n.dead {
		return
	}
	if !n.frozen {
		for _, do := range n.unread {
			do()
		}
		n.unread = nil
		f.unlink(n)
		if to, s := n.Tick(f.now); s != nil {
			for _, address := range to {
				f.send(n, address, s)
			}
		}
	}
	f.after(max(100*ms, min(n.NextTick()-f.now, 250*ms)), func() { f.tick(n) })
}

func (f *fleet) send(from *node, address string, s *Shuffle) {
	data := codec.MarshalAppend(nil, s)
	size := len(data)
	if f.sent != nil {
		f.sent(from, address, data)
	}
	f.messages++
	f.bytes += size
	to := f.nodes[address]
	if to == nil || to.dead || f.cut(from, to) {
		f.after(time.Second, func() {
			if !from.dead {
				from.ConnectionLost(f.now, address)
			}
		})
		return
	}
	if !s.Reply {
		f.link(from, to)
	}
	if to.frozen { // its pings go unanswered
		f.after(time.Second, func() { from.ConnectionLost(f.now, address) })
	}
	if from.self.Zone != to.self.Zone {
		f.across += size
	}
	f.after(ms, func() {
		take := func() {
			reply, changed := to.Receive(f.now, s)
			if changed {
				f.changes++
			}
			if f.took != nil {
				f.took(from, to)
			}
			if reply != nil {
				f.send(to, from.self.Address, reply)
			}
		}
		if to.frozen {
			to.unread = append(to.unread, take)
		} else if !to.dead {
			take()
		}
	})
}

// live are those of a zone, or of all, by life.
func (f *fleet) live(zone string) (out []*node) {
	for _, n := range f.order {
		if !n.dead && (zone == "" || n.self.Zone == zone) {
			out = append(out, n)
		}
	}
	return out
}

// settled reports whether everybody knows their zone exactly, nobody dead, and all name the same homes for services in zones.
func (f *fleet) settled(zones, services []string) bool {
	want := map[string][]uint64{}
	for _, zone := range zones {
		for _, n := range f.live(zone) {
			want[zone] = append(want[zone], n.self.Incarnation)
		}
		slices.Sort(want[zone])
	}
	homes := map[string][]uint64{}
	for _, n := range f.live("") {
		var known []uint64
		for _, m := range n.Members() {
			if m.Zone == n.self.Zone {
				known = append(known, m.Incarnation)
			} else if _, ok := slices.BinarySearch(want[m.Zone], m.Incarnation); !ok {
				return false
			}
		}
		slices.Sort(known)
		if !slices.Equal(known, want[n.self.Zone]) {
			return false
		}
		for _, zone := range zones {
			for _, service := range services {
				var h []uint64
				for _, m := range n.RegistryOwners(service, zone, 2) {
					h = append(h, m.Incarnation)
				}
				key := zone + " " + service
				if homes[key] == nil {
					homes[key] = h
				}
				if !slices.Equal(h, homes[key]) {
					return false
				}
			}
		}
	}
	return true
}

// kept is who knows whom, of those that are to be known: the own zone and the first of each other zone.
func (f *fleet) kept(zones []string) map[[2]uint64]bool {
	out := map[[2]uint64]bool{}
	for _, zone := range zones {
		of := f.live(zone)
		slices.SortFunc(of, func(a, b *node) int {
			return cmp.Compare(rendezvous.Mix(a.self.Incarnation), rendezvous.Mix(b.self.Incarnation))
		})
		for i, m := range of {
			for _, n := range f.live("") {
				if (i < n.config.MaxMembersPerRemoteZone || n.self.Zone == zone) && n.table.byIncarnation[m.self.Incarnation] != nil {
					out[[2]uint64{n.self.Incarnation, m.self.Incarnation}] = true
				}
			}
		}
	}
	return out
}

// per logs messages and bytes for each member and second of a span.
func (f *fleet) per(what string, span time.Duration) {
	n := float64(len(f.live(""))) * max(span.Seconds(), 0.1)
	f.t.Logf("%s: %v; for each member and second %.1f messages, %.1f kB, %.1f kB of them across, %.2f changes", what, span,
		float64(f.messages)/n, float64(f.bytes)/n/1e3, float64(f.across)/n/1e3, float64(f.changes)/n)
	f.messages, f.bytes, f.across, f.changes = 0, 0, 0, 0
}

// Eighteen join at once through three seeds: everybody knows everybody within three paces.
func TestEighteenJoin(t *testing.T) {
	c := qt.New(t)
	worst, told := time.Duration(0), time.Duration(0)
	for seed := range uint64(20) {
		f := newFleet(t, seed)
		f.seeds = []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
		zones := []string{"a", "b", "c", "d"}
		for i := range 18 {
			role := RoleAccess
			if i < 4 {
				role = RoleCore
			}
			f.start(fmt.Sprintf("10.0.0.%d:1", i), zones[i%4], role)
		}
		all := func() bool { return f.settled(zones, []string{"s"}) }
		worst = max(worst, f.run(5*time.Second, all)-500*ms) // they start over half a second
		f.run(8*time.Second, nil)
		f.bytes, f.changes = 0, 0
		f.run(8*time.Second, nil)
		c.Assert(f.bytes < 18*8*1000 && f.changes == 0, qt.IsTrue, qt.Commentf("%d bytes, %d changes while quiet", f.bytes, f.changes))
		f.start("10.0.0.99:1", "a", RoleAccess)
		worst = max(worst, f.run(5*time.Second, all)-500*ms)
		f.start("10.0.0.8:1", "a", RoleAccess) // restarts
		worst = max(worst, f.run(5*time.Second, all)-500*ms)
		f.run(8*time.Second, nil)
		killed := f.order[5+seed%13]
		killed.dead, killed.since = true, f.now-linkSilent // its process: connections to it break at once
		told = max(told, f.run(5*time.Second, all))
	}
	c.Check(told <= 3500*ms, qt.IsTrue, qt.Commentf("a killed one is known after %v", told))
	t.Logf("a killed one is known after %v", told)
	t.Logf("worst %v", worst)
	c.Assert(worst <= 1500*ms, qt.IsTrue, qt.Commentf("%v", worst))
}

// Two hundred join, a tenth is killed, some freeze, some restart, and a cut between zones is healed.
func TestTwoHundred(t *testing.T) { fleetDay(t, 200, 4, 1) }

func fleetDay(t testing.TB, members, zones int, seed uint64) {
	c := qt.New(t)
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	f := newFleet(t, seed)
	f.seeds = []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
	var names, services []string
	for i := range zones {
		names = append(names, fmt.Sprintf("zone-%d", i))
	}
	for i := range 4 {
		services = append(services, fmt.Sprintf("service-%d", i))
	}
	for i := range members {
		role := RoleAccess
		if i < 4 {
			role = RoleCore
		}
		f.start(fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), names[i%zones], role)
	}
	all := func() bool { return f.settled(names, services) }
	check := func(what string, bound time.Duration) {
		took := f.run(60*time.Second, all)
		f.per(what, took)
		c.Check(took <= bound, qt.IsTrue, qt.Commentf("%s: %v", what, took))
	}
	check("join", 8*time.Second)
	f.run(2*time.Second, nil)
	f.per("after it", 2*time.Second)
	known := f.kept(names)
	for range 12 { // nobody is forgotten
		f.run(time.Second, nil)
		c.Check(all(), qt.IsTrue, qt.Commentf("at %v", f.now))
		now := f.kept(names)
		for who := range known {
			c.Check(now[who], qt.IsTrue, qt.Commentf("at %v: %v", f.now, who))
		}
		known = now
	}
	f.per("settling", 12*time.Second)
	f.run(12*time.Second, nil)
	c.Check(all(), qt.IsTrue, qt.Commentf("at %v", f.now))
	c.Check(float64(f.bytes)/float64(members)/12 < 1000, qt.IsTrue, qt.Commentf("bytes while quiet"))
	c.Check(f.changes, qt.Equals, 0)
	f.per("quiet", 12*time.Second)

	one := f.order[members/2]
	f.kill(one)
	check("one killed, its machine too", 7*time.Second)
	f.run(10*time.Second, nil)
	f.per("after it", 10*time.Second)

	killed := 0
	for _, n := range f.order {
		if f.rng.IntN(10) == 0 {
			f.kill(n)
			killed++
		}
	}
	t.Logf("%d killed", killed)
	check("a tenth killed", 12*time.Second)

	frozen := f.order[10:20]
	for _, n := range frozen {
		f.freeze(n)
	}
	f.run(5*time.Second, nil)
	f.per("ten frozen", 5*time.Second)
	for _, n := range frozen {
		n.frozen = false
	}
	check("thawed", 3*time.Second)

	for _, n := range slices.Clone(f.order[30:40]) {
		f.start(n.self.Address, n.self.Zone, n.self.Role)
	}
	check("ten restarted", 5*time.Second)

	f.cut = func(a, b *node) bool { return (a.self.Zone == names[0]) != (b.self.Zone == names[0]) }
	f.cutAt = f.now
	f.run(8*time.Second, nil)
	f.per("a zone cut off", 8*time.Second)
	f.cut = func(_, _ *node) bool { return false }
	check("healed", 5*time.Second)
}

// BenchmarkQuiet gives the bytes and messages of each member and second a quarter of a minute after all have joined, in virtual time,
// and the processor's time for each member and second.
func BenchmarkQuiet(b *testing.B) {
	for _, size := range [][2]int{{18, 4}, {200, 4}, {600, 8}, {2000, 16}} {
		b.Run(fmt.Sprintf("members=%d", size[0]), func(b *testing.B) {
			defer debug.SetGCPercent(debug.SetGCPercent(800))
			for range b.N {
				f := newFleet(b, 1)
				f.seeds = []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
				var zones []string
				for i := range size[1] {
					zones = append(zones, fmt.Sprintf("zone-%d", i))
				}
				for i := range size[0] {
					role := RoleAccess
					if i < 15 && i*20 < size[0] {
						role = RoleCore
					}
					f.start(fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), zones[i%size[1]], role)
				}
				joined := 1 * time.Second
				f.run(joined, nil)
				for ; joined < 30*time.Second && !f.settled(zones, nil); joined += time.Second {
					f.run(time.Second, nil)
				}
				f.run(15*time.Second, nil)
				f.bytes, f.messages, f.changes = 0, 0, 0
				began := time.Now()
				f.run(10*time.Second, nil)
				n := float64(size[0]) * 10
				b.ReportMetric(joined.Seconds(), "s/join")
				b.ReportMetric(float64(f.bytes)/n, "B/member/s")
				b.ReportMetric(float64(f.messages)/n, "messages/member/s")
				b.ReportMetric(float64(time.Since(began).Microseconds())/n, "µs/member/s")
				b.ReportMetric(float64(f.changes), "changes")
			}
		})
	}
}
