package controlplane

import (
	"context"
	"fmt"
	"math/bits"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// The core is partitioned into two halves, with every number of tolerated losses, while operators and sidecars reach both. At most one
// half accepts changes. Neither returns a version older than what was acknowledged before. When the partition ends, and all servers
// lose power at that moment, everything that was acknowledged is still read.
func TestCutIntoHalves(t *testing.T) {
	for _, size := range []struct{ n, tolerated, voters int }{{3, 1, 3}, {4, 1, 3}, {5, 2, 5}} {
		for _, half := range halves(size.n) {
			t.Run(fmt.Sprintf("%d servers, half %b", size.n, half), func(t *testing.T) {
				runGrown(t, size.n, size.tolerated, size.voters, func(ctx context.Context, core *testCore) {
					core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
					newest := cutIntoHalves(ctx, core, size.n, half)
					for i := range size.n {
						core.stop(i)
					}
					core.block(nil)
					for i := range size.n {
						core.start(i, false)
					}
					for i := range size.n {
						core.c.Assert(core.newest(ctx, i) >= newest, qt.IsTrue, qt.Commentf("%d of %d, half %b", i, size.n, half))
					}
					newest = core.newest(ctx, 0)
					core.c.Assert(core.replace(ctx, size.n-1, newest, newest+1), qt.Equals, Committed)
				})
			})
		}
	}
}

// halves returns the sets of half of n servers, as bits, without the last server.
func halves(n int) (sets []int) {
	for half := 1; half < 1<<(n-1); half++ {
		if size := bits.OnesCount(uint(half)); size == n/2 || size == (n+1)/2 {
			sets = append(sets, half)
		}
	}
	return sets
}

// block sets the pairs of servers between which nothing passes.
func (t *testCore) block(blocked map[[2]string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked = blocked
}

// cutIntoHalves partitions the servers of a set from the others for six seconds, and returns the newest version that was acknowledged.
func cutIntoHalves(ctx context.Context, core *testCore, servers, half int) configuration.Version {
	in := func(i int) bool { return half>>i&1 == 1 }
	blocked := map[[2]string]bool{}
	for i := range servers {
		for j := range servers {
			if in(i) != in(j) {
				blocked[[2]string{node(i), node(j)}] = true
			}
		}
	}
	core.block(blocked)
	acknowledged, sent := configuration.Version(1), configuration.Version(1)
	took := map[bool]bool{} // by half
	for began := time.Now(); time.Since(began) < 6*time.Second; {
		for i := range servers {
			sent++
			short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			if core.server(i).Replace(short, acknowledged, config(sent, "")).Outcome == Committed {
				acknowledged = sent
				took[in(i)] = true
			}
			cancel()
			acknowledged = core.readAll(ctx, servers, acknowledged, half)
		}
	}
	core.c.Assert(took[false] && took[true], qt.IsFalse, qt.Commentf("half %b", half))
	return acknowledged
}

// readAll reads at all servers, none of which may return a version older than what was acknowledged or read before. It returns the
// newest version.
func (t *testCore) readAll(ctx context.Context, n int, acknowledged configuration.Version, half int) configuration.Version {
	for i := range n {
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		value, err := t.server(i).ReadLatest(short)
		cancel()
		if err != nil {
			continue
		}
		t.c.Assert(value.Version >= acknowledged, qt.IsTrue,
			qt.Commentf("%d answers %v, %v was acknowledged, half %b", i, value.Version, acknowledged, half))
		acknowledged = value.Version // a change without an answer may be in force
	}
	return acknowledged
}
