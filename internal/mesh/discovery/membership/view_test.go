package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

const ms = time.Millisecond

// newMember returns a record of a member in region r.
func newMember(incarnation uint64, address, zone string, heartbeat uint64) Member {
	return Member{Incarnation: incarnation, Address: address, Zone: zone, Region: "r", Heartbeat: heartbeat}
}

// newView returns the view of a process with incarnation 1000 in zone z. It holds no other member.
func newView() *View {
	return New(newMember(1000, "10.0.0.1:1", "z", 1), Config{}, rand.New(rand.NewPCG(1, 2)))
}

// knownIncarnations returns the sorted incarnations of the members of a view, except that of its own process.
func knownIncarnations(v *View) []uint64 {
	var known []uint64
	for _, m := range v.Members() {
		if m.Incarnation != v.self.Incarnation {
			known = append(known, m.Incarnation)
		}
	}
	slices.Sort(known)
	return known
}

// shuffleFrom returns a reply that a member sends, with tombstones.
func shuffleFrom(m Member, tombstones ...Tombstone) *Shuffle {
	return &Shuffle{From: m, Tombstones: tombstones, Reply: true}
}

// shuffleOf returns a reply that incarnation 1 sends, with records of other members.
func shuffleOf(members ...Member) *Shuffle {
	return &Shuffle{From: newMember(1, "10.0.0.2:1", "z", 1), Members: members, Reply: true}
}

// aged returns a copy of a member's record with the given age of its heartbeat.
func aged(m Member, age time.Duration) Member {
	m.HeartbeatAge = age
	return m
}

// A process restarts at its address. The messages about its two incarnations arrive in all orders, and in all orders with one of them
// duplicated. In the end the view must hold the new incarnation and not the old one. Once the new incarnation has replaced the old one,
// the view must not add the old one again.
func TestRestartInAllOrders(t *testing.T) {
	const address = "10.0.0.9:1"
	messages := []*Shuffle{
		shuffleOf(aged(newMember(7, address, "z", 39), 2500*ms)),
		shuffleOf(aged(newMember(7, address, "z", 40), 2*time.Second)),
		shuffleOf(aged(newMember(8, address, "z", 1), 500*ms)),
		shuffleFrom(newMember(8, address, "z", 2)),
		shuffleFrom(newMember(1, "10.0.0.2:1", "z", 1), Tombstone{Incarnation: 7, Address: address, Heartbeat: 40}),
	}
	forEachOrder(len(messages), func(order []int) {
		checkRestart(t, messages, order)
		for twice := range messages {
			for at := range len(order) + 1 {
				checkRestart(t, messages, slices.Insert(slices.Clone(order), at, twice))
			}
		}
	})
}

// checkRestart passes messages to a view in one order, and checks that incarnation 8 replaces incarnation 7 permanently.
func checkRestart(t *testing.T, messages []*Shuffle, order []int) {
	t.Helper()
	view := newView()
	replaced := false
	for i, n := range order {
		view.Receive(time.Duration(i)*ms, messages[n])
		known := knownIncarnations(view)
		if replaced && slices.Contains(known, 7) {
			t.Fatalf("order %v: the view holds incarnation 7 after incarnation 8 had replaced it", order)
		}
		replaced = replaced || slices.Contains(known, 8)
	}
	qt.Assert(t, knownIncarnations(view), qt.DeepEquals, []uint64{1, 8}, qt.Commentf("order %v", order))
}

// forEachOrder calls f with each permutation of the numbers below n.
func forEachOrder(n int, f func(order []int)) {
	var extend func(order []int)
	extend = func(order []int) {
		if len(order) == n {
			f(order)
			return
		}
		for i := range n {
			if !slices.Contains(order, i) {
				extend(append(slices.Clone(order), i))
			}
		}
	}
	extend(nil)
}

// Ages don't include the transit time of messages, so an incarnation that has just ended may seem slightly newer than its successor. If a
// view has replaced the successor because of that, later heartbeats of the successor must correct the view.
func TestEndedIncarnationSeemsNewer(t *testing.T) {
	c := qt.New(t)
	const address = "10.0.0.9:1"
	view := newView()
	view.Receive(0, shuffleOf(aged(newMember(8, address, "z", 1), 500*ms)))
	view.Receive(0, shuffleOf(aged(newMember(7, address, "z", 40), 480*ms)))
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 8})
	view.Receive(0, shuffleOf(newMember(7, address, "z", 41)))
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 7},
		qt.Commentf("the heartbeat of incarnation 7 is newer by more than a gossip interval"))
	view.Receive(9*time.Second, shuffleOf(newMember(8, address, "z", 19)))
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 7})
	view.Receive(11*time.Second, shuffleOf(newMember(8, address, "z", 23)))
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 8})
}

func TestHigherHeartbeatRefutesTombstone(t *testing.T) {
	c := qt.New(t)
	view := newView()
	view.Receive(0, shuffleOf(newMember(7, "10.0.0.7:1", "z", 5)))
	view.Receive(0, shuffleFrom(newMember(1, "10.0.0.2:1", "z", 2), Tombstone{7, "10.0.0.7:1", 4}))
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 7})
	view.Receive(0, shuffleFrom(newMember(1, "10.0.0.2:1", "z", 2), Tombstone{7, "10.0.0.7:1", 5}))
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1})
	view.Receive(0, shuffleOf(newMember(7, "10.0.0.7:1", "z", 5)))
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1})
	view.Receive(0, shuffleOf(newMember(7, "10.0.0.7:1", "z", 6)))
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 7},
		qt.Commentf("a heartbeat above the tombstone's refutes the tombstone"))
	reply, _ := view.Receive(0, &Shuffle{From: newMember(1, "10.0.0.2:1", "z", 3), Tombstones: []Tombstone{{1000, "10.0.0.1:1", 30}}})
	c.Assert(reply.From.Heartbeat, qt.Equals, uint64(31), qt.Commentf("this process refutes its tombstone by a heartbeat above it"))
	var read Shuffle
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, reply), &read), qt.IsNil)
	c.Assert(&read, qt.DeepEquals, reply)
}

