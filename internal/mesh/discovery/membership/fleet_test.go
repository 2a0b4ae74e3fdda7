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
	linkIdleTimeout = 30 * time.Second       // time after which an unused connection is closed
	linkPingTimeout = 3 * time.Second        // time after which a connection breaks if its pings aren't answered
	messageDelay    = time.Millisecond       // transit time of a message
	connectTimeout  = time.Second            // time after which a message to an unreachable process fails
	checkInterval   = 100 * time.Millisecond // time between two checks of a condition that a test waits for
)

// fleet simulates members in virtual time. A process that has sent a shuffle to another one keeps the connection open. The connection
// breaks immediately if the other process ends while its machine continues to run, as in a restart, and after linkPingTimeout if the
// machine doesn't respond. The same seed always gives the same run.
type fleet struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Duration
	queue       eventQueue
	scheduled   int              // number of events scheduled so far
	nodes       map[string]*node // newest node at each address
	order       []*node          // newest node at each address, in the order of the first use of the addresses
	seeds       []string
	partition   func(a, b *node) bool // reports whether two nodes can't reach each other
	partitionAt time.Duration         // time at which the partition began
	traffic     traffic

	// Hooks, which may be nil.
	onSend    func(from *node, address string, data []byte)
	onReceive func(from, to *node)
}

// traffic counts messages since it was last reset.
type traffic struct {
	messages          int
	bytes             int
	bytesBetweenZones int // bytes sent between zones
	changes           int // number of shuffles that changed a view
}

// node is one incarnation of a process.
type node struct {
	*View
	dead, frozen      bool
	unresponsiveSince time.Duration // time at which the node became unresponsive, by its end or by a freeze
	undelivered       []func()      // functions that receive the messages that arrived while the node was frozen
	links             []*link
}

// link is a connection that a node has opened.
type link struct {
	to     *node
	usedAt time.Duration // time of the last use
}

// newFleet returns a fleet without members.
func newFleet(tb testing.TB, seed uint64) *fleet {
	tb.Helper()
	return &fleet{t: tb, rng: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*node{}, partition: noPartition}
}

// noPartition is the partition function of a fleet in which all nodes can reach each other.
func noPartition(_, _ *node) bool { return false }

// fleetSize holds the size of a fleet. The members are assigned to the zones in turn; the first ones are the core members and the seeds.
type fleetSize struct {
	members, cores, seeds int
	zones                 []string
}

// startFleet returns a fleet whose members start at random times within the first half second.
func startFleet(tb testing.TB, seed uint64, size fleetSize) *fleet {
	tb.Helper()
	simulated := newFleet(tb, seed)
	for i := range size.seeds {
		simulated.seeds = append(simulated.seeds, memberAddress(i))
	}
	for i := range size.members {
		role := RoleAccess
		if i < size.cores {
			role = RoleCore
		}
		simulated.start(memberAddress(i), size.zones[i%len(size.zones)], role)
	}
	return simulated
}

// zoneNames returns the names zone-0, zone-1 and so on.
func zoneNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%d", i)
	}
	return names
}

// memberAddress returns the address of member i of startFleet.
func memberAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/256, i%256) }

// start starts a process. It ends a process that runs at the same address.
func (f *fleet) start(address, zone string, role Role) {
	member := newMember(f.rng.Uint64(), address, zone, 1)
	member.Role = role
	member.Service = "service-" + address[len(address)-4:len(address)-3]
	member.AppAddress = address[:len(address)-1] + "8080"
	started := &node{View: New(member, Config{}, rand.New(rand.NewPCG(f.rng.Uint64(), 0)))}
	if old := f.nodes[address]; old != nil {
		f.killProcess(old)
		f.order[slices.Index(f.order, old)] = started
	} else {
		f.order = append(f.order, started)
	}
	f.nodes[address] = started
	started.SetSeeds(f.seeds)
	f.after(time.Duration(f.rng.IntN(500))*ms, func() { f.tick(started) })
}

// kill ends a process together with its machine: connections to the process break after linkPingTimeout.
func (f *fleet) kill(n *node) {
	n.dead = true
	n.unresponsiveSince = f.now
}

// killProcess ends a process whose machine continues to run: connections to the process break immediately.
func (f *fleet) killProcess(n *node) {
	n.dead = true
	n.unresponsiveSince = f.now - linkPingTimeout
}

// freeze suspends a process, which then sends and receives nothing.
func (f *fleet) freeze(n *node) {
	n.frozen = true
	n.unresponsiveSince = f.now
}

// partitionBy partitions the fleet from now on: two nodes can't reach each other if the function returns true for them.
func (f *fleet) partitionBy(partition func(a, b *node) bool) {
	f.partition = partition
	f.partitionAt = f.now
}

// heal ends the partition.
func (f *fleet) heal() { f.partition = noPartition }

// connect opens a connection from a node to another one, or marks the existing connection as used.
func (f *fleet) connect(from, to *node) {
	i := slices.IndexFunc(from.links, func(l *link) bool { return l.to == to })
	if i < 0 {
		i = len(from.links)
		from.links = append(from.links, &link{to: to})
	}
	from.links[i].usedAt = f.now
}

// closeLinks closes the unused connections of a node, and breaks those whose pings aren't answered.
func (f *fleet) closeLinks(n *node) {
	n.links = slices.DeleteFunc(n.links, func(l *link) bool {
		unresponsive := l.to.dead || l.to.frozen
		unresponsiveSince := l.to.unresponsiveSince
		if !unresponsive && f.partition(n, l.to) {
			unresponsive = true
			unresponsiveSince = f.partitionAt
		}
		if unresponsive && f.now-unresponsiveSince >= linkPingTimeout {
			n.ConnectionLost(f.now, l.to.self.Address)
			return true
		}
		return f.now-l.usedAt > linkIdleTimeout
	})
}

