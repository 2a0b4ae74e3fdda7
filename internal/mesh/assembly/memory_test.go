package assembly

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/controlplane"
)

// Sidecars went over their machine's memory and were killed: requests and answers together must leave a fifth of it. On each size of machine
// the largest request must fit into each pool, and on those of the sites a body and a call of 62 MB at once.
func TestPoolsFitTheMachine(t *testing.T) {
	const mb = 1 << 20
	for _, machineMB := range []int64{128, 184, 280, 284, 512} {
		pools := newMemoryPools(machineMB * mb)
		qt.Check(t, pools.bodies.Reserve(largestRequestBytes), qt.IsTrue)
		pools.bodies.Release(largestRequestBytes)
		qt.Check(t, pools.calls.Reserve(largestRequestBytes), qt.IsTrue)
		pools.calls.Release(largestRequestBytes)
		qt.Check(t, pools.processing.Reserve(controlplane.MaxProcessingBytes), qt.IsTrue)
		pools.processing.Release(controlplane.MaxProcessingBytes)
		if machineMB >= 184 {
			qt.Check(t, pools.bodies.Reserve(62*mb) && pools.calls.Reserve(62*mb), qt.IsTrue, qt.Commentf("%d MB", machineMB))
			pools.bodies.Release(62 * mb)
			pools.calls.Release(62 * mb)
		}
		held := int64(0)
		for pools.bodies.Reserve(mb) {
			held += mb
		}
		for pools.answers.Reserve(mb) {
			held += mb
		}
		qt.Check(t, held <= machineMB*mb*4/5, qt.IsTrue, qt.Commentf("%d of %d MB", held/mb, machineMB))
		qt.Check(t, held >= machineMB*mb*3/5, qt.IsTrue, qt.Commentf("%d of %d MB", held/mb, machineMB))
	}
}
