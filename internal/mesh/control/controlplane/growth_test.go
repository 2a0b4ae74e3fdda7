package controlplane

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// The system starts for the first time, and knows of three processes only, while it is to tolerate the loss of two disks. Whenever a change
// is acknowledged, as early as may be, two disks are lost and all other processes lose power at that moment: it is there after that.
func TestTwoDisksLostWhileTheVotersAreStillFew(t *testing.T) {
	for _, lost := range [][2]int{{0, 1}, {1, 2}, {0, 2}, {0, 3}, {3, 4}} {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v after %v", lost, after), func(t *testing.T) {
				runCore(t, 0, func(ctx context.Context, co *testCore) {
					co.tolerated = 2
					co.startFive(true)
					time.Sleep(after)
					co.c.Assert(co.insistOn(ctx, lost[0], 0, 5, 5*time.Second), qt.Equals, Applied)
					for i := range 5 {
						co.stop(i)
					}
					for _, i := range lost {
						co.disks[node(i)] = nil
					}
					co.startFive(false)
					back, cancel := context.WithTimeout(ctx, 15*time.Second)
					defer cancel()
					co.c.Assert(co.newest(back, 4), qt.Equals, configuration.Version(5))
					co.c.Assert(co.replace(back, lost[0], 5, 6), qt.Equals, Applied)
				})
			})
		}
	}
}

func (t *testCore) startFive(first bool) {
	for i := range 5 {
		t.start(i, first)
	}
}

// Where no more processes come than are there, nobody waits for them for long.
func TestAChangeIsTakenWithFewerProcessesThanWanted(t *testing.T) {
	runCore(t, 0, func(ctx context.Context, co *testCore) {
		co.tolerated = 2
		for i := range 3 {
			co.start(i, true)
		}
		began := time.Now()
		co.c.Assert(co.insistOn(ctx, 0, 0, 5, 10*time.Second), qt.Equals, Applied)
		co.c.Check(time.Since(began) < 2*discoveryTime, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}

// insistOn sends a change again and again, as operators do, until there is a clear outcome.
func (t *testCore) insistOn(ctx context.Context, i int, base, version configuration.Version, most time.Duration) (outcome Outcome) {
	for began := time.Now(); outcome == Unknown && time.Since(began) < most; {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		outcome = t.replace(call, i, base, version)
		cancel()
	}
	return outcome
}
