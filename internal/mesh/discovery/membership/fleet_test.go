package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/structures/rendezvous"
)

const (
	linkIdleTimeout = 30 * time.Second       // a connection that nobody uses is closed after this
	linkPingTimeout = 3 * time.Second        // and found broken after this, if its pings aren't answered
	messageDelay    = time.Millisecond       // on the way
	connectTimeout  = time.Second            // until a message to a process that can't be reached fails
	checkInterval   = 100 * time.Millisecond // of conditions that a test waits for
)

// fleet plays members in virtual time. A process that sent a shuffle to another keeps the connection, which is found broken at once if
// the other process ends while its machine still answers (a restart), and by pings if the machine doesn't. One seed, one run.
type fleet struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Duration
	queue       eventQueue
	scheduled   int // events ever
	nodes       map[string]*node
	order       []*node
	seeds       []string
	partition   func(a, b *node) bool // whether two nodes can't reach each other
	partitionAt time.Duration
	traffic     traffic

	onSend    func(from *node, address string, data []byte)
	onReceive func(from, to *node)
}

// traffic counts what happened since it was last reset.
type traffic struct {
	messages    int
	bytes       int
	bytesAcross int // between zones
	changes     int // shuffles that changed a view
}

// node is one incarnation of a process.
type node struct {
	*View
	dead, frozen bool
	since        time.Duration // of either
	unread       []func()      // messages that came while it was frozen
	links        []*link
}

// link is a connection that a node opened.
type link struct {
	to   *node
	used time.Duration
}

func newFleet(tb testing.TB, seed uint64) *fleet {
	tb.Helper()
	return &fleet{t: tb, rng: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*node{}, partition: noPartition}
}

func noPartition(_, _ *node) bool { return false }

// fleetSize says how many processes a fleet has. They are in the zones in turn; the first ones are core members, and the first ones seeds.
type fleetSize struct {
	members, cores, seeds int
	zones                 []string
}

func startFleet(tb testing.TB, seed uint64, size fleetSize) *fleet {
	tb.Helper()
	f := newFleet(tb, seed)
	for i := range size.seeds {
		f.seeds = append(f.seeds, memberAddress(i))
	}
	for i := range size.members {
		role := RoleAccess
		if i < size.cores {
			role = RoleCore
		}
		f.start(memberAddress(i), size.zones[i%len(size.zones)], role)
	}
	return f
}

// zoneNames are zone-0 and so on.
func zoneNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%d", i)
	}
	return names
}

func memberAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/256, i%256) }

// start starts a process, or a new one in place of the one at its address.
func (f *fleet) start(address, zone string, role Role) {
	m := newMember(f.rng.Uint64(), address, zone, 1)
	m.Role = role
	m.Service = "service-" + address[len(address)-4:len(address)-3]
	m.AppAddress = address[:len(address)-1] + "8080"
	n := &node{View: New(m, Config{}, rand.New(rand.NewPCG(f.rng.Uint64(), 0)))}
	if old := f.nodes[address]; old != nil {
		f.killProcess(old)
		f.order[slices.Index(f.order, old)] = n
	} else {
		f.order = append(f.order, n)
	}
	f.nodes[address] = n
	n.SetSeeds(f.now, f.seeds)
	f.after(time.Duration(f.rng.IntN(500))*ms, func() { f.tick(n) })
}

// kill ends a process and its machine: nothing there answers any more.
func (f *fleet) kill(n *node) {
	n.dead = true
	n.since = f.now
}

// killProcess ends a process whose machine goes on: connections to it break at once.
func (f *fleet) killProcess(n *node) {
	n.dead = true
	n.since = f.now - linkPingTimeout
}

func (f *fleet) freeze(n *node) {
	n.frozen = true
	n.since = f.now
}

// partitionBy has nodes that the function holds for not reach each other from now on.
func (f *fleet) partitionBy(partition func(a, b *node) bool) {
	f.partition = partition
	f.partitionAt = f.now
}

func (f *fleet) heal() { f.partition = noPartition }

// connect notes that a node sends a shuffle to another.
func (f *fleet) connect(from, to *node) {
	i := slices.IndexFunc(from.links, func(l *link) bool { return l.to == to })
	if i < 0 {
		i = len(from.links)
		from.links = append(from.links, &link{to: to})
	}
	from.links[i].used = f.now
}

// closeLinks ends the connections that nobody uses, and those whose pings aren't answered.
func (f *fleet) closeLinks(n *node) {
	n.links = slices.DeleteFunc(n.links, func(l *link) bool {
		unresponsive := l.to.dead || l.to.frozen
		since := l.to.since
		if !unresponsive && f.partition(n, l.to) {
			unresponsive = true
			since = f.partitionAt
		}
		if unresponsive && f.now-since >= linkPingTimeout {
			n.ConnectionLost(f.now, l.to.self.Address)
			return true
		}
		return f.now-l.used > linkIdleTimeout
	})
}

func (f *fleet) after(d time.Duration, do func()) {
	f.scheduled++
	heap.Push(&f.queue, event{f.now + d, f.scheduled, do})
}

// run plays up to limit, and returns when done holds, with the time it took; without done it plays up to limit. A done that doesn't
// hold in that time is an error.
func (f *fleet) run(limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for check := f.now; f.now < start+limit; check += checkInterval {
		f.playUntil(check)
		if done != nil && done() {
			return f.now - start
		}
	}
	if done != nil {
		f.t.Errorf("not within %v", limit)
	}
	return limit
}

