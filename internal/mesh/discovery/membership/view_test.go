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

func member(life uint64, address, zone string, beat uint64) Member {
	return Member{Incarnation: life, Address: address, Zone: zone, Region: "r", Heartbeat: beat}
}

func view(bounds Config) *View {
	return New(member(1000, "10.0.0.1:1", "z", 1), bounds, rand.New(rand.NewPCG(1, 2)))
}

// lives are those known besides the own one.
func lives(v *View) (out []uint64) {
	for _, m := range v.Members() {
		if m.Incarnation != v.self.Incarnation {
			out = append(out, m.Incarnation)
		}
	}
	slices.Sort(out)
	return out
}

func from(m Member, gone ...Tombstone) *Shuffle {
	return &Shuffle{From: m, Tombstones: gone, Reply: true}
}

func of(ms ...Member) *Shuffle {
	return &Shuffle{From: member(1, "10.0.0.2:1", "z", 1), Members: ms, Reply: true}
}

func aged(m Member, age time.Duration) Member {
	m.HeartbeatAge = age
	return m
}

// A process restarts at its address. In all orders of what is heard of its two lives, with any one message twice, the new
// life is known in the end and the old one is not, and a life that another one replaced does not come back by learned.
func TestRestartInAllOrders(t *testing.T) {
	c := qt.New(t)
	const at = "10.0.0.9:1"
	old, young := member(7, at, "z", 40), member(8, at, "z", 2)
	news := []*Shuffle{
		of(aged(member(7, at, "z", 39), 2500*ms)),
		of(aged(old, 2*time.Second)),
		of(aged(member(8, at, "z", 1), 500*ms)),
		from(young),
		from(member(1, "10.0.0.2:1", "z", 1), Tombstone{Incarnation: 7, Address: at, Heartbeat: 40}),
	}
	play := func(order []int) {
		v, replaced := view(Config{}), false
		for i, n := range order {
			v.Receive(time.Duration(i)*ms, news[n])
			known := lives(v)
			was := replaced
			replaced = replaced || slices.Contains(known, 8)
			if was && slices.Contains(known, 7) {
				c.Fatalf("order %v: the old life came back", order)
			}
		}
		c.Assert(lives(v), qt.DeepEquals, []uint64{1, 8}, qt.Commentf("order %v", order))
	}
	var each func(order []int)
	each = func(order []int) {
		if len(order) == len(news) {
			play(order)
			for twice := range news {
				for at := range len(order) + 1 {
					play(slices.Insert(slices.Clone(order), at, twice))
				}
			}
			return
		}
		for i := range news {
			if !slices.Contains(order, i) {
				each(append(slices.Clone(order), i))
			}
		}
	}
	each(nil)
}

// What is told says nothing of the time on the way: a life that just ended may seem a little newer than the one after it. And
// should it ever have been taken for the newer one, the other's beats put that right.
func TestEndedLifeSeemsNewer(t *testing.T) {
	c := qt.New(t)
	const at = "10.0.0.9:1"
	v := view(Config{})
	v.Receive(0, of(aged(member(8, at, "z", 1), 500*ms)))
	v.Receive(0, of(aged(member(7, at, "z", 40), 480*ms)))
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 8})
	v.Receive(0, of(member(7, at, "z", 41)))
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 7}, qt.Commentf("clearly newer"))
	v.Receive(9*time.Second, of(member(8, at, "z", 19)))
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 7})
	v.Receive(11*time.Second, of(member(8, at, "z", 23)))
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 8})
}

func TestGoneIsBelievedUpToItsBeat(t *testing.T) {
	c := qt.New(t)
	v := view(Config{})
	v.Receive(0, of(member(7, "10.0.0.7:1", "z", 5)))
	v.Receive(0, from(member(1, "10.0.0.2:1", "z", 2), Tombstone{7, "10.0.0.7:1", 4}))
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 7})
	v.Receive(0, from(member(1, "10.0.0.2:1", "z", 2), Tombstone{7, "10.0.0.7:1", 5}))
	c.Assert(lives(v), qt.DeepEquals, []uint64{1})
	v.Receive(0, of(member(7, "10.0.0.7:1", "z", 5)))
	c.Assert(lives(v), qt.DeepEquals, []uint64{1})
	v.Receive(0, of(member(7, "10.0.0.7:1", "z", 6)))
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 7}, qt.Commentf("it beat after all"))
	reply, _ := v.Receive(0, &Shuffle{From: member(1, "10.0.0.2:1", "z", 3), Tombstones: []Tombstone{{1000, "10.0.0.1:1", 30}}})
	c.Assert(reply.From.Heartbeat, qt.Equals, uint64(31), qt.Commentf("this one is not gone"))
	var read Shuffle
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, reply), &read), qt.IsNil)
	c.Assert(&read, qt.DeepEquals, reply)
}

