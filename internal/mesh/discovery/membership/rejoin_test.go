package membership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Machines are cut off for twenty seconds, during which a new configuration comes in force on the other side. Shuffles carry its
// version: how long after the cut all know it, by shuffles alone.
func TestVersionAfterACut(t *testing.T) {
	core := func(n *node) bool { return n.self.Role == RoleCore }
	cuts := map[string]func(first, a, b *node) bool{
		"one core machine, from all":      func(first, a, b *node) bool { return a == first || b == first },
		"one core machine, from the core": func(first, a, b *node) bool { return core(a) && core(b) && (a == first || b == first) },
		"a zone": func(first, a, b *node) bool {
			return (a.self.Zone == first.self.Zone) != (b.self.Zone == first.self.Zone)
		},
		"the core, from all others": func(_, a, b *node) bool { return core(a) != core(b) },
	}
	for name, cut := range cuts {
		slowest := time.Duration(0)
		for seed := range uint64(8) {
			f := newFleet(t, seed)
			f.seeds = []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
			for i := range 15 {
				role := RoleAccess
				if i < 3 {
					role = RoleCore
				}
				f.start(fmt.Sprintf("10.0.0.%d:1", i), fmt.Sprintf("zone-%d", i%3), role)
			}
			versions := map[*node]int{}
			f.took = func(from, to *node) { versions[to] = max(versions[to], versions[from]) }
			f.run(20*time.Second, nil)
			first := f.order[0]
			f.cut, f.cutAt = func(a, b *node) bool { return cut(first, a, b) }, f.now
			f.run(10*time.Second, nil)
			versions[f.order[1]], versions[f.order[2]] = 1, 1
			f.run(10*time.Second, nil)
			f.cut = func(_, _ *node) bool { return false }
			slowest = max(slowest, f.run(30*time.Second, func() bool { return len(versions) == 15 && lowest(versions) == 1 }))
		}
		t.Logf("%s: all know it after %v at most", name, slowest)
		qt.Check(t, slowest <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", name))
	}
}

func lowest(versions map[*node]int) int {
	least := 1 << 30
	for _, v := range versions {
		least = min(least, v)
	}
	return least
}