func (f *fleet) playUntil(at time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= at {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = at
}

// tick is a process's own loop.
func (f *fleet) tick(n *node) {
	if n.dead {
		return
	}
	if !n.frozen {
		f.wakeUp(n)
	}
	f.after(max(100*ms, min(n.NextTick()-f.now, 250*ms)), func() { f.tick(n) })
}

func (f *fleet) wakeUp(n *node) {
	for _, receive := range n.unread {
		receive()
	}
	n.unread = nil
	f.closeLinks(n)
	to, s := n.Tick(f.now)
	for _, address := range to {
		f.send(n, address, s)
	}
}

func (f *fleet) send(from *node, address string, s *Shuffle) {
	data := codec.MarshalAppend(nil, s)
	f.traffic.messages++
	f.traffic.bytes += len(data)
	if f.onSend != nil {
		f.onSend(from, address, data)
	}
	to := f.nodes[address]
	if to == nil || to.dead || f.partition(from, to) {
		f.after(connectTimeout, func() {
			if !from.dead {
				from.ConnectionLost(f.now, address)
			}
		})
		return
	}
	if !s.Reply {
		f.connect(from, to)
	}
	if to.frozen { // its pings go unanswered
		f.after(connectTimeout, func() { from.ConnectionLost(f.now, address) })
	}
	if from.self.Zone != to.self.Zone {
		f.traffic.bytesAcross += len(data)
	}
	f.after(messageDelay, func() { f.deliver(from, to, s) })
}

// deliver hands a message to a process, which reads it when it is thawed if it is frozen.
func (f *fleet) deliver(from, to *node, s *Shuffle) {
	receive := func() { f.receive(from, to, s) }
	switch {
	case to.frozen:
		to.unread = append(to.unread, receive)
	case !to.dead:
		receive()
	}
}

func (f *fleet) receive(from, to *node, s *Shuffle) {
	reply, changed := to.Receive(f.now, s)
	if changed {
		f.traffic.changes++
	}
	if f.onReceive != nil {
		f.onReceive(from, to)
	}
	if reply != nil {
		f.send(to, from.self.Address, reply)
	}
}

// live are the processes of a zone, or of all, that run.
func (f *fleet) live(zone string) (out []*node) {
	for _, n := range f.order {
		if !n.dead && (zone == "" || n.self.Zone == zone) {
			out = append(out, n)
		}
	}
	return out
}

// converged reports whether everybody knows their zone exactly and nobody dead, and all name the same owners for services in zones.
func (f *fleet) converged(zones, services []string) bool {
	running := map[string][]uint64{}
	for _, zone := range zones {
		for _, n := range f.live(zone) {
			running[zone] = append(running[zone], n.self.Incarnation)
		}
		slices.Sort(running[zone])
	}
	owners := map[string][]uint64{}
	for _, n := range f.live("") {
		if !n.knowsExactly(running) || !n.agreesOnOwners(owners, zones, services) {
			return false
		}
	}
	return true
}

// knowsExactly reports whether a view holds all members of the own zone, and nobody who doesn't run.
func (n *node) knowsExactly(running map[string][]uint64) bool {
	var ofZone []uint64
	for _, m := range n.Members() {
		if m.Zone == n.self.Zone {
			ofZone = append(ofZone, m.Incarnation)
		} else if _, runs := slices.BinarySearch(running[m.Zone], m.Incarnation); !runs {
			return false
		}
	}
	slices.Sort(ofZone)
	return slices.Equal(ofZone, running[n.self.Zone])
}

// agreesOnOwners reports whether a view names the owners that are given, and adds those of services that aren't.
func (n *node) agreesOnOwners(owners map[string][]uint64, zones, services []string) bool {
	for _, zone := range zones {
		for _, service := range services {
			var own []uint64
			for _, m := range n.RegistryOwners(service, zone, 2) {
				own = append(own, m.Incarnation)
			}
			key := zone + " " + service
			if owners[key] == nil {
				owners[key] = own
			}
			if !slices.Equal(own, owners[key]) {
				return false
			}
		}
	}
	return true
}

// kept is who knows whom, by incarnations, of those that are to be known: the own zone and the first of each other zone.
func (f *fleet) kept(zones []string) map[[2]uint64]bool {
	kept := map[[2]uint64]bool{}
	for _, zone := range zones {
		members := f.live(zone)
		slices.SortFunc(members, func(a, b *node) int {
			return cmp.Compare(rendezvous.Mix(a.self.Incarnation), rendezvous.Mix(b.self.Incarnation))
		})
		for i, m := range members {
			for _, n := range f.live("") {
				toKeep := i < n.config.MaxMembersPerRemoteZone || n.self.Zone == zone
				if toKeep && n.table.byIncarnation[m.self.Incarnation] != nil {
					kept[[2]uint64{n.self.Incarnation, m.self.Incarnation}] = true
				}
			}
		}
	}
	return kept
}

// logTraffic logs and resets the traffic of a span, for each member and second.
func (f *fleet) logTraffic(what string, span time.Duration) {
	f.t.Helper()
	n := float64(len(f.live(""))) * max(span.Seconds(), 0.1)
	f.t.Logf("%s: %v; for each member and second %.1f messages, %.1f kB, %.1f kB of them across, %.2f changes", what, span,
		float64(f.traffic.messages)/n, float64(f.traffic.bytes)/n/1e3, float64(f.traffic.bytesAcross)/n/1e3, float64(f.traffic.changes)/n)
	f.traffic = traffic{}
}

// event is what happens at a time; of two at one time the one that was scheduled first comes first.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