func TestSuspectedUntilItBeats(t *testing.T) {
	c := qt.New(t)
	v := view(Config{})
	for i := range uint64(3) {
		v.Receive(0, from(member(i+1, fmt.Sprintf("10.0.0.%d:1", i+2), "z", 1)))
	}
	v.Tick(0)
	v.ConnectionLost(0, "10.0.0.2:1")
	v.ConnectionLost(0, "10.0.0.3:1")
	to, s := v.Tick(100 * ms)
	c.Assert(to, qt.DeepEquals, []string{"10.0.0.2:1", "10.0.0.3:1"}, qt.Commentf("asked before its turn"))
	c.Assert(s.Members, qt.HasLen, 3)
	v.Receive(time.Second, of(member(2, "10.0.0.3:1", "z", 2)))
	v.Tick(1900 * ms)
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 2, 3})
	v.Tick(2 * time.Second)
	c.Assert(lives(v), qt.DeepEquals, []uint64{2, 3})
	_, s = v.Tick(2600 * ms) // a pace is due by then
	c.Assert(s.Tombstones, qt.DeepEquals, []Tombstone{{1, "10.0.0.2:1", 1}})
	for now := 2600 * ms; now < 10900*ms; now += 100 * ms {
		v.Tick(now)
		if now == 4*time.Second {
			v.Receive(now, of(aged(member(3, "10.0.0.4:1", "z", 2), 3*time.Second))) // its beat is as old as told
		}
	}
	c.Assert(lives(v), qt.DeepEquals, []uint64{2, 3})
	v.Tick(11 * time.Second)
	c.Assert(lives(v), qt.HasLen, 0)
}

// A process that was frozen believes nobody dead for it, and tells nobody that old beats are new.
func TestFrozenProcessWakes(t *testing.T) {
	c := qt.New(t)
	v := view(Config{})
	v.Receive(0, of(member(2, "10.0.0.3:1", "z", 2)))
	v.Tick(0)
	v.ConnectionLost(time.Second, "10.0.0.3:1")
	v.Tick(time.Second)
	_, s := v.Tick(9 * time.Second)
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 2})
	c.Assert(s.Members, qt.HasLen, 2)
	c.Assert(s.Members[0].HeartbeatAge, qt.Equals, 9*time.Second)
	v.Tick(10900 * ms)
	c.Assert(lives(v), qt.DeepEquals, []uint64{1, 2})
	v.Tick(11 * time.Second)
	c.Assert(lives(v), qt.DeepEquals, []uint64{1}, qt.Commentf("the one lost before had two seconds more"))
}

func TestHomesMoveLittle(t *testing.T) {
	c := qt.New(t)
	v := view(Config{})
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 30 {
		zone := []string{"y", "w"}[i%2]
		v.Receive(0, from(member(rng.Uint64(), fmt.Sprintf("10.0.1.%d:1", i), zone, 1)))
	}
	before := v.RegistryOwners("s", "y", 3)
	c.Assert(before, qt.HasLen, 3)
	v.Receive(0, from(before[2], Tombstone{before[0].Incarnation, before[0].Address, 1}))
	after := v.RegistryOwners("s", "y", 3)
	c.Assert(after[:2], qt.DeepEquals, before[1:])
	for _, m := range after {
		c.Assert(m.Zone, qt.Equals, "y")
	}
	v.SetRegion("empty", "r")
	c.Assert(v.RegistryOwners("s", "empty", 2), qt.HasLen, 2)
	c.Assert(v.RegistryOwners("s", "unknown", 2), qt.HasLen, 2)
	c.Assert(v.Zones(), qt.DeepEquals, []string{"w", "y", "z"})
	m, ok := v.MemberAt("10.0.1.3")
	c.Assert(ok && m.Address == "10.0.1.3:1", qt.IsTrue)
	_, ok = v.MemberAt("10.0.7.3")
	c.Assert(ok, qt.IsFalse)
}
