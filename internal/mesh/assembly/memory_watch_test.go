package assembly

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A process that is killed for its memory has said before what it held, and does not fill its log with it.
func TestMemoryWarningsAreSpaced(t *testing.T) {
	warner := memoryWarner{machineBytes: 1000}
	for _, check := range []struct {
		now      time.Duration
		resident int64
		due      bool
	}{
		{0, 899, false},
		{time.Second, 900, true},
		{2 * time.Second, 2000, false},
		{time.Second + memoryWarningInterval, 899, false},
		{2*time.Second + memoryWarningInterval, 950, true},
	} {
		qt.Check(t, warner.due(check.now, check.resident), qt.Equals, check.due, qt.Commentf("at %v", check.now))
	}
}

// The figures that a process warns by grow with what it holds.
func TestMemoryUseCountsWhatIsHeld(t *testing.T) {
	const held = 64 << 20
	before := readMemoryUse()
	block := make([]byte, held)
	for i := range block {
		block[i] = 1
	}
	after := readMemoryUse()
	qt.Check(t, after.resident()-before.resident() >= held/2, qt.IsTrue, qt.Commentf("%d bytes before, %d after", before.resident(), after.resident()))
	qt.Check(t, int64(after.objects) >= held, qt.IsTrue)
	qt.Check(t, block[held-1], qt.Equals, byte(1))
}
