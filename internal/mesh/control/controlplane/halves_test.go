package controlplane

import (
	"context"
	"math/bits"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// The core is cut into two halves, whatever losses it bears, while operators reach both and sidecars ask both: at most one half takes
// changes, neither ever tells less than what was acknowledged before it was asked, and when the cut is over, with power lost at that
// moment, all of it is there.
func TestCutIntoHalves(t *testing.T) {
	for _, x := range []struct{ n, bears, voters int }{{3, 1, 3}, {4, 1, 3}, {5, 2, 5}} {
		for half := 1; half < 1<<(x.n-1); half++ { // the last one is in the other half
			if size := bits.OnesCount(uint(half)); size != x.n/2 && size != (x.n+1)/2 {
				continue
			}
			grown(t, x.n, x.bears, x.voters, func(co *testCore, ctx context.Context) {
				co.c.Assert(co.replace(ctx, 0, 0, 1), qt.Equals, Applied)
				newest := cutIntoHalves(co, ctx, x.n, half)
				for i := range x.n {
					co.stop(i)
				}
				co.mu.Lock()
				co.blocked = nil
				co.mu.Unlock()
				for i := range x.n {
					co.start(i, false)
				}
				for i := range x.n {
					co.c.Assert(co.newest(ctx, i) >= newest, qt.IsTrue, qt.Commentf("%d of %d, half %b", i, x.n, half))
				}
				newest = co.newest(ctx, 0)
				co.c.Assert(co.replace(ctx, x.n-1, newest, newest+1), qt.Equals, Applied)
			})
		}
	}
}

// cutIntoHalves cuts the servers of a set from the others for some seconds; it returns the newest version that was acknowledged.
func cutIntoHalves(co *testCore, ctx context.Context, n, half int) configuration.Version {
	in := func(i int) bool { return half>>i&1 == 1 }
	blocked := map[[2]string]bool{}
	for i := range n {
		for j := range n {
			if in(i) != in(j) {
				blocked[[2]string{node(i), node(j)}] = true
			}
		}
	}
	co.mu.Lock()
	co.blocked = blocked
	co.mu.Unlock()
	acknowledged, sent := configuration.Version(1), configuration.Version(1)
	var took [2]bool // by half
	for began := time.Now(); time.Since(began) < 6*time.Second; {
		for i := range n {
			sent++
			short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			if co.server(i).Replace(short, acknowledged, config(sent, "")).Outcome == Applied {
				acknowledged = sent
				if in(i) {
					took[1] = true
				} else {
					took[0] = true
				}
			}
			cancel()
			for j := range n {
				short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
				if w, err := co.server(j).ReadLatest(short); err == nil {
					co.c.Assert(w.Version >= acknowledged, qt.IsTrue, qt.Commentf("%d tells %v, %v was acknowledged, half %b", j, w.Version, acknowledged, half))
					acknowledged = w.Version // a change without an answer may be in force
				}
				cancel()
			}
		}
	}
	co.c.Assert(took[0] && took[1], qt.IsFalse, qt.Commentf("half %b", half))
	return acknowledged
}
