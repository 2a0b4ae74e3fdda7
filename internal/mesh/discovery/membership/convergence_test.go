package membership

import (
	"runtime/debug"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Eighteen members join at the same time through three seeds. All views must hold all members within three gossip intervals. After a
// member is killed, all views must have removed it within 3.5 s.
func TestEighteenMembersJoin(t *testing.T) {
	c := qt.New(t)
	slowest := time.Duration(0)
	slowestEnd := time.Duration(0)
	zones := []string{"a", "b", "c", "d"}
	for seed := range uint64(20) {
		fleet := startFleet(t, seed, fleetSize{members: 18, cores: 4, seeds: 3, zones: zones})
		converged := func() bool { return fleet.converged(zones, []string{"s"}) }
		joining := func() time.Duration { return fleet.run(5*time.Second, converged) - 500*ms } // less the half second in which members start
		slowest = max(slowest, joining())
		fleet.run(8*time.Second, nil)
		fleet.traffic = traffic{}
		fleet.run(8*time.Second, nil)
		c.Assert(fleet.traffic.bytes < 18*8*1000 && fleet.traffic.changes == 0, qt.IsTrue,
			qt.Commentf("while quiet: got %d bytes and %d changes of views, want under 144000 bytes and none",
				fleet.traffic.bytes, fleet.traffic.changes))
		fleet.start("10.0.0.99:1", "a", RoleAccess)
		slowest = max(slowest, joining())
		fleet.start("10.0.0.8:1", "a", RoleAccess) // restarts the member at this address
		slowest = max(slowest, joining())
		fleet.run(8*time.Second, nil)
		fleet.killProcess(fleet.order[5+seed%13])
		slowestEnd = max(slowestEnd, fleet.run(5*time.Second, converged))
	}
	c.Check(slowestEnd <= 3500*ms, qt.IsTrue, qt.Commentf("a killed member was in some view for %v, want at most 3.5s", slowestEnd))
	t.Logf("all views removed a killed member within %v", slowestEnd)
	t.Logf("all views converged after joins and restarts within %v", slowest)
	c.Assert(slowest <= 1500*ms, qt.IsTrue, qt.Commentf("views converged after a join or restart in %v, want at most 1.5s", slowest))
}

// Two hundred members join, a tenth of them are killed, some freeze, some restart, and a partition between zones ends. All views must
// converge within a time limit after each event.
func TestTwoHundredMembers(t *testing.T) {
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

// fleetScenario runs one fleet through a sequence of events. Each check method causes one of them and checks its effects.
type fleetScenario struct {
	*fleet
	c        *qt.C
	zones    []string
	services []string
}

// allConverged reports whether all views have converged.
func (s *fleetScenario) allConverged() bool { return s.converged(s.zones, s.services) }

// checkConverges waits until all views have converged, and checks that this takes at most limit. what names the event in messages.
func (s *fleetScenario) checkConverges(what string, limit time.Duration) {
	s.c.Helper()
	took := s.run(60*time.Second, s.allConverged)
	s.logTraffic(what, took)
	s.c.Check(took <= limit, qt.IsTrue, qt.Commentf("%s: views converged in %v, want at most %v", what, took, limit))
}

// checkJoin checks that the members join, and that views lose none of the members they must hold in the 12 s after that.
func (s *fleetScenario) checkJoin() {
	s.checkConverges("join", 8*time.Second)
	s.run(2*time.Second, nil)
	s.logTraffic("after the join", 2*time.Second)
	known := s.heldPairs(s.zones)
	for range 12 {
		s.run(time.Second, nil)
		s.c.Check(s.allConverged(), qt.IsTrue, qt.Commentf("views have not converged at %v", s.now))
		now := s.heldPairs(s.zones)
		for pair := range known {
			s.c.Check(now[pair], qt.IsTrue,
				qt.Commentf("at %v: a view lost a member it must hold, incarnations of view and member %v", s.now, pair))
		}
		known = now
	}
	s.logTraffic("joined, before the fleet is quiet", 12*time.Second)
}

// checkQuiet checks that the fleet becomes quiet: no view changes, and each member sends less than 1 kB per second.
func (s *fleetScenario) checkQuiet(members int) {
	s.run(12*time.Second, nil)
	s.c.Check(s.allConverged(), qt.IsTrue, qt.Commentf("views have not converged at %v", s.now))
	s.c.Check(float64(s.traffic.bytes)/float64(members)/12 < 1000, qt.IsTrue,
		qt.Commentf("traffic in bytes per member and second while quiet: want less than 1000"))
	s.c.Check(s.traffic.changes, qt.Equals, 0)
	s.logTraffic("quiet", 12*time.Second)
}

// checkKilled ends one member together with its machine, and later a tenth of the members with their machines.
func (s *fleetScenario) checkKilled() {
	s.kill(s.order[len(s.order)/2])
	s.checkConverges("one member and its machine ended", 7*time.Second)
	s.run(10*time.Second, nil)
	s.logTraffic("after one member and its machine ended", 10*time.Second)

	killed := 0
	for _, n := range s.order {
		if s.rng.IntN(10) == 0 {
			s.kill(n)
			killed++
		}
	}
	s.c.Logf("%d members killed", killed)
	s.checkConverges("a tenth of the members killed", 12*time.Second)
}

// checkFrozen freezes ten members for five seconds, and checks that the views converge after that.
func (s *fleetScenario) checkFrozen() {
	frozen := s.order[10:20]
	for _, n := range frozen {
		s.freeze(n)
	}
	s.run(5*time.Second, nil)
	s.logTraffic("ten members frozen", 5*time.Second)
	for _, n := range frozen {
		n.frozen = false
	}
	s.checkConverges("frozen members resumed", 3*time.Second)
}

// checkRestarted restarts ten members, and checks that the views converge after that.
func (s *fleetScenario) checkRestarted() {
	for _, n := range slices.Clone(s.order[30:40]) {
		s.start(n.self.Address, n.self.Zone, n.self.Role)
	}
	s.checkConverges("ten members restarted", 5*time.Second)
}

// checkPartition partitions a zone from all others for eight seconds, and checks that the views converge after that.
func (s *fleetScenario) checkPartition() {
	s.partitionBy(zonePartition(s.zones[0]))
	s.run(8*time.Second, nil)
	s.logTraffic("a zone partitioned", 8*time.Second)
	s.heal()
	s.checkConverges("partition ended", 5*time.Second)
}

// zonePartition returns a function for partitionBy that separates a zone from all others.
func zonePartition(zone string) func(a, b *node) bool {
	return func(a, b *node) bool { return (a.self.Zone == zone) != (b.self.Zone == zone) }
}