func TestUnreachableUntilItsHeartbeatAdvances(t *testing.T) {
	c := qt.New(t)
	view := newView()
	for i := range uint64(3) {
		view.Receive(0, shuffleFrom(newMember(i+1, fmt.Sprintf("10.0.0.%d:1", i+2), "z", 1)))
	}
	view.Tick(0)
	view.ConnectionLost(0, "10.0.0.2:1")
	view.ConnectionLost(0, "10.0.0.3:1")
	to, s := view.Tick(100 * ms)
	c.Assert(to, qt.DeepEquals, []string{"10.0.0.2:1", "10.0.0.3:1"},
		qt.Commentf("Tick contacts unreachable members before the next regular shuffle"))
	c.Assert(s.Members, qt.HasLen, 3)
	view.Receive(time.Second, shuffleOf(newMember(2, "10.0.0.3:1", "z", 2)))
	view.Tick(1900 * ms)
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 2, 3})
	view.Tick(2 * time.Second)
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{2, 3})
	_, s = view.Tick(2600 * ms) // a regular shuffle is due by then
	c.Assert(s.Tombstones, qt.DeepEquals, []Tombstone{{1, "10.0.0.2:1", 1}})
	for now := 2600 * ms; now < 10900*ms; now += 100 * ms {
		view.Tick(now)
		if now == 4*time.Second { // a heartbeat that is 3 s old counts from 1 s, not from its arrival
			view.Receive(now, shuffleOf(aged(newMember(3, "10.0.0.4:1", "z", 2), 3*time.Second)))
		}
	}
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{2, 3})
	view.Tick(11 * time.Second)
	c.Assert(knownIncarnations(view), qt.HasLen, 0)
}

// After a freeze of a view's process, no member departs because of the freeze. The heartbeats in the shuffles that the process sends have
// their real ages.
func TestFreezeRestartsTimeouts(t *testing.T) {
	c := qt.New(t)
	view := newView()
	view.Receive(0, shuffleOf(newMember(2, "10.0.0.3:1", "z", 2)))
	view.Tick(0)
	view.ConnectionLost(time.Second, "10.0.0.3:1")
	view.Tick(time.Second)
	_, s := view.Tick(9 * time.Second)
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 2})
	c.Assert(s.Members, qt.HasLen, 2)
	c.Assert(s.Members[0].HeartbeatAge, qt.Equals, 9*time.Second)
	view.Tick(10900 * ms)
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1, 2})
	view.Tick(11 * time.Second)
	c.Assert(knownIncarnations(view), qt.DeepEquals, []uint64{1},
		qt.Commentf("the unreachable member departs DisconnectGrace, 2 s, after the end of the freeze"))
}

func TestRegistryOwnersStayWhenOneDeparts(t *testing.T) {
	c := qt.New(t)
	view := newView()
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 30 {
		zone := []string{"y", "w"}[i%2]
		view.Receive(0, shuffleFrom(newMember(rng.Uint64(), fmt.Sprintf("10.0.1.%d:1", i), zone, 1)))
	}
	before := view.RegistryOwners("s", "y", 3)
	c.Assert(before, qt.HasLen, 3)
	view.Receive(0, shuffleFrom(before[2], Tombstone{before[0].Incarnation, before[0].Address, 1}))
	after := view.RegistryOwners("s", "y", 3)
	c.Assert(after[:2], qt.DeepEquals, before[1:])
	for _, m := range after {
		c.Assert(m.Zone, qt.Equals, "y")
	}
	view.SetRegion("empty", "r")
	c.Assert(view.RegistryOwners("s", "empty", 2), qt.HasLen, 2)
	c.Assert(view.RegistryOwners("s", "unknown", 2), qt.HasLen, 2)
	c.Assert(view.Zones(), qt.DeepEquals, []string{"w", "y", "z"})
	m, ok := view.MemberAt("10.0.1.3")
	c.Assert(ok && m.Address == "10.0.1.3:1", qt.IsTrue)
	_, ok = view.MemberAt("10.0.7.3")
	c.Assert(ok, qt.IsFalse)
}

// Ages count from the time at which a member was last known to be alive, whether it has reported to this process itself or another member
// has, and do not appear in Members.
func TestMembersWithAges(t *testing.T) {
	c := qt.New(t)
	view := newView()
	view.Receive(time.Second, shuffleOf(aged(newMember(2, "10.0.0.3:1", "z", 7), 300*ms)))
	ages := map[uint64]time.Duration{}
	for _, m := range view.MembersWithAges(1500 * ms) {
		ages[m.Incarnation] = m.HeartbeatAge
	}
	c.Assert(ages, qt.DeepEquals, map[uint64]time.Duration{1: 500 * ms, 2: 800 * ms, 1000: 0})
	for _, m := range view.Members() {
		c.Assert(m.HeartbeatAge, qt.Equals, time.Duration(0))
	}
}
