package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Machines are partitioned for twenty seconds, during which members on the other side apply a new configuration. Shuffles carry its
// version: by shuffles alone all members know it within two seconds after the partition.
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
			t.Logf("all know it after %v at most", slowest)
			qt.Check(t, slowest <= 2*time.Second, qt.IsTrue)
		})
	}
}

// versionAfterPartition returns the time from the end of a partition until all members know a version. Two of them know it halfway through
// the partition, in which the first member takes part.
func versionAfterPartition(t *testing.T, seed uint64, partition func(first, a, b *node) bool) time.Duration {
	t.Helper()
	const members = 15
	f := startFleet(t, seed, fleetSize{members: members, cores: 3, seeds: 3, zones: zoneNames(3)})
	versions := map[*node]int{}
	f.onReceive = func(from, to *node) { versions[to] = max(versions[to], versions[from]) }
	f.run(20*time.Second, nil)
	first := f.order[0]
	f.partitionBy(func(a, b *node) bool { return partition(first, a, b) })
	f.run(10*time.Second, nil)
	versions[f.order[1]] = 1
	versions[f.order[2]] = 1
	f.run(10*time.Second, nil)
	f.heal()
	return f.run(30*time.Second, func() bool { return len(versions) == members && lowest(versions) == 1 })
}

// lowest returns the lowest version of all nodes.
func lowest(versions map[*node]int) int {
	least := 1 << 30
	for _, version := range versions {
		least = min(least, version)
	}
	return least
}
