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

// The core is partitioned into two halves while clients reach both, in systems that tolerate one or two losses. At most one half applies
// changes. Neither half returns a version older than the newest that was acknowledged. The partition ends and all servers lose power at
// the same time; after that the newest acknowledged version is still read.
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
						core.c.Assert(core.newest(ctx, i) >= newest, qt.IsTrue,
							qt.Commentf("server %d of %d returned an older version than %v, half %b", i, size.n, newest, half))
					}
					newest = core.newest(ctx, 0)
					core.c.Assert(core.replace(ctx, size.n-1, newest, newest+1), qt.Equals, Committed)
				})
			})
		}
	}
}

// halves returns the ways to split n servers into halves, as bit sets of the servers of the half without the last server. If n is odd,
// that half is one server larger or smaller than the other.
func halves(n int) (sets []int) {
	for half := 1; half < 1<<(n-1); half++ {
		if size := bits.OnesCount(uint(half)); size == n/2 || size == (n+1)/2 {
			sets = append(sets, half)
		}
	}
	return sets
}

// block sets the pairs of servers between which all messages are lost.
func (t *testCore) block(blocked map[[2]string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked = blocked
}

// cutIntoHalves partitions the servers in the bit set half from the others, and sends changes and reads to all servers for six seconds. It
// returns the newest version that was acknowledged or read. The servers are still partitioned when it returns.
func cutIntoHalves(ctx context.Context, core *testCore, servers, half int) configuration.Version {
	inHalf := func(i int) bool { return half>>i&1 == 1 }
	blocked := map[[2]string]bool{}
	for i := range servers {
		for j := range servers {
			if inHalf(i) != inHalf(j) {
				blocked[[2]string{node(i), node(j)}] = true
			}
		}
	}
	core.block(blocked)
	acknowledged, sent := configuration.Version(1), configuration.Version(1)
	applied := map[bool]bool{} // whether a change was applied, by inHalf of the server that applied it
	for began := time.Now(); time.Since(began) < 6*time.Second; {
		for i := range servers {
			sent++
			shortCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			if core.server(i).Replace(shortCtx, acknowledged, config(sent, "")).Outcome == Committed {
				acknowledged = sent
				applied[inHalf(i)] = true
			}
			cancel()
			acknowledged = core.readAll(ctx, servers, acknowledged, half)
		}
	}
	core.c.Assert(applied[false] && applied[true], qt.IsFalse, qt.Commentf("both halves applied changes, half %b", half))
	return acknowledged
}

// readAll reads at all servers. None of them may return a version older than the newest that was acknowledged or read before. readAll
// returns the newest version that it read, or acknowledged if no server answered.
func (t *testCore) readAll(ctx context.Context, n int, acknowledged configuration.Version, half int) configuration.Version {
	for i := range n {
		shortCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		value, err := t.server(i).ReadLatest(shortCtx)
		cancel()
		if err != nil {
			continue
		}
		t.c.Assert(value.Version >= acknowledged, qt.IsTrue,
			qt.Commentf("server %d returned %v, but %v was acknowledged or read before, half %b", i, value.Version, acknowledged, half))
		acknowledged = value.Version // may be newer: a change whose outcome was Unknown may have been committed
	}
	return acknowledged
}
