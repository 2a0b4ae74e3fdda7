package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A partition lasts twenty seconds, in which two members apply a new configuration. Shuffles carry its version: by shuffles alone, all
// members must know the version within two seconds after the end of the partition.
func TestVersionAfterPartition(t *testing.T) {
	isCore := func(n *node) bool { return n.self.Role == RoleCore }
	partitions := map[string]func(first, a, b *node) bool{
		"one core machine, from all": func(first, a, b *node) bool { return a == first || b == first },
		"one core machine, from the core": func(first, a, b *node) bool {
			return isCore(a) && isCore(b) && (a == first || b == first)
		},
		"a zone":                    func(first, a, b *node) bool { return zonePartition(first.self.Zone)(a, b) },
		"the core, from all others": func(_, a, b *node) bool { return isCore(a) != isCore(b) },
	}
	for name, partition := range partitions {
		t.Run(name, func(t *testing.T) {
			slowest := time.Duration(0)
			for seed := range uint64(8) {
				slowest = max(slowest, versionAfterPartition(t, seed, partition))
			}
			t.Logf("all members know the version %v after the partition at the latest", slowest)
			qt.Check(t, slowest <= 2*time.Second, qt.IsTrue)
		})
	}
}

// versionAfterPartition returns the time from the end of a partition until all members know a version. The second and the third member
// learn the version halfway through the partition. The partition function gets the first member as its first argument.
func versionAfterPartition(t *testing.T, seed uint64, partition func(first, a, b *node) bool) time.Duration {
	t.Helper()
	const members = 15
	fleet := startFleet(t, seed, fleetSize{members: members, cores: 3, seeds: 3, zones: zoneNames(3)})
	versions := map[*node]int{}
	fleet.onReceive = func(from, to *node) { versions[to] = max(versions[to], versions[from]) }
	fleet.run(20*time.Second, nil)
	first := fleet.order[0]
	fleet.partitionBy(func(a, b *node) bool { return partition(first, a, b) })
	fleet.run(10*time.Second, nil)
	versions[fleet.order[1]] = 1
	versions[fleet.order[2]] = 1
	fleet.run(10*time.Second, nil)
	fleet.heal()
	return fleet.run(30*time.Second, func() bool { return len(versions) == members && lowestVersion(versions) == 1 })
}

// lowestVersion returns the lowest version that any node knows.
func lowestVersion(versions map[*node]int) int {
	minimum := 1 << 30
	for _, version := range versions {
		minimum = min(minimum, version)
	}
	return minimum
}
