package membership

import (
	"runtime/debug"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Eighteen join at once through three seeds: everybody knows everybody within three gossip intervals.
func TestEighteenJoin(t *testing.T) {
	c := qt.New(t)
	slowest := time.Duration(0)
	slowestEnd := time.Duration(0)
	zones := []string{"a", "b", "c", "d"}
	for seed := range uint64(20) {
		f := startFleet(t, seed, fleetSize{members: 18, cores: 4, seeds: 3, zones: zones})
		converged := func() bool { return f.converged(zones, []string{"s"}) }
		joining := func() time.Duration { return f.run(5*time.Second, converged) - 500*ms } // they start over half a second
		slowest = max(slowest, joining())
		f.run(8*time.Second, nil)
		f.traffic = traffic{}
		f.run(8*time.Second, nil)
		c.Assert(f.traffic.bytes < 18*8*1000 && f.traffic.changes == 0, qt.IsTrue,
			qt.Commentf("%d bytes, %d changes while quiet", f.traffic.bytes, f.traffic.changes))
		f.start("10.0.0.99:1", "a", RoleAccess)
		slowest = max(slowest, joining())
		f.start("10.0.0.8:1", "a", RoleAccess) // restarts
		slowest = max(slowest, joining())
		f.run(8*time.Second, nil)
		f.killProcess(f.order[5+seed%13])
		slowestEnd = max(slowestEnd, f.run(5*time.Second, converged))
	}
	c.Check(slowestEnd <= 3500*ms, qt.IsTrue, qt.Commentf("a killed one is known after %v", slowestEnd))
	t.Logf("a killed one is known after %v", slowestEnd)
	t.Logf("worst %v", slowest)
	c.Assert(slowest <= 1500*ms, qt.IsTrue, qt.Commentf("%v", slowest))
}

// Two hundred join, a tenth is killed, some freeze, some restart, and a partition between zones is healed.
func TestTwoHundred(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	d := &fleetDay{
		c:        qt.New(t),
		zones:    zoneNames(4),
		services: []string{"service-0", "service-1", "service-2", "service-3"},
	}
	d.fleet = startFleet(t, 1, fleetSize{members: 200, cores: 4, seeds: 3, zones: d.zones})
	d.join()
	d.quiet(200)
	d.killed()
	d.frozen()
	d.restarted()
	d.partitioned()
}

// fleetDay takes a fleet through what may happen to it, in the order of its methods.
type fleetDay struct {
	*fleet
	c        *qt.C
	zones    []string
	services []string
}

func (d *fleetDay) allConverged() bool { return d.converged(d.zones, d.services) }

// checkConverges waits until all views converge, which may take so long.
func (d *fleetDay) checkConverges(what string, limit time.Duration) {
	d.c.Helper()
	took := d.run(60*time.Second, d.allConverged)
	d.logTraffic(what, took)
	d.c.Check(took <= limit, qt.IsTrue, qt.Commentf("%s: %v", what, took))
}

func (d *fleetDay) join() {
	d.checkConverges("join", 8*time.Second)
	d.run(2*time.Second, nil)
	d.logTraffic("after it", 2*time.Second)
	known := d.kept(d.zones)
	for range 12 { // nobody is forgotten
		d.run(time.Second, nil)
		d.c.Check(d.allConverged(), qt.IsTrue, qt.Commentf("at %v", d.now))
		now := d.kept(d.zones)
		for pair := range known {
			d.c.Check(now[pair], qt.IsTrue, qt.Commentf("at %v: %v", d.now, pair))
		}
		known = now
	}
	d.logTraffic("settling", 12*time.Second)
}

func (d *fleetDay) quiet(members int) {
	d.run(12*time.Second, nil)
	d.c.Check(d.allConverged(), qt.IsTrue, qt.Commentf("at %v", d.now))
	d.c.Check(float64(d.traffic.bytes)/float64(members)/12 < 1000, qt.IsTrue, qt.Commentf("bytes while quiet"))
	d.c.Check(d.traffic.changes, qt.Equals, 0)
	d.logTraffic("quiet", 12*time.Second)
}

func (d *fleetDay) killed() {
	d.kill(d.order[len(d.order)/2])
	d.checkConverges("one killed, its machine too", 7*time.Second)
	d.run(10*time.Second, nil)
	d.logTraffic("after it", 10*time.Second)

	killed := 0
	for _, n := range d.order {
		if d.rng.IntN(10) == 0 {
			d.kill(n)
			killed++
		}
	}
	d.c.Logf("%d killed", killed)
	d.checkConverges("a tenth killed", 12*time.Second)
}

func (d *fleetDay) frozen() {
	frozen := d.order[10:20]
	for _, n := range frozen {
		d.freeze(n)
	}
	d.run(5*time.Second, nil)
	d.logTraffic("ten frozen", 5*time.Second)
	for _, n := range frozen {
		n.frozen = false
	}
	d.checkConverges("thawed", 3*time.Second)
}

func (d *fleetDay) restarted() {
	for _, n := range slices.Clone(d.order[30:40]) {
		d.start(n.self.Address, n.self.Zone, n.self.Role)
	}
	d.checkConverges("ten restarted", 5*time.Second)
}

func (d *fleetDay) partitioned() {
	d.partitionBy(zonePartition(d.zones[0]))
	d.run(8*time.Second, nil)
	d.logTraffic("a zone partitioned", 8*time.Second)
	d.heal()
	d.checkConverges("healed", 5*time.Second)
}

// zonePartition is a partition between a zone and all others.
func zonePartition(zone string) func(a, b *node) bool {
	return func(a, b *node) bool { return (a.self.Zone == zone) != (b.self.Zone == zone) }
}
