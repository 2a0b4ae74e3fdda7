package membership

import (
	"runtime/debug"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Eighteen members join at once through three seeds: all views hold all members within three gossip intervals. A killed member has left
// all views within 3.5 s.
func TestEighteenJoin(t *testing.T) {
	c := qt.New(t)
	slowest := time.Duration(0)
	slowestEnd := time.Duration(0)
	zones := []string{"a", "b", "c", "d"}
	for seed := range uint64(20) {
		fleet := startFleet(t, seed, fleetSize{members: 18, cores: 4, seeds: 3, zones: zones})
		converged := func() bool { return fleet.converged(zones, []string{"s"}) }
		joining := func() time.Duration { return fleet.run(5*time.Second, converged) - 500*ms } // they start over half a second
		slowest = max(slowest, joining())
		fleet.run(8*time.Second, nil)
		fleet.traffic = traffic{}
		fleet.run(8*time.Second, nil)
		c.Assert(fleet.traffic.bytes < 18*8*1000 && fleet.traffic.changes == 0, qt.IsTrue,
			qt.Commentf("%d bytes, %d changes while quiet", fleet.traffic.bytes, fleet.traffic.changes))
		fleet.start("10.0.0.99:1", "a", RoleAccess)
		slowest = max(slowest, joining())
		fleet.start("10.0.0.8:1", "a", RoleAccess) // a restart
		slowest = max(slowest, joining())
		fleet.run(8*time.Second, nil)
		fleet.killProcess(fleet.order[5+seed%13])
		slowestEnd = max(slowestEnd, fleet.run(5*time.Second, converged))
	}
	c.Check(slowestEnd <= 3500*ms, qt.IsTrue, qt.Commentf("a killed one is known after %v", slowestEnd))
	t.Logf("a killed one is known after %v", slowestEnd)
	t.Logf("worst %v", slowest)
	c.Assert(slowest <= 1500*ms, qt.IsTrue, qt.Commentf("%v", slowest))
}

// Two hundred members join, a tenth is killed, some freeze, some restart, and a partition between zones is healed.
func TestTwoHundred(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	scenario := &fleetScenario{
		c:        qt.New(t),
		zones:    zoneNames(4),
		services: []string{"service-0", "service-1", "service-2", "service-3"},
	}
	scenario.fleet = startFleet(t, 1, fleetSize{members: 200, cores: 4, seeds: 3, zones: scenario.zones})
	scenario.checkJoin()
	scenario.checkQuiet(200)
	scenario.checkKilled()
	scenario.checkFrozen()
	scenario.checkRestarted()
	scenario.checkPartition()
}

// fleetScenario takes one fleet through the events that its methods are named after, in their order.
type fleetScenario struct {
	*fleet
	c        *qt.C
	zones    []string
	services []string
}

// allConverged reports whether all views have converged.
func (s *fleetScenario) allConverged() bool { return s.converged(s.zones, s.services) }

// checkConverges waits until all views have converged, and checks that this takes no longer than limit.
func (s *fleetScenario) checkConverges(what string, limit time.Duration) {
	s.c.Helper()
	took := s.run(60*time.Second, s.allConverged)
	s.logTraffic(what, took)
	s.c.Check(took <= limit, qt.IsTrue, qt.Commentf("%s: %v", what, took))
}

// checkJoin checks that the members join, and that nobody is forgotten in the 12 s after that.
func (s *fleetScenario) checkJoin() {
	s.checkConverges("join", 8*time.Second)
	s.run(2*time.Second, nil)
	s.logTraffic("after it", 2*time.Second)
	known := s.kept(s.zones)
	for range 12 {
		s.run(time.Second, nil)
		s.c.Check(s.allConverged(), qt.IsTrue, qt.Commentf("at %v", s.now))
		now := s.kept(s.zones)
		for pair := range known {
			s.c.Check(now[pair], qt.IsTrue, qt.Commentf("at %v: %v", s.now, pair))
		}
		known = now
	}
	s.logTraffic("settling", 12*time.Second)
}

// checkQuiet checks that the fleet becomes quiet: the views don't change, and each member sends less than 1 kB a second.
func (s *fleetScenario) checkQuiet(members int) {
	s.run(12*time.Second, nil)
	s.c.Check(s.allConverged(), qt.IsTrue, qt.Commentf("at %v", s.now))
	s.c.Check(float64(s.traffic.bytes)/float64(members)/12 < 1000, qt.IsTrue, qt.Commentf("bytes while quiet"))
	s.c.Check(s.traffic.changes, qt.Equals, 0)
	s.logTraffic("quiet", 12*time.Second)
}

// checkKilled kills one member and then a tenth of them, with their machines.
func (s *fleetScenario) checkKilled() {
	s.kill(s.order[len(s.order)/2])
	s.checkConverges("one killed, its machine too", 7*time.Second)
	s.run(10*time.Second, nil)
	s.logTraffic("after it", 10*time.Second)

	killed := 0
	for _, n := range s.order {
		if s.rng.IntN(10) == 0 {
			s.kill(n)
			killed++
		}
	}
	s.c.Logf("%d killed", killed)
	s.checkConverges("a tenth killed", 12*time.Second)
}

// checkFrozen freezes ten members for five seconds.
func (s *fleetScenario) checkFrozen() {
	frozen := s.order[10:20]
	for _, n := range frozen {
		s.freeze(n)
	}
	s.run(5*time.Second, nil)
	s.logTraffic("ten frozen", 5*time.Second)
	for _, n := range frozen {
		n.frozen = false
	}
	s.checkConverges("thawed", 3*time.Second)
}

// checkRestarted restarts ten members.
func (s *fleetScenario) checkRestarted() {
	for _, n := range slices.Clone(s.order[30:40]) {
		s.start(n.self.Address, n.self.Zone, n.self.Role)
	}
	s.checkConverges("ten restarted", 5*time.Second)
}

// checkPartition partitions a zone from all others for eight seconds.
func (s *fleetScenario) checkPartition() {
	s.partitionBy(zonePartition(s.zones[0]))
	s.run(8*time.Second, nil)
	s.logTraffic("a zone partitioned", 8*time.Second)
	s.heal()
	s.checkConverges("healed", 5*time.Second)
}

// zonePartition returns the function for partitionBy that partitions a zone from all others.
func zonePartition(zone string) func(a, b *node) bool {
	return func(a, b *node) bool { return (a.self.Zone == zone) != (b.self.Zone == zone) }
}