// after schedules an event after a delay.
func (f *fleet) after(d time.Duration, do func()) {
	f.scheduled++
	heap.Push(&f.queue, event{f.now + d, f.scheduled, do})
}

// run advances the time until done returns true, and returns the time that passed. The test fails if that takes longer than limit. If
// done is nil, run advances the time by limit.
func (f *fleet) run(limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for check := f.now; f.now < start+limit; check += checkInterval {
		f.runEventsUntil(check)
		if done != nil && done() {
			return f.now - start
		}
	}
	if done != nil {
		f.t.Errorf("the expected state was not reached within %v", limit)
	}
	return limit
}

// runEventsUntil runs the events up to the given time.
func (f *fleet) runEventsUntil(at time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= at {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = at
}

// tick runs one turn of a process's main loop unless the process is frozen, and schedules the next turn.
func (f *fleet) tick(n *node) {
	if n.dead {
		return
	}
	if !n.frozen {
		f.runTurn(n)
	}
	f.after(max(100*ms, min(n.NextTick()-f.now, 250*ms)), func() { f.tick(n) })
}

// runTurn receives the messages that arrived while a process was frozen, and sends the shuffle that is due.
func (f *fleet) runTurn(n *node) {
	for _, receive := range n.undelivered {
		receive()
	}
	n.undelivered = nil
	f.closeLinks(n)
	to, s := n.Tick(f.now)
	for _, address := range to {
		f.send(n, address, s)
	}
}

// send sends a shuffle to an address. If the process there can't be reached, the sender's view is notified after connectTimeout.
func (f *fleet) send(from *node, address string, shuffle *Shuffle) {
	data := codec.MarshalAppend(nil, shuffle)
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
	if !shuffle.Reply {
		f.connect(from, to)
	}
	if to.frozen { // the process doesn't answer pings
		f.after(connectTimeout, func() { from.ConnectionLost(f.now, address) })
	}
	if from.self.Zone != to.self.Zone {
		f.traffic.bytesBetweenZones += len(data)
	}
	f.after(messageDelay, func() { f.deliver(from, to, shuffle) })
}

// deliver delivers a shuffle to a process. A frozen process receives it after it resumes.
func (f *fleet) deliver(from, to *node, shuffle *Shuffle) {
	receive := func() { f.receive(from, to, shuffle) }
	switch {
	case to.frozen:
		to.undelivered = append(to.undelivered, receive)
	case !to.dead:
		receive()
	}
}

// receive merges a shuffle into the receiver's view, and sends the reply.
func (f *fleet) receive(from, to *node, shuffle *Shuffle) {
	reply, changed := to.Receive(f.now, shuffle)
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

// runningNodes returns the running processes of a zone, or of all zones if zone is empty.
func (f *fleet) runningNodes(zone string) (out []*node) {
	for _, n := range f.order {
		if !n.dead && (zone == "" || n.self.Zone == zone) {
			out = append(out, n)
		}
	}
	return out
}

// converged reports whether each view holds exactly the running members of its own zone and no ended member of another zone, and whether
// all views return the same registry owners for the given services and zones.
func (f *fleet) converged(zones, services []string) bool {
	running := map[string][]uint64{}
	for _, zone := range zones {
		for _, n := range f.runningNodes(zone) {
			running[zone] = append(running[zone], n.self.Incarnation)
		}
		slices.Sort(running[zone])
	}
	owners := map[string][]uint64{}
	for _, n := range f.runningNodes("") {
		if !n.knowsExactly(running) || !n.agreesOnOwners(owners, zones, services) {
			return false
		}
	}
	return true
}

// knowsExactly reports whether a view holds all running members of its own zone, and no member of any zone that has ended. running holds
// the sorted incarnations of each zone.
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

// agreesOnOwners reports whether a view returns the registry owners in owners, and adds its own ones where owners has none.
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

// heldPairs returns pairs of incarnations where the view of the first holds the second. It considers only members that a view must hold:
// the members of its own zone, and the first members of each other zone.
func (f *fleet) heldPairs(zones []string) map[[2]uint64]bool {
	heldPairs := map[[2]uint64]bool{}
	for _, zone := range zones {
		members := f.runningNodes(zone)
		slices.SortFunc(members, func(a, b *node) int {
			return cmp.Compare(rendezvous.Mix(a.self.Incarnation), rendezvous.Mix(b.self.Incarnation))
		})
		for i, m := range members {
			for _, n := range f.runningNodes("") {
				mustHold := i < n.config.MaxMembersPerRemoteZone || n.self.Zone == zone
				if mustHold && n.table.byIncarnation[m.self.Incarnation] != nil {
					heldPairs[[2]uint64{n.self.Incarnation, m.self.Incarnation}] = true
				}
			}
		}
	}
	return heldPairs
}

// logTraffic logs the traffic per member and second in a period, and resets the counters.
func (f *fleet) logTraffic(what string, span time.Duration) {
	f.t.Helper()
	n := float64(len(f.runningNodes(""))) * max(span.Seconds(), 0.1)
	f.t.Logf("%s: %v; per member and second: %.1f messages, %.1f kB (%.1f kB between zones), %.2f changes of views", what, span,
		float64(f.traffic.messages)/n, float64(f.traffic.bytes)/n/1e3, float64(f.traffic.bytesBetweenZones)/n/1e3, float64(f.traffic.changes)/n)
	f.traffic = traffic{}
}

// event is a function that is called at a given time. Events with the same time are called in the order in which they were scheduled.
type event struct {
	at    time.Duration
	order int // value of fleet.scheduled when the event was scheduled
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
