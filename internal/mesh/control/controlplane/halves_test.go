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

// The core is cut into two halves, whatever losses it tolerates, while operators reach both and sidecars ask both: at most one half takes
// changes, neither ever answers with less than what was acknowledged before it was asked, and when the cut is over, with power lost at that
// moment, all of it is there.
func TestCutIntoHalves(t *testing.T) {
	for _, size := range []struct{ n, tolerated, voters int }{{3, 1, 3}, {4, 1, 3}, {5, 2, 5}} {
		for _, half := range halves(size.n) {
			t.Run(fmt.Sprintf("%d servers, half %b", size.n, half), func(t *testing.T) {
				grown(t, size.n, size.tolerated, size.voters, func(ctx context.Context, co *testCore) {
					co.c.Assert(co.replace(ctx, 0, 0, 1), qt.Equals, Applied)
					newest := cutIntoHalves(ctx, co, size.n, half)
					for i := range size.n {
						co.stop(i)
					}
					co.block(nil)
					for i := range size.n {
						co.start(i, false)
					}
					for i := range size.n {
						co.c.Assert(co.newest(ctx, i) >= newest, qt.IsTrue, qt.Commentf("%d of %d, half %b", i, size.n, half))
					}
					newest = co.newest(ctx, 0)
					co.c.Assert(co.replace(ctx, size.n-1, newest, newest+1), qt.Equals, Applied)
				})
			})
		}
	}
}

// halves are the sets of half of n servers, as bits, that the last server is not in.
func halves(n int) (sets []int) {
	for half := 1; half < 1<<(n-1); half++ {
		if size := bits.OnesCount(uint(half)); size == n/2 || size == (n+1)/2 {
			sets = append(sets, half)
		}
	}
	return sets
}

// block cuts ways between servers, in place of those that were cut before.
func (t *testCore) block(blocked map[[2]string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked = blocked
}

// cutIntoHalves cuts the servers of a set from the others for some seconds; it returns the newest version that was acknowledged.
func cutIntoHalves(ctx context.Context, co *testCore, servers, half int) configuration.Version {
	in := func(i int) bool { return half>>i&1 == 1 }
	blocked := map[[2]string]bool{}
	for i := range servers {
		for j := range servers {
			if in(i) != in(j) {
				blocked[[2]string{node(i), node(j)}] = true
			}
		}
	}
	co.block(blocked)
	acknowledged, sent := configuration.Version(1), configuration.Version(1)
	took := map[bool]bool{} // by half
	for began := time.Now(); time.Since(began) < 6*time.Second; {
		for i := range servers {
			sent++
			short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			if co.server(i).Replace(short, acknowledged, config(sent, "")).Outcome == Applied {
				acknowledged = sent
				took[in(i)] = true
			}
			cancel()
			acknowledged = co.readAll(ctx, servers, acknowledged, half)
		}
	}
	co.c.Assert(took[false] && took[true], qt.IsFalse, qt.Commentf("half %b", half))
	return acknowledged
}

// readAll reads at all servers, none of which may tell less than what was acknowledged or read before; it returns the newest version.
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
