package controlplane

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// At its first start the system has three voters, but has to tolerate the loss of two disks. When a change is acknowledged, however early,
// two disks are lost and all other processes lose power. The change is still read after that.
func TestTwoDisksLostWhileTheVotersAreStillFew(t *testing.T) {
	for _, lost := range [][2]int{{0, 1}, {1, 2}, {0, 2}, {0, 3}, {3, 4}} {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v after %v", lost, after), func(t *testing.T) {
				runCore(t, 0, func(ctx context.Context, core *testCore) {
					core.tolerated = 2
					core.startFive(true)
					time.Sleep(after)
					core.c.Assert(core.replaceUntilAnswered(ctx, lost[0], 0, 5, 5*time.Second), qt.Equals, Committed)
					for i := range 5 {
						core.stop(i)
					}
					for _, i := range lost {
						core.disks[node(i)] = nil
					}
					core.startFive(false)
					recoveryCtx, cancel := context.WithTimeout(ctx, 15*time.Second)
					defer cancel()
					core.c.Assert(core.newest(recoveryCtx, 4), qt.Equals, configuration.Version(5))
					core.c.Assert(core.replace(recoveryCtx, lost[0], 5, 6), qt.Equals, Committed)
				})
			})
		}
	}
}

// startFive starts servers 0 to 4.
func (t *testCore) startFive(initialStart bool) {
	for i := range 5 {
		t.start(i, initialStart)
	}
}

// If there are fewer processes than consensus.TargetVoters, an acknowledgement is delayed for a short time only.
func TestAChangeIsAcknowledgedWithFewerProcessesThanWanted(t *testing.T) {
	runCore(t, 0, func(ctx context.Context, core *testCore) {
		core.tolerated = 2
		for i := range 3 {
			core.start(i, true)
		}
		began := time.Now()
		core.c.Assert(core.replaceUntilAnswered(ctx, 0, 0, 5, 10*time.Second), qt.Equals, Committed)
		core.c.Check(time.Since(began) < 2*discoveryTime, qt.IsTrue, qt.Commentf("the acknowledgement took %v", time.Since(began)))
	})
}

// replaceUntilAnswered repeats a change, as operators do, until its outcome is not Unknown or timeout has passed. It returns the last
// outcome.
func (t *testCore) replaceUntilAnswered(
	ctx context.Context, i int, base, version configuration.Version, timeout time.Duration,
) (outcome Outcome) {
	for began := time.Now(); outcome == Unknown && time.Since(began) < timeout; {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		outcome = t.replace(callCtx, i, base, version)
		cancel()
	}
	return outcome
}
